// Tests the link scheduler in virtual time with a simulated link, whose actual
// rate the scheduler has to observe.
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

constexpr double rate_limit = 1000.0; // bytes per second

digest block_of(std::uint64_t number)
{
    return sha256(std::to_string(number));
}

/// Simulates a link, executes the scheduler's commands and records them.
class simulated_link
{
public:
    explicit simulated_link(std::size_t concurrency_limit, double slowdown)
        : scheduler(
              {.rate_limit = byte_rate{rate_limit},
               .concurrency_limit = concurrency_limit,
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
            if (const auto* completed = std::get_if<complete_transfer>(&next))
            {
                ++completions[completed->id];
                queued.erase(completed->id);
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
        queued[transfer_id{id}] = priority;
        send(transfer_requested{
            transfer_id{id}, block_of(block), upstream_id{"r"}, priority,
            byte_count{100 + 50 * (block % 5)}, std::nullopt});
    }

    /// Advances the time to `end`, completing transfers and firing timers.
    void advance(mono_time end)
    {
        while (true)
        {
            const auto transfer = active.begin();
            const auto wake = wakes.begin();
            const bool timer_is_next =
                wake != wakes.end() &&
                (transfer == active.end() || *wake < transfer->first.first);
            const auto next = timer_is_next ? *wake
                              : transfer == active.end()
                                  ? mono_time::max()
                                  : transfer->first.first;
            if (next > end)
            {
                break;
            }
            now = std::max(now, next);
            if (timer_is_next)
            {
                wakes.erase(wake);
                send(timer_fired{});
                continue;
            }
            const auto finished = transfer->second;
            active.erase(transfer);
            active_blocks.erase(finished.block);
            send(transfer_finished{finished.id});
        }
        now = end;
    }

    void start(const start_transfer& started)
    {
        RC_ASSERT(active_blocks.insert(started.block).second);
        for (const auto& [id, priority] : queued)
        {
            // The started class is the highest of the queued ones. Transfers of
            // one block share the highest class among them.
            RC_ASSERT(
                priority >= queued.at(started.id) || id == started.id ||
                block_sharing.contains(started.id));
        }
        starts.emplace_back(now, started.bytes.value());
        const auto transfer_time = seconds_to_duration(
            slowdown_ * static_cast<double>(started.bytes.value()) /
            rate_limit);
        active.emplace(
            std::pair(now + transfer_time, started.id.value()), started);
        // All queued transfers of this block share the started job.
        const auto block = started.block;
        std::erase_if(
            queued,
            [&](const auto& item) { return blocks.at(item.first) == block; });
    }

    link_scheduler scheduler;
    mono_time now{};
    std::multimap<std::pair<mono_time, std::uint64_t>, start_transfer> active;
    std::set<mono_time> wakes;
    std::set<digest> active_blocks;
    std::map<transfer_id, transfer_class> queued;
    std::map<transfer_id, digest> blocks;
    std::set<transfer_id> block_sharing;
    std::map<transfer_id, int> completions;
    std::vector<std::pair<mono_time, std::uint64_t>> starts;

private:
    double slowdown_;
};

/// Requests a random number of transfers, for distinct blocks if `distinct`,
/// and runs the link until all have completed. Returns their number.
std::uint64_t run_random_transfers(simulated_link& link, bool distinct)
{
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 40);
    for (std::uint64_t id = 1; id <= count; ++id)
    {
        const auto block =
            distinct ? id : *rc::gen::inRange<std::uint64_t>(0, 6);
        const auto level = *rc::gen::inRange<std::uint64_t>(0, 3);
        const auto pause = *rc::gen::inRange(0, 300);
        link.blocks[transfer_id{id}] = block_of(block);
        if (!distinct)
        {
            link.block_sharing.insert(transfer_id{id});
        }
        link.request(id, block, level);
        link.advance(link.now + std::chrono::milliseconds(pause));
    }
    link.advance(link.now + std::chrono::hours(1));
    return count;
}

RC_GTEST_PROP(
    link_scheduler_property, started_bytes_in_any_window_stay_below_rate_limit,
    ())
{
    simulated_link link(*rc::gen::inRange<std::size_t>(1, 4), 0.5);
    run_random_transfers(link, true);
    for (std::size_t from = 0; from < link.starts.size(); ++from)
    {
        double bytes = 0.0;
        for (std::size_t to = from; to + 1 < link.starts.size(); ++to)
        {
            bytes += static_cast<double>(link.starts[to].second);
            const auto window = duration_to_seconds(
                link.starts[to + 1].first - link.starts[from].first);
            RC_ASSERT(bytes <= rate_limit * window + 0.01);
        }
    }
}

RC_GTEST_PROP(
    link_scheduler_property, transfers_complete_once_and_start_in_class_order,
    ())
{
    simulated_link link(1, *rc::gen::element(0.5, 1.0, 7.0));
    const auto count = run_random_transfers(link, true);
    RC_ASSERT(link.completions.size() == count);
    for (const auto& [id, completion_count] : link.completions)
    {
        RC_ASSERT(completion_count == 1);
    }
}

RC_GTEST_PROP(
    link_scheduler_property, transfers_of_same_block_share_job_and_all_complete,
    ())
{
    simulated_link link(3, 2.0);
    const auto count = run_random_transfers(link, false);
    RC_ASSERT(link.completions.size() == count);
    RC_ASSERT(link.starts.size() <= count);
}

class link_scheduler_test : public ::testing::Test
{
protected:
    [[nodiscard]] static transfer_requested make_request(
        std::uint64_t id, transfer_class priority)
    {
        return {transfer_id{id}, block_of(id),     upstream_id{"r"},
                priority,        byte_count{1000}, std::nullopt};
    }

    template <class Command>
    [[nodiscard]] static std::size_t count(const std::vector<command>& commands)
    {
        std::size_t found = 0;
        for (const auto& next : commands)
        {
            found += std::holds_alternative<Command>(next) ? 1U : 0U;
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

TEST_F(link_scheduler_test, queued_import_estimate_includes_queue_and_own_time)
{
    send(make_request(1, transfer_class::first_token), now_);
    send(make_request(2, transfer_class::first_token), now_);
    send(make_request(3, transfer_class::export_copy), now_);
    EXPECT_EQ(
        scheduler_.estimated_transfer_time(
            transfer_class::first_token, byte_count{1000},
            now_ + std::chrono::milliseconds(500)),
        std::chrono::milliseconds(2500));
}

TEST_F(link_scheduler_test, import_that_cannot_meet_deadline_is_abandoned)
{
    send(make_request(1, transfer_class::first_token), now_);
    auto late_request = make_request(2, transfer_class::first_token);
    late_request.completion_deadline = now_ + std::chrono::milliseconds(1500);
    send(late_request, now_);
    const auto commands =
        send(transfer_finished{transfer_id{1}}, now_ + std::chrono::seconds(1));
    ASSERT_EQ(count<complete_transfer>(commands), 2U);
    EXPECT_EQ(
        std::get<complete_transfer>(commands.back()).code,
        result_code::import_abandoned);
    EXPECT_EQ(scheduler_.statistics().abandoned, 1U);
}

TEST_F(link_scheduler_test, rate_after_slowdown_follows_completed_transfers)
{
    for (std::uint64_t id = 1; id <= 5; ++id)
    {
        send(make_request(id, transfer_class::first_token), now_);
        now_ += std::chrono::seconds(10);
        send(transfer_finished{transfer_id{id}}, now_);
    }
    EXPECT_NEAR(scheduler_.rate().value(), 100.0, 5.0);
}

TEST_F(link_scheduler_test, cancelled_queued_transfer_never_starts)
{
    send(make_request(1, transfer_class::first_token), now_);
    send(make_request(2, transfer_class::first_token), now_);
    send(transfer_cancelled{transfer_id{2}}, now_);
    const auto commands =
        send(transfer_finished{transfer_id{1}}, now_ + std::chrono::seconds(1));
    EXPECT_EQ(count<start_transfer>(commands), 0U);
    EXPECT_EQ(scheduler_.queued_jobs(transfer_class::first_token), 0U);
}

TEST_F(link_scheduler_test, full_class_rejects_transfer_and_other_class_accepts)
{
    link_scheduler small({.rate_limit = byte_rate{1000.0}, .queue_limit = 1});
    static_cast<void>(
        small.handle(make_request(1, transfer_class::export_copy), now_));
    static_cast<void>(
        small.handle(make_request(2, transfer_class::export_copy), now_));
    const auto third =
        small.handle(make_request(3, transfer_class::export_copy), now_);
    ASSERT_EQ(count<complete_transfer>(third), 1U);
    EXPECT_EQ(
        std::get<complete_transfer>(third.front()).code,
        result_code::queue_full);
    EXPECT_EQ(
        count<complete_transfer>(
            small.handle(make_request(4, transfer_class::first_token), now_)),
        0U);
}

} // namespace
} // namespace wagtailseam::link
