// Properties of the link scheduler, driven in virtual time by a link whose
// rate the test knows and the scheduler does not.
#include "core/random_source.hpp"
#include "link/link_scheduler.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace wagtailseam::link
{
namespace
{

constexpr double rate_limit = 1000.0; // bytes a second

digest block_of(std::uint64_t number)
{
    return sha256(std::to_string(number));
}

/// Plays the shell of one link and remembers what the scheduler did.
class link_history
{
public:
    explicit link_history(std::size_t flight_limit, double slowdown)
        : scheduler(
              {.rate_limit = byte_rate{rate_limit},
               .flight_limit = flight_limit,
               .queue_limit = 8}),
          slowdown_(slowdown)
    {
    }

    void send(const event& incoming)
    {
        for (const auto& next : scheduler.handle(incoming, now))
        {
            if (const auto* started = std::get_if<start_transfer>(&next))
            {
                start(*started);
            }
            if (const auto* over = std::get_if<complete_transfer>(&next))
            {
                ++completions[over->id];
                waiting.erase(over->id);
            }
            if (const auto* wake = std::get_if<wake_at>(&next))
            {
                wakes.insert(wake->when);
            }
        }
    }

    void request(std::uint64_t id, std::uint64_t block, std::uint64_t level)
    {
        const auto priority = static_cast<transfer_class>(level % 3);
        waiting[transfer_id{id}] = priority;
        send(transfer_requested{
            transfer_id{id}, block_of(block), upstream_id{"r"}, priority,
            byte_count{100 + 50 * (block % 5)}, std::nullopt});
    }

    /// Runs the link until `end`, finishing flights and firing timers.
    void advance(mono_time end)
    {
        while (true)
        {
            const auto flight = flights.begin();
            const auto wake = wakes.begin();
            const bool timer =
                wake != wakes.end() &&
                (flight == flights.end() || *wake < flight->first.first);
            const auto next = timer                     ? *wake
                              : flight == flights.end() ? mono_time::max()
                                                        : flight->first.first;
            if (next > end)
            {
                break;
            }
            now = std::max(now, next);
            if (timer)
            {
                wakes.erase(wake);
                send(timer_fired{});
                continue;
            }
            const auto done = flight->second;
            flights.erase(flight);
            in_flight.erase(done.block);
            send(transfer_finished{done.id});
        }
        now = end;
    }

    void start(const start_transfer& started)
    {
        RC_ASSERT(in_flight.insert(started.block).second);
        for (const auto& [id, priority] : waiting)
        {
            // The class that starts is the highest that waits. A joined
            // transfer has taken the class of the flight's highest.
            RC_ASSERT(
                priority >= waiting.at(started.id) || id == started.id ||
                joined.contains(started.id));
        }
        starts.emplace_back(now, started.bytes.value());
        const auto length = seconds_to_duration(
            slowdown_ * static_cast<double>(started.bytes.value()) /
            rate_limit);
        flights.emplace(std::pair(now + length, started.id.value()), started);
        // All that wait for this block are under way now.
        const auto moved = started.block;
        std::erase_if(
            waiting,
            [&](const auto& item) { return blocks.at(item.first) == moved; });
    }

    link_scheduler scheduler;
    mono_time now{};
    std::multimap<std::pair<mono_time, std::uint64_t>, start_transfer> flights;
    std::set<mono_time> wakes;
    std::set<digest> in_flight;
    std::map<transfer_id, transfer_class> waiting;
    std::map<transfer_id, digest> blocks;
    std::set<transfer_id> joined;
    std::map<transfer_id, int> completions;
    std::vector<std::pair<mono_time, std::uint64_t>> starts;

private:
    double slowdown_;
};

/// Sends random requests over distinct blocks, then lets the link run empty.
std::uint64_t play(link_history& history, bool distinct)
{
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 40);
    for (std::uint64_t id = 1; id <= count; ++id)
    {
        const auto block =
            distinct ? id : *rc::gen::inRange<std::uint64_t>(0, 6);
        const auto level = *rc::gen::inRange<std::uint64_t>(0, 3);
        const auto pause = *rc::gen::inRange(0, 300);
        history.blocks[transfer_id{id}] = block_of(block);
        if (!distinct)
        {
            history.joined.insert(transfer_id{id});
        }
        history.request(id, block, level);
        history.advance(history.now + std::chrono::milliseconds(pause));
    }
    history.advance(history.now + std::chrono::hours(1));
    return count;
}

RC_GTEST_PROP(
    link_scheduler_property, starts_in_any_window_stay_under_ceiling, ())
{
    link_history history(*rc::gen::inRange<std::size_t>(1, 4), 0.5);
    play(history, true);
    for (std::size_t from = 0; from < history.starts.size(); ++from)
    {
        double bytes = 0.0;
        for (std::size_t to = from; to + 1 < history.starts.size(); ++to)
        {
            bytes += static_cast<double>(history.starts[to].second);
            const auto window = duration_to_seconds(
                history.starts[to + 1].first - history.starts[from].first);
            RC_ASSERT(bytes <= rate_limit * window + 0.01);
        }
    }
}

RC_GTEST_PROP(
    link_scheduler_property, transfers_complete_once_and_highest_class_first,
    ())
{
    link_history history(1, *rc::gen::element(0.5, 1.0, 7.0));
    const auto count = play(history, true);
    RC_ASSERT(history.completions.size() == count);
    for (const auto& [id, times] : history.completions)
    {
        RC_ASSERT(times == 1);
    }
}

RC_GTEST_PROP(
    link_scheduler_property, same_block_has_one_flight_and_all_waiters_hear, ())
{
    link_history history(3, 2.0);
    const auto count = play(history, false);
    RC_ASSERT(history.completions.size() == count);
    RC_ASSERT(history.starts.size() <= count);
}

class link_scheduler_test : public ::testing::Test
{
protected:
    [[nodiscard]] static transfer_requested wanted(
        std::uint64_t id, transfer_class priority)
    {
        return {transfer_id{id}, block_of(id),     upstream_id{"r"},
                priority,        byte_count{1000}, std::nullopt};
    }

    template <class Wanted>
    [[nodiscard]] static std::size_t count(const std::vector<command>& commands)
    {
        std::size_t found = 0;
        for (const auto& next : commands)
        {
            found += std::holds_alternative<Wanted>(next) ? 1U : 0U;
        }
        return found;
    }

    std::vector<command> send(const event& incoming, mono_time now)
    {
        return scheduler_.handle(incoming, now);
    }

    link_scheduler scheduler_{{.rate_limit = byte_rate{1000.0}}};
    mono_time now_{std::chrono::seconds(10)};
};

TEST_F(link_scheduler_test, import_behind_queue_estimates_queue_and_itself)
{
    send(wanted(1, transfer_class::first_token), now_);
    send(wanted(2, transfer_class::first_token), now_);
    send(wanted(3, transfer_class::export_copy), now_);
    EXPECT_EQ(
        scheduler_.estimated_transfer_time(
            transfer_class::first_token, byte_count{1000},
            now_ + std::chrono::milliseconds(500)),
        std::chrono::milliseconds(2500));
}

TEST_F(link_scheduler_test, import_that_would_come_late_is_abandoned)
{
    send(wanted(1, transfer_class::first_token), now_);
    auto late = wanted(2, transfer_class::first_token);
    late.completion_deadline = now_ + std::chrono::milliseconds(1500);
    send(late, now_);
    const auto done =
        send(transfer_finished{transfer_id{1}}, now_ + std::chrono::seconds(1));
    ASSERT_EQ(count<complete_transfer>(done), 2U);
    EXPECT_EQ(
        std::get<complete_transfer>(done.back()).code,
        result_code::import_abandoned);
    EXPECT_EQ(scheduler_.use().abandoned, 1U);
}

TEST_F(link_scheduler_test, rate_after_slowdown_follows_observation)
{
    for (std::uint64_t id = 1; id <= 5; ++id)
    {
        send(wanted(id, transfer_class::first_token), now_);
        now_ += std::chrono::seconds(10);
        send(transfer_finished{transfer_id{id}}, now_);
    }
    EXPECT_NEAR(scheduler_.rate().value(), 100.0, 5.0);
}

TEST_F(link_scheduler_test, cancelled_waiting_transfer_never_starts)
{
    send(wanted(1, transfer_class::first_token), now_);
    send(wanted(2, transfer_class::first_token), now_);
    send(transfer_cancelled{transfer_id{2}}, now_);
    const auto done =
        send(transfer_finished{transfer_id{1}}, now_ + std::chrono::seconds(1));
    EXPECT_EQ(count<start_transfer>(done), 0U);
    EXPECT_EQ(scheduler_.waiting(transfer_class::first_token), 0U);
}

TEST_F(link_scheduler_test, full_class_rejects_and_others_still_queue)
{
    link_scheduler small({.rate_limit = byte_rate{1000.0}, .queue_limit = 1});
    static_cast<void>(
        small.handle(wanted(1, transfer_class::export_copy), now_));
    static_cast<void>(
        small.handle(wanted(2, transfer_class::export_copy), now_));
    const auto third =
        small.handle(wanted(3, transfer_class::export_copy), now_);
    ASSERT_EQ(count<complete_transfer>(third), 1U);
    EXPECT_EQ(
        std::get<complete_transfer>(third.front()).code,
        result_code::queue_full);
    EXPECT_EQ(
        count<complete_transfer>(
            small.handle(wanted(4, transfer_class::first_token), now_)),
        0U);
}

} // namespace
} // namespace wagtailseam::link
