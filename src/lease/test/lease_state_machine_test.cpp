// Random histories of a lease with paused and restarted processes, lost
// answers, delayed writes and outages of the platform, and tests of single
// transitions.
#include "core/test/property.hpp"
#include "lease/fencing_guard.hpp"
#include "lease/lease_state_machine.hpp"
#include "table_service/memory_table.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace wagtailseam::lease
{
namespace
{

using choices = std::vector<std::uint16_t>;
using std::chrono::milliseconds;

struct event_counts
{
    std::uint64_t acquisitions = 0;
    std::uint64_t orders_admitted = 0;
    std::uint64_t stale_orders_rejected = 0;
    std::uint64_t writes_completed = 0;
    std::uint64_t writes_not_applied = 0;
};

/// Simulates three processes that compete for the lease, one upstream that
/// checks fencing numbers and one whose sidecar does, and a platform that loses
/// answers and delays writes.
class lease_simulation
{
public:
    explicit lease_simulation(event_counts& counts) : counts_(counts)
    {
        for (std::size_t i = 0; i < processes_.size(); ++i)
        {
            restart(i);
        }
    }

    void run(const choices& script)
    {
        for (const std::uint16_t choice : script)
        {
            apply_choice(choice % 16U, choice / 16U);
            RC_ASSERT(holder_count() <= 1);
        }
        recover();
    }

private:
    struct process_state
    {
        std::optional<lease_state_machine> lease;
        std::optional<lease_command> pending_call;
        std::uint64_t incarnation = 0;
        bool paused = false;
    };

    struct pending_order
    {
        std::size_t target = 0;
        fencing_number fencing;
    };

    /// The local clock of a process: it has its own offset and runs up to 2 %
    /// fast or slow.
    [[nodiscard]] mono_time local_time(std::size_t i) const
    {
        constexpr std::array<std::int64_t, 3> percent{98, 100, 102};
        return mono_time(
            milliseconds(7919 * (i + 1)) + now_ * percent.at(i) / 100);
    }

    void restart(std::size_t i)
    {
        process_state& process = processes_.at(i);
        ++process.incarnation;
        process.pending_call.reset();
        process.paused = false;
        process.lease.emplace(
            lease_options{
                .lease_name = "weights",
                .holder = "entry-" + std::to_string(i),
                .holder_incarnation = incarnation{process.incarnation},
                .length = milliseconds(900),
                .renew_interval = milliseconds(300),
                .margin = milliseconds(90),
                .retry_delay = milliseconds(25)},
            1000 * i + 100'000 * process.incarnation);
        feed(i, lease_event::tick{});
    }

    void apply_choice(unsigned kind, unsigned detail)
    {
        const std::size_t i = detail % processes_.size();
        switch (kind)
        {
        case 0:
            restart(i);
            break;
        case 1:
            processes_.at(i).paused = !processes_.at(i).paused;
            break;
        case 2:
            platform_up_ = !platform_up_;
            break;
        case 3:
            apply_delayed_write();
            break;
        case 4:
            sidecar_ = fencing_guard();
            break;
        case 5:
        case 6:
            send_order(i, detail / 3 % 2);
            break;
        case 7:
            deliver_order(detail);
            break;
        case 8:
            request_write(i);
            break;
        case 9:
        case 10:
        case 11:
            advance_time(milliseconds(25 * (detail % 16)));
            break;
        default:
            answer_call(i, detail / 3);
            break;
        }
    }

    void advance_time(milliseconds elapsed)
    {
        now_ += elapsed;
        for (std::size_t i = 0; i < processes_.size(); ++i)
        {
            feed(i, lease_event::tick{});
            answer_call(i, 7);
        }
    }

    void feed(std::size_t i, const lease_input& event)
    {
        process_state& process = processes_.at(i);
        if (process.paused)
        {
            return;
        }
        for (lease_command& command :
             process.lease->handle(event, local_time(i)))
        {
            std::visit([&](auto& kind) { execute(i, kind); }, command);
        }
    }

    void execute(std::size_t i, read_row& command)
    {
        RC_ASSERT(!processes_.at(i).pending_call.has_value());
        processes_.at(i).pending_call = std::move(command);
    }

    void execute(std::size_t i, write_rows& command)
    {
        RC_ASSERT(!processes_.at(i).pending_call.has_value());
        processes_.at(i).pending_call = std::move(command);
    }

    void execute(std::size_t i, const acquired& command)
    {
        ++counts_.acquisitions;
        const auto owner = std::make_pair(i, processes_.at(i).incarnation);
        const auto [entry, is_new] =
            owners_.emplace(command.fencing.value(), owner);
        RC_ASSERT(is_new || entry->second == owner);
    }

    void execute(std::size_t /*i*/, const lost& /*command*/) {}

    void execute(std::size_t /*i*/, const write_completed& command)
    {
        const bool applied = applied_writes_.contains(command.id);
        if (command.code == result_code::ok)
        {
            ++counts_.writes_completed;
            RC_ASSERT(applied);
        }
        else if (command.code != result_code::platform_answer_lost)
        {
            ++counts_.writes_not_applied;
            RC_ASSERT(!applied);
            rejected_writes_.insert(command.id);
        }
    }

    void execute(std::size_t i, const wake_at& command)
    {
        RC_ASSERT(command.when > local_time(i));
    }

    void answer_call(std::size_t i, unsigned choice)
    {
        process_state& process = processes_.at(i);
        if (process.paused || !process.pending_call)
        {
            return;
        }
        const lease_command call = *process.pending_call;
        process.pending_call.reset();
        if (const auto* const read = std::get_if<read_row>(&call))
        {
            const bool succeeds = platform_up_ && choice % 8 != 0;
            feed(
                i, lease_event::row_read{
                       succeeds
                           ? table_service::read_result(table_.read(read->key))
                           : table_service::read_result(
                                 table_service::read_failed{})});
            return;
        }
        const auto& transaction = std::get<write_rows>(call).transaction;
        feed(i, lease_event::rows_written{answer_write(transaction, choice)});
    }

    table_service::transaction_result answer_write(
        const table_service::transaction& transaction, unsigned choice)
    {
        if (!platform_up_ || choice % 8 == 0)
        {
            return table_service::rejected{};
        }
        if (choice % 8 == 1)
        {
            delayed_writes_.push_back(transaction);
            return table_service::outcome_unknown{};
        }
        auto answer = apply(transaction);
        return choice % 8 == 2 ? table_service::transaction_result(
                                     table_service::outcome_unknown{})
                               : answer;
    }

    table_service::transaction_result apply(
        const table_service::transaction& transaction)
    {
        const auto before = table_.read(lease_row_key("weights"));
        auto answer = table_.apply(transaction);
        if (!std::holds_alternative<table_service::committed>(answer))
        {
            return answer;
        }
        const auto after = decode_lease(*transaction.writes[0].value).value();
        for (std::size_t w = 1; w < transaction.writes.size(); ++w)
        {
            // A conditional write is applied at most once, and only while its
            // own holder has the lease.
            const auto previous = decode_lease(before->value).value();
            RC_ASSERT(previous.fencing == after.fencing);
            const auto id = std::stoull(*transaction.writes[w].value);
            RC_ASSERT(applied_writes_.insert(id).second);
            RC_ASSERT(!rejected_writes_.contains(id));
        }
        return answer;
    }

    void apply_delayed_write()
    {
        if (!delayed_writes_.empty())
        {
            apply(delayed_writes_.front());
            delayed_writes_.erase(delayed_writes_.begin());
        }
    }

    void request_write(std::size_t i)
    {
        ++last_write_id_;
        feed(
            i, lease_event::write_requested{
                   last_write_id_,
                   {{{"duty", "step"},
                     std::nullopt,
                     std::to_string(last_write_id_)}}});
    }

    /// The check and the delivery are not atomic: the process may be paused, or
    /// lose the lease, between them.
    void send_order(std::size_t i, std::size_t target)
    {
        process_state& process = processes_.at(i);
        if (!process.paused && process.lease->is_held(local_time(i)))
        {
            orders_.push_back({target, process.lease->fencing()});
        }
    }

    void deliver_order(unsigned detail)
    {
        if (orders_.empty())
        {
            return;
        }
        const auto position = orders_.begin() + static_cast<std::ptrdiff_t>(
                                                    detail % orders_.size());
        const pending_order order = *position;
        orders_.erase(position);
        fencing_guard& guard = order.target == 0 ? upstream_ : sidecar_;
        if (!guard.has_minimum())
        {
            read_minimum(guard);
        }
        const auto admitted = guard.admit(order.fencing);
        if (!admitted)
        {
            ++counts_.stale_orders_rejected;
            return;
        }
        ++counts_.orders_admitted;
        fencing_number& highest = highest_admitted_.at(order.target);
        RC_ASSERT(order.fencing >= highest);
        highest = order.fencing;
    }

    /// A target reads the minimum before it admits its first order.
    void read_minimum(fencing_guard& guard)
    {
        const auto row = table_.read(lease_row_key("weights"));
        if (platform_up_ && row)
        {
            guard.raise_minimum(decode_lease(row->value).value().fencing);
        }
    }

    [[nodiscard]] int holder_count() const
    {
        int count = 0;
        for (std::size_t i = 0; i < processes_.size(); ++i)
        {
            count += processes_.at(i).lease->is_held(local_time(i)) ? 1 : 0;
        }
        return count;
    }

    /// Ends all faults; one process must then acquire the lease.
    void recover()
    {
        platform_up_ = true;
        for (process_state& process : processes_)
        {
            process.paused = false;
        }
        constexpr int rounds = 40;
        for (int round = 0; round < rounds && holder_count() == 0; ++round)
        {
            advance_time(milliseconds(100));
        }
        RC_ASSERT(holder_count() == 1);
    }

    event_counts& counts_;
    milliseconds now_{};
    std::array<process_state, 3> processes_;
    table_service::memory_table table_;
    bool platform_up_ = true;
    std::vector<table_service::transaction> delayed_writes_;
    std::vector<pending_order> orders_;
    /// Keeps its minimum throughout the history.
    fencing_guard upstream_;
    /// Loses its minimum with every restart.
    fencing_guard sidecar_;
    std::array<fencing_number, 2> highest_admitted_;
    /// The process and incarnation that acquired each fencing number.
    std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> owners_;
    std::uint64_t last_write_id_ = 0;
    std::set<std::uint64_t> applied_writes_;
    std::set<std::uint64_t> rejected_writes_;
};

TEST(
    lease_property,
    at_most_one_process_holds_lease_and_write_results_are_correct)
{
    constexpr int histories = 100'000;
    event_counts counts;
    check_property(
        histories,
        [&](const choices& script) { lease_simulation(counts).run(script); });
    EXPECT_GT(counts.acquisitions, 50'000U);
    EXPECT_GT(counts.orders_admitted, 10'000U);
    EXPECT_GT(counts.stale_orders_rejected, 1'000U);
    EXPECT_GT(counts.writes_completed, 5'000U);
    EXPECT_GT(counts.writes_not_applied, 1'000U);
}

class lease_state_machine_fixture : public testing::Test
{
protected:
    lease_state_machine_fixture()
    {
        (void)lease_.handle(lease_event::tick{}, now_);
        (void)lease_.handle(
            lease_event::row_read{table_service::optional_row{}}, now_);
        (void)lease_.handle(
            lease_event::rows_written{
                table_service::committed{{table_service::row_version{1}}}},
            now_);
    }

    /// Returns the last command of this type that the event results in.
    template <class Command>
    std::optional<Command> find_command(const lease_input& event)
    {
        std::optional<Command> found;
        for (const lease_command& command : lease_.handle(event, now_))
        {
            if (const auto* const match = std::get_if<Command>(&command))
            {
                found = *match;
            }
        }
        return found;
    }

    mono_time now_{};
    lease_state_machine lease_{
        {.lease_name = "weights",
         .holder = "a",
         .holder_incarnation = incarnation{1}},
        1};
};

TEST_F(
    lease_state_machine_fixture, holder_that_cannot_renew_stops_before_expiry)
{
    EXPECT_TRUE(lease_.is_held(now_));
    now_ += milliseconds(8250);
    EXPECT_FALSE(lease_.is_held(now_));
    EXPECT_TRUE(find_command<lost>(lease_event::tick{}).has_value());
}

TEST_F(
    lease_state_machine_fixture,
    write_with_lost_answer_and_lost_lease_has_unknown_result)
{
    (void)lease_.handle(
        lease_event::write_requested{
            7, {{{"duty", "step"}, std::nullopt, "x"}}},
        now_);
    (void)lease_.handle(
        lease_event::rows_written{table_service::outcome_unknown{}}, now_);
    const lease_record other{
        .holder = "b",
        .holder_incarnation = incarnation{2},
        .fencing = fencing_number{2}};
    const table_service::row row{
        lease_row_key("weights"), encode(other), table_service::row_version{9}};
    const auto completed =
        find_command<write_completed>(lease_event::row_read{row});
    ASSERT_TRUE(completed.has_value());
    EXPECT_EQ(completed->code, result_code::platform_answer_lost);
    EXPECT_FALSE(lease_.is_held(now_));
}

class fencing_guard_fixture : public testing::Test
{
protected:
    fencing_guard guard_;
};

TEST_F(fencing_guard_fixture, order_before_minimum_was_read_is_rejected)
{
    EXPECT_EQ(
        guard_.admit(fencing_number{5}).error().code, result_code::not_ready);
}

TEST_F(fencing_guard_fixture, order_below_minimum_is_rejected)
{
    guard_.raise_minimum(fencing_number{4});
    EXPECT_TRUE(guard_.admit(fencing_number{5}).has_value());
    EXPECT_EQ(
        guard_.admit(fencing_number{4}).error().code,
        result_code::stale_fencing_number);
    guard_.raise_minimum(fencing_number{1});
    EXPECT_FALSE(guard_.admit(fencing_number{4}).has_value());
}

} // namespace
} // namespace wagtailseam::lease
