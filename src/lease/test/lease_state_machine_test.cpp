// Leases under pauses, lost answers, delayed writes, crashes and outages.
#include "core/test/histories.hpp"
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

struct totals
{
    std::uint64_t acquisitions = 0;
    std::uint64_t orders_run = 0;
    std::uint64_t stale_orders_refused = 0;
    std::uint64_t writes_done = 0;
    std::uint64_t writes_lost = 0;
};

/// Three processes that want the lease, an upstream that checks fencing
/// numbers and one whose sidecar does, a platform that loses and delays.
class world
{
public:
    explicit world(totals& counts) : counts_(counts)
    {
        for (std::size_t i = 0; i < all_.size(); ++i)
        {
            restart(i);
        }
    }

    void run(const choices& script)
    {
        for (const std::uint16_t choice : script)
        {
            step(choice % 16U, choice / 16U);
            RC_ASSERT(holders() <= 1);
        }
        heal();
    }

private:
    struct process
    {
        std::optional<lease_state_machine> core;
        std::optional<lease_command> open_call;
        std::uint64_t life = 0;
        bool paused = false;
    };

    struct order
    {
        std::size_t target = 0;
        fencing_number fencing;
    };

    /// Clocks start anywhere and run up to 2 % fast or slow.
    [[nodiscard]] mono_time local(std::size_t i) const
    {
        constexpr std::array<std::int64_t, 3> percent{98, 100, 102};
        return mono_time(
            milliseconds(7919 * (i + 1)) + now_ * percent.at(i) / 100);
    }

    void restart(std::size_t i)
    {
        process& at = all_.at(i);
        ++at.life;
        at.open_call.reset();
        at.paused = false;
        at.core.emplace(
            lease_options{
                .duty = "weights",
                .holder = "entry-" + std::to_string(i),
                .life = incarnation{at.life},
                .length = milliseconds(900),
                .renew_interval = milliseconds(300),
                .margin = milliseconds(90),
                .retry_delay = milliseconds(25)},
            1000 * i + 100'000 * at.life);
        feed(i, lease_event::tick{});
    }

    void step(unsigned kind, unsigned detail)
    {
        const std::size_t i = detail % all_.size();
        switch (kind)
        {
        case 0:
            restart(i);
            break;
        case 1:
            all_.at(i).paused = !all_.at(i).paused;
            break;
        case 2:
            platform_up_ = !platform_up_;
            break;
        case 3:
            apply_delayed();
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
            want_write(i);
            break;
        case 9:
        case 10:
        case 11:
            pass_time(milliseconds(25 * (detail % 16)));
            break;
        default:
            answer(i, detail / 3);
            break;
        }
    }

    void pass_time(milliseconds length)
    {
        now_ += length;
        for (std::size_t i = 0; i < all_.size(); ++i)
        {
            feed(i, lease_event::tick{});
            answer(i, 7);
        }
    }

    void feed(std::size_t i, const lease_input& event)
    {
        process& at = all_.at(i);
        if (at.paused)
        {
            return;
        }
        for (lease_command& command : at.core->handle(event, local(i)))
        {
            std::visit([&](auto& kind) { obey(i, kind); }, command);
        }
    }

    void obey(std::size_t i, read_row& command)
    {
        RC_ASSERT(!all_.at(i).open_call.has_value());
        all_.at(i).open_call = std::move(command);
    }

    void obey(std::size_t i, write_rows& command)
    {
        RC_ASSERT(!all_.at(i).open_call.has_value());
        all_.at(i).open_call = std::move(command);
    }

    void obey(std::size_t i, const acquired& command)
    {
        ++counts_.acquisitions;
        const auto owner = std::make_pair(i, all_.at(i).life);
        const auto [first, is_new] =
            owners_.emplace(command.fencing.value(), owner);
        RC_ASSERT(is_new || first->second == owner);
    }

    void obey(std::size_t /*i*/, const lost& /*command*/) {}

    void obey(std::size_t /*i*/, const write_completed& command)
    {
        const bool in_effect = effective_.contains(command.id);
        if (command.code == result_code::ok)
        {
            ++counts_.writes_done;
            RC_ASSERT(in_effect);
        }
        else if (command.code != result_code::platform_answer_lost)
        {
            ++counts_.writes_lost;
            RC_ASSERT(!in_effect);
            denied_.insert(command.id);
        }
    }

    void obey(std::size_t i, const wake_at& command)
    {
        RC_ASSERT(command.when > local(i));
    }

    void answer(std::size_t i, unsigned choice)
    {
        process& at = all_.at(i);
        if (at.paused || !at.open_call)
        {
            return;
        }
        const lease_command open = *at.open_call;
        at.open_call.reset();
        if (const auto* const read = std::get_if<read_row>(&open))
        {
            const bool works = platform_up_ && choice % 8 != 0;
            feed(
                i, lease_event::row_read{
                       works ? table_service::read_answer(table_.read(read->at))
                             : table_service::read_answer(
                                   table_service::read_failed{})});
            return;
        }
        const auto& wanted = std::get<write_rows>(open).wanted;
        feed(i, lease_event::rows_written{answer_write(wanted, choice)});
    }

    table_service::transaction_answer answer_write(
        const table_service::transaction& wanted, unsigned choice)
    {
        if (!platform_up_ || choice % 8 == 0)
        {
            return table_service::refused{};
        }
        if (choice % 8 == 1)
        {
            delayed_.push_back(wanted);
            return table_service::answer_lost{};
        }
        auto answer = apply(wanted);
        return choice % 8 == 2 ? table_service::transaction_answer(
                                     table_service::answer_lost{})
                               : answer;
    }

    table_service::transaction_answer apply(
        const table_service::transaction& wanted)
    {
        const auto before = table_.read(lease_row_key("weights"));
        auto answer = table_.apply(wanted);
        if (!std::holds_alternative<table_service::committed>(answer))
        {
            return answer;
        }
        const auto after = decode_lease(*wanted.writes[0].value).value();
        for (std::size_t w = 1; w < wanted.writes.size(); ++w)
        {
            // A guarded write takes effect under its own holder only, once.
            const auto holder = decode_lease(before->value).value();
            RC_ASSERT(holder.fencing == after.fencing);
            const auto id = std::stoull(*wanted.writes[w].value);
            RC_ASSERT(effective_.insert(id).second);
            RC_ASSERT(!denied_.contains(id));
        }
        return answer;
    }

    void apply_delayed()
    {
        if (!delayed_.empty())
        {
            apply(delayed_.front());
            delayed_.erase(delayed_.begin());
        }
    }

    void want_write(std::size_t i)
    {
        ++write_ids_;
        feed(
            i, lease_event::write_requested{
                   write_ids_,
                   {{{"duty", "step"},
                     std::nullopt,
                     std::to_string(write_ids_)}}});
    }

    /// The check and the sending are not atomic: a pause may lie between.
    void send_order(std::size_t i, std::size_t target)
    {
        process& at = all_.at(i);
        if (!at.paused && at.core->may_act(local(i)))
        {
            orders_.push_back({target, at.core->fencing()});
        }
    }

    void deliver_order(unsigned detail)
    {
        if (orders_.empty())
        {
            return;
        }
        const auto at = orders_.begin() +
                        static_cast<std::ptrdiff_t>(detail % orders_.size());
        const order arrived = *at;
        orders_.erase(at);
        fencing_guard& fence = arrived.target == 0 ? engine_ : sidecar_;
        if (!fence.has_floor())
        {
            read_floor(fence);
        }
        const auto verdict = fence.admit(arrived.fencing);
        if (!verdict)
        {
            ++counts_.stale_orders_refused;
            return;
        }
        ++counts_.orders_run;
        fencing_number& highest = highest_run_.at(arrived.target);
        RC_ASSERT(arrived.fencing >= highest);
        highest = arrived.fencing;
    }

    /// A target without a floor reads it before the first order.
    void read_floor(fencing_guard& fence)
    {
        const auto row = table_.read(lease_row_key("weights"));
        if (platform_up_ && row)
        {
            fence.raise(decode_lease(row->value).value().fencing);
        }
    }

    [[nodiscard]] int holders() const
    {
        int count = 0;
        for (std::size_t i = 0; i < all_.size(); ++i)
        {
            count += all_.at(i).core->may_act(local(i)) ? 1 : 0;
        }
        return count;
    }

    /// Everything works again: one process must get the lease.
    void heal()
    {
        platform_up_ = true;
        for (process& each : all_)
        {
            each.paused = false;
        }
        constexpr int rounds = 40;
        for (int round = 0; round < rounds && holders() == 0; ++round)
        {
            pass_time(milliseconds(100));
        }
        RC_ASSERT(holders() == 1);
    }

    totals& counts_;
    milliseconds now_{};
    std::array<process, 3> all_;
    table_service::memory_table table_;
    bool platform_up_ = true;
    std::vector<table_service::transaction> delayed_;
    std::vector<order> orders_;
    /// Keeps its floor over restarts of its sidecar.
    fencing_guard engine_;
    /// Loses its floor with each restart.
    fencing_guard sidecar_;
    std::array<fencing_number, 2> highest_run_;
    /// Which life of which process was told that it holds a number.
    std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> owners_;
    std::uint64_t write_ids_ = 0;
    std::set<std::uint64_t> effective_;
    std::set<std::uint64_t> denied_;
};

TEST(lease_property, one_fenced_holder_acts_and_guarded_writes_tell_the_truth)
{
    constexpr int histories = 100'000;
    totals counts;
    check_histories(
        histories, [&](const choices& script) { world(counts).run(script); });
    EXPECT_GT(counts.acquisitions, 50'000U);
    EXPECT_GT(counts.orders_run, 10'000U);
    EXPECT_GT(counts.stale_orders_refused, 1'000U);
    EXPECT_GT(counts.writes_done, 5'000U);
    EXPECT_GT(counts.writes_lost, 1'000U);
}

class lease_state_machine_fixture : public testing::Test
{
protected:
    lease_state_machine_fixture()
    {
        (void)core_.handle(lease_event::tick{}, now_);
        (void)core_.handle(
            lease_event::row_read{table_service::found_row{}}, now_);
        (void)core_.handle(
            lease_event::rows_written{
                table_service::committed{{table_service::row_version{1}}}},
            now_);
    }

    /// Whether the core commands this in answer to an event.
    template <class Command>
    std::optional<Command> commanded(const lease_input& event)
    {
        std::optional<Command> found;
        for (const lease_command& command : core_.handle(event, now_))
        {
            if (const auto* const match = std::get_if<Command>(&command))
            {
                found = *match;
            }
        }
        return found;
    }

    mono_time now_{};
    lease_state_machine core_{
        {.duty = "weights", .holder = "a", .life = incarnation{1}}, 1};
};

TEST_F(
    lease_state_machine_fixture,
    holder_that_cannot_renew_is_told_before_the_end)
{
    EXPECT_TRUE(core_.may_act(now_));
    now_ += milliseconds(8250);
    EXPECT_FALSE(core_.may_act(now_));
    EXPECT_TRUE(commanded<lost>(lease_event::tick{}).has_value());
}

TEST_F(
    lease_state_machine_fixture,
    write_whose_answer_and_lease_were_lost_is_unknown)
{
    (void)core_.handle(
        lease_event::write_requested{
            7, {{{"duty", "step"}, std::nullopt, "x"}}},
        now_);
    (void)core_.handle(
        lease_event::rows_written{table_service::answer_lost{}}, now_);
    const lease_record other{
        .holder = "b", .life = incarnation{2}, .fencing = fencing_number{2}};
    const table_service::row row{
        lease_row_key("weights"), encode(other), table_service::row_version{9}};
    const auto done = commanded<write_completed>(lease_event::row_read{row});
    ASSERT_TRUE(done.has_value());
    EXPECT_EQ(done->code, result_code::platform_answer_lost);
    EXPECT_FALSE(core_.may_act(now_));
}

class fencing_guard_fixture : public testing::Test
{
protected:
    fencing_guard fence_;
};

TEST_F(fencing_guard_fixture, order_before_the_floor_was_read_is_refused)
{
    EXPECT_EQ(
        fence_.admit(fencing_number{5}).error().code, result_code::not_ready);
}

TEST_F(fencing_guard_fixture, order_below_the_floor_is_refused)
{
    fence_.raise(fencing_number{4});
    EXPECT_TRUE(fence_.admit(fencing_number{5}).has_value());
    EXPECT_EQ(
        fence_.admit(fencing_number{4}).error().code,
        result_code::stale_fencing_number);
    fence_.raise(fencing_number{1});
    EXPECT_FALSE(fence_.admit(fencing_number{4}).has_value());
}

} // namespace
} // namespace wagtailseam::lease
