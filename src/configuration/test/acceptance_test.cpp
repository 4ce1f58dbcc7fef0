// Acceptance under races, lost answers, delayed writes, crashes and outages.
#include "configuration/acceptance_state_machine.hpp"
#include "core/overloaded.hpp"
#include "core/test/property.hpp"
#include "table_service/memory_table.hpp"

#include <array>
#include <map>
#include <set>

namespace wagtailseam::configuration
{
namespace
{

using choices = std::vector<std::uint16_t>;

/// What operators were told, over all histories.
struct told
{
    std::uint64_t accepted = 0;
    std::uint64_t acceptance_conflict = 0;
    std::uint64_t not_accepted = 0;
    std::uint64_t unknown = 0;
};

/// A platform that loses and delays, and three operators.
class world
{
public:
    explicit world(told& counts) : counts_(counts) {}

    void run(const choices& script)
    {
        for (const std::uint16_t choice : script)
        {
            step(choice % 3U, choice / 3U);
        }
        for (const table_service::transaction& late : delayed_)
        {
            apply(late);
        }
        check();
    }

private:
    struct operator_state
    {
        std::optional<acceptance_state_machine> core;
        std::optional<acceptance_command> command;
        std::string nonce;
        /// Read when the difference was shown, maybe long ago.
        config_number base_number;
    };

    void step(std::size_t index, unsigned choice)
    {
        operator_state& at = operators_.at(index);
        if (choice % 16 == 0)
        {
            at.core.reset();
        }
        else if (choice % 16 == 1 && !delayed_.empty())
        {
            apply(delayed_.front());
            delayed_.erase(delayed_.begin());
        }
        else if (!at.core)
        {
            begin(at, choice);
        }
        else
        {
            answer(at, choice / 16);
        }
    }

    void begin(operator_state& at, unsigned choice)
    {
        if (choice % 4 != 0)
        {
            at.base_number = config_number{log_.size()};
        }
        at.nonce = "n" + std::to_string(++nonces_);
        at.core.emplace(
            acceptance_request{
                .bytes = "content of " + at.nonce,
                .base_number = at.base_number,
                .nonce = at.nonce,
                .by = "operator"},
            acceptance_limits{.max_attempts = 4});
        at.command = at.core->start();
    }

    void answer(operator_state& at, unsigned choice)
    {
        const std::optional<acceptance_input> input = std::visit(
            [&](const auto& command) { return answer_to(at, command, choice); },
            *at.command);
        if (input)
        {
            at.command = at.core->handle(*input);
        }
        else
        {
            at.core.reset();
        }
    }

    using maybe_input = std::optional<acceptance_input>;

    maybe_input answer_to(
        operator_state& /*at*/, const put_object& command, unsigned choice)
    {
        const bool effective = choice % 4 != 0;
        if (effective)
        {
            objects_.insert(command.name);
        }
        return acceptance_event::object_put{effective && choice % 4 != 1};
    }

    maybe_input answer_to(
        operator_state& /*at*/, const read_row& command, unsigned choice)
    {
        if (choice % 4 == 0)
        {
            return acceptance_event::row_read{table_service::read_failed{}};
        }
        return acceptance_event::row_read{table_.read(command.key)};
    }

    maybe_input answer_to(
        operator_state& /*at*/, const write_rows& command, unsigned choice)
    {
        switch (choice % 8)
        {
        case 0:
            return acceptance_event::rows_written{table_service::rejected{}};
        case 1:
            delayed_.push_back(command.transaction);
            return acceptance_event::rows_written{
                table_service::outcome_unknown{}};
        case 2:
            apply(command.transaction);
            return acceptance_event::rows_written{
                table_service::outcome_unknown{}};
        default:
            return acceptance_event::rows_written{apply(command.transaction)};
        }
    }

    maybe_input answer_to(
        operator_state& /*at*/, const wait_for& /*command*/,
        unsigned /*choice*/)
    {
        return acceptance_event::wait_ended{};
    }

    maybe_input answer_to(
        operator_state& at, const accepted& command, unsigned /*choice*/)
    {
        ++counts_.accepted;
        RC_ASSERT(command.row.nonce == at.nonce);
        promised_.insert(at.nonce);
        return std::nullopt;
    }

    maybe_input answer_to(
        operator_state& at, const acceptance_conflict& command,
        unsigned /*choice*/)
    {
        ++counts_.acceptance_conflict;
        RC_ASSERT(command.other.nonce != at.nonce);
        denied_.insert(at.nonce);
        return std::nullopt;
    }

    maybe_input answer_to(
        operator_state& at, const acceptance_failed& command,
        unsigned /*choice*/)
    {
        if (command.cause.code == result_code::platform_answer_lost)
        {
            ++counts_.unknown;
            return std::nullopt;
        }
        ++counts_.not_accepted;
        denied_.insert(at.nonce);
        return std::nullopt;
    }

    table_service::transaction_result apply(
        const table_service::transaction& wanted)
    {
        auto answer = table_.apply(wanted);
        if (std::holds_alternative<table_service::committed>(answer))
        {
            const auto row = decode_acceptance(*wanted.writes[0].value);
            RC_ASSERT(row.has_value());
            RC_ASSERT(objects_.contains(object_name(row.value().object)));
            log_.push_back(row.value());
        }
        return answer;
    }

    void check() const
    {
        std::set<std::string> in_log;
        for (std::size_t i = 0; i < log_.size(); ++i)
        {
            RC_ASSERT(log_[i].number == config_number{i + 1});
            RC_ASSERT(in_log.insert(log_[i].nonce).second);
            const auto row = table_.read(history_row(log_[i].number));
            RC_ASSERT(row.has_value());
            RC_ASSERT(row->value == encode(log_[i]));
        }
        for (const std::string& nonce : promised_)
        {
            RC_ASSERT(in_log.contains(nonce));
        }
        for (const std::string& nonce : denied_)
        {
            RC_ASSERT(!in_log.contains(nonce));
        }
    }

    told& counts_;
    table_service::memory_table table_;
    std::set<std::string> objects_;
    std::vector<table_service::transaction> delayed_;
    std::array<operator_state, 3> operators_;
    std::uint64_t nonces_ = 0;
    /// Every transaction that took effect, in order.
    std::vector<acceptance> log_;
    std::set<std::string> promised_;
    std::set<std::string> denied_;
};

TEST(acceptance_property, numbers_form_one_line_and_operators_hear_the_truth)
{
    constexpr int histories = 100'000;
    told counts;
    check_property(
        histories, [&](const choices& script) { world(counts).run(script); });
    EXPECT_GT(counts.accepted, 10'000U);
    EXPECT_GT(counts.acceptance_conflict, 1'000U);
    EXPECT_GT(counts.not_accepted, 100U);
    EXPECT_GT(counts.unknown, 100U);
}

class acceptance_core_fixture : public testing::Test
{
protected:
    /// Answers every command from the table, until an outcome.
    acceptance_command drive(acceptance_state_machine& core)
    {
        acceptance_command command = core.start();
        while (true)
        {
            if (const auto* const read = std::get_if<read_row>(&command))
            {
                command = core.handle(
                    acceptance_event::row_read{table_.read(read->key)});
            }
            else if (const auto* const put = std::get_if<put_object>(&command))
            {
                ++objects_;
                EXPECT_EQ(put->name, object_name(sha256(put->bytes)));
                command = core.handle(acceptance_event::object_put{true});
            }
            else if (
                const auto* const write = std::get_if<write_rows>(&command))
            {
                command = core.handle(acceptance_event::rows_written{
                    table_.apply(write->transaction)});
            }
            else
            {
                return command;
            }
        }
    }

    static acceptance_state_machine core_for(
        std::uint64_t base_number, const std::string& nonce)
    {
        return acceptance_state_machine(
            {.bytes = "bytes of " + nonce,
             .base_number = config_number{base_number},
             .nonce = nonce,
             .by = "someone"});
    }

    table_service::memory_table table_;
    int objects_ = 0;
};

TEST_F(acceptance_core_fixture, first_and_second_acceptance_get_1_and_2)
{
    acceptance_state_machine first = core_for(0, "a");
    acceptance_state_machine second = core_for(1, "b");
    EXPECT_TRUE(std::holds_alternative<accepted>(drive(first)));
    const auto outcome = drive(second);
    ASSERT_TRUE(std::holds_alternative<accepted>(outcome));
    EXPECT_EQ(std::get<accepted>(outcome).row.number, config_number{2});
}

TEST_F(acceptance_core_fixture, stale_base_loses_to_the_other_and_names_it)
{
    acceptance_state_machine first = core_for(0, "a");
    acceptance_state_machine racing = core_for(0, "b");
    drive(first);
    const auto outcome = drive(racing);
    ASSERT_TRUE(std::holds_alternative<acceptance_conflict>(outcome));
    EXPECT_EQ(std::get<acceptance_conflict>(outcome).other.nonce, "a");
    EXPECT_EQ(objects_, 1);
}

} // namespace
} // namespace wagtailseam::configuration
