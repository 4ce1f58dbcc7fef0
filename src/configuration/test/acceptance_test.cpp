// Tests acceptance under races, lost responses, delayed writes, crashes and
// outages.
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

using random_choices = std::vector<std::uint16_t>;

/// Counts the outcomes reported to operators, over all simulations.
struct outcome_counts
{
    std::uint64_t accepted = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t not_accepted = 0;
    std::uint64_t unknown = 0;
};

/// Simulates three operators and a platform that loses responses and delays
/// writes.
class simulation
{
public:
    explicit simulation(outcome_counts& counts) : counts_(counts) {}

    void run(const random_choices& script)
    {
        for (const std::uint16_t choice : script)
        {
            run_step(choice % 3U, choice / 3U);
        }
        for (const table_service::transaction& transaction : delayed_writes_)
        {
            apply(transaction);
        }
        check_invariants();
    }

private:
    struct operator_state
    {
        std::optional<acceptance_state_machine> state_machine;
        std::optional<acceptance_command> command;
        std::string nonce;
        /// Active number when the operator reviewed the changes; may be stale.
        config_number base_number;
    };

    void run_step(std::size_t index, unsigned choice)
    {
        operator_state& state = operators_.at(index);
        if (choice % 16 == 0)
        {
            state.state_machine.reset();
        }
        else if (choice % 16 == 1 && !delayed_writes_.empty())
        {
            apply(delayed_writes_.front());
            delayed_writes_.erase(delayed_writes_.begin());
        }
        else if (!state.state_machine)
        {
            start_acceptance(state, choice);
        }
        else
        {
            execute_command(state, choice / 16);
        }
    }

    void start_acceptance(operator_state& state, unsigned choice)
    {
        if (choice % 4 != 0)
        {
            state.base_number = config_number{committed_.size()};
        }
        state.nonce = "n" + std::to_string(++nonce_count_);
        state.state_machine.emplace(
            acceptance_request{
                .bytes = "content of " + state.nonce,
                .base_number = state.base_number,
                .nonce = state.nonce,
                .by = "operator"},
            acceptance_limits{.max_attempts = 4});
        state.command = state.state_machine->start();
    }

    void execute_command(operator_state& state, unsigned choice)
    {
        const std::optional<acceptance_input> input = std::visit(
            [&](const auto& command)
            { return execute(state, command, choice); },
            *state.command);
        if (input)
        {
            state.command = state.state_machine->handle(*input);
        }
        else
        {
            state.state_machine.reset();
        }
    }

    using optional_input = std::optional<acceptance_input>;

    optional_input execute(
        operator_state& /*state*/, const put_object& command, unsigned choice)
    {
        const bool effective = choice % 4 != 0;
        if (effective)
        {
            objects_.insert(command.name);
        }
        return acceptance_event::object_put{effective && choice % 4 != 1};
    }

    optional_input execute(
        operator_state& /*state*/, const read_row& command, unsigned choice)
    {
        if (choice % 4 == 0)
        {
            return acceptance_event::row_read{table_service::read_failed{}};
        }
        return acceptance_event::row_read{table_.read(command.key)};
    }

    optional_input execute(
        operator_state& /*state*/, const write_rows& command, unsigned choice)
    {
        switch (choice % 8)
        {
        case 0:
            return acceptance_event::rows_written{table_service::rejected{}};
        case 1:
            delayed_writes_.push_back(command.transaction);
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

    optional_input execute(
        operator_state& /*state*/, const wait_for& /*command*/,
        unsigned /*choice*/)
    {
        return acceptance_event::wait_ended{};
    }

    optional_input execute(
        operator_state& state, const accepted& command, unsigned /*choice*/)
    {
        ++counts_.accepted;
        RC_ASSERT(command.row.nonce == state.nonce);
        reported_accepted_.insert(state.nonce);
        return std::nullopt;
    }

    optional_input execute(
        operator_state& state, const acceptance_conflict& command,
        unsigned /*choice*/)
    {
        ++counts_.conflicts;
        RC_ASSERT(command.other.nonce != state.nonce);
        reported_not_accepted_.insert(state.nonce);
        return std::nullopt;
    }

    optional_input execute(
        operator_state& state, const acceptance_failed& command,
        unsigned /*choice*/)
    {
        if (command.cause.code == result_code::platform_answer_lost)
        {
            ++counts_.unknown;
            return std::nullopt;
        }
        ++counts_.not_accepted;
        reported_not_accepted_.insert(state.nonce);
        return std::nullopt;
    }

    table_service::transaction_result apply(
        const table_service::transaction& transaction)
    {
        auto answer = table_.apply(transaction);
        if (std::holds_alternative<table_service::committed>(answer))
        {
            const auto row = decode_acceptance(*transaction.writes[0].value);
            RC_ASSERT(row.has_value());
            RC_ASSERT(objects_.contains(object_name(row.value().object)));
            committed_.push_back(row.value());
        }
        return answer;
    }

    void check_invariants() const
    {
        std::set<std::string> committed_nonces;
        for (std::size_t i = 0; i < committed_.size(); ++i)
        {
            RC_ASSERT(committed_[i].number == config_number{i + 1});
            RC_ASSERT(committed_nonces.insert(committed_[i].nonce).second);
            const auto row = table_.read(history_row(committed_[i].number));
            RC_ASSERT(row.has_value());
            RC_ASSERT(row->value == encode(committed_[i]));
        }
        for (const std::string& nonce : reported_accepted_)
        {
            RC_ASSERT(committed_nonces.contains(nonce));
        }
        for (const std::string& nonce : reported_not_accepted_)
        {
            RC_ASSERT(!committed_nonces.contains(nonce));
        }
    }

    outcome_counts& counts_;
    table_service::memory_table table_;
    std::set<std::string> objects_;
    std::vector<table_service::transaction> delayed_writes_;
    std::array<operator_state, 3> operators_;
    std::uint64_t nonce_count_ = 0;
    /// Acceptances written by committed transactions, in order.
    std::vector<acceptance> committed_;
    std::set<std::string> reported_accepted_;
    std::set<std::string> reported_not_accepted_;
};

TEST(
    acceptance_property,
    numbers_are_consecutive_and_reported_outcomes_are_correct)
{
    constexpr int simulations = 100'000;
    outcome_counts counts;
    check_property(
        simulations,
        [&](const random_choices& script) { simulation(counts).run(script); });
    EXPECT_GT(counts.accepted, 10'000U);
    EXPECT_GT(counts.conflicts, 1'000U);
    EXPECT_GT(counts.not_accepted, 100U);
    EXPECT_GT(counts.unknown, 100U);
}

class acceptance_state_machine_test : public testing::Test
{
protected:
    /// Executes commands on the table until the acceptance ends.
    acceptance_command run_to_end(acceptance_state_machine& state_machine)
    {
        acceptance_command command = state_machine.start();
        while (true)
        {
            if (const auto* const read = std::get_if<read_row>(&command))
            {
                command = state_machine.handle(
                    acceptance_event::row_read{table_.read(read->key)});
            }
            else if (const auto* const put = std::get_if<put_object>(&command))
            {
                ++stored_objects_;
                EXPECT_EQ(put->name, object_name(sha256(put->bytes)));
                command =
                    state_machine.handle(acceptance_event::object_put{true});
            }
            else if (
                const auto* const write = std::get_if<write_rows>(&command))
            {
                command = state_machine.handle(acceptance_event::rows_written{
                    table_.apply(write->transaction)});
            }
            else
            {
                return command;
            }
        }
    }

    static acceptance_state_machine make_state_machine(
        std::uint64_t base_number, const std::string& nonce)
    {
        return acceptance_state_machine(
            {.bytes = "bytes of " + nonce,
             .base_number = config_number{base_number},
             .nonce = nonce,
             .by = "someone"});
    }

    table_service::memory_table table_;
    int stored_objects_ = 0;
};

TEST_F(
    acceptance_state_machine_test,
    consecutive_acceptances_get_consecutive_numbers)
{
    acceptance_state_machine first = make_state_machine(0, "a");
    acceptance_state_machine second = make_state_machine(1, "b");
    EXPECT_TRUE(std::holds_alternative<accepted>(run_to_end(first)));
    const auto outcome = run_to_end(second);
    ASSERT_TRUE(std::holds_alternative<accepted>(outcome));
    EXPECT_EQ(std::get<accepted>(outcome).row.number, config_number{2});
}

TEST_F(
    acceptance_state_machine_test,
    stale_base_number_conflicts_and_returns_the_other_acceptance)
{
    acceptance_state_machine first = make_state_machine(0, "a");
    acceptance_state_machine conflicting = make_state_machine(0, "b");
    run_to_end(first);
    const auto outcome = run_to_end(conflicting);
    ASSERT_TRUE(std::holds_alternative<acceptance_conflict>(outcome));
    EXPECT_EQ(std::get<acceptance_conflict>(outcome).other.nonce, "a");
    EXPECT_EQ(stored_objects_, 1);
}

} // namespace
} // namespace wagtailseam::configuration
