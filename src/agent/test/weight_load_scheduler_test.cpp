// Engines load a few at a time, and all before the deadline however many
// status messages are lost.
#include "agent/weight_load_scheduler.hpp"
#include "core/random_source.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace wagtailseam::agent
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const model_id model{"m"};

std::vector<upstream_id> engine_ids(std::size_t count)
{
    std::vector<upstream_id> ids;
    for (std::size_t index = 0; index < count; ++index)
    {
        ids.emplace_back(std::to_string(1000 + index));
    }
    return ids;
}

engine_state engine_running(
    std::uint64_t version, std::uint64_t accepted_orders = 0)
{
    return {
        .weights = {{model, weight_version{version}}},
        .accepted_orders = accepted_orders};
}

class weight_load_scheduler_fixture : public testing::Test
{
protected:
    weight_load_scheduler make_scheduler(std::size_t rank, std::size_t count)
    {
        weight_load_scheduler scheduler({.rollout_deadline = seconds(8)});
        const auto ids = engine_ids(count);
        scheduler.set_engines(ids, ids[rank]);
        scheduler.set_target({model, weight_version{2}}, now_);
        return scheduler;
    }

    mono_time now_{seconds(1000)};
};

TEST_F(weight_load_scheduler_fixture, first_engine_gets_order_immediately)
{
    auto scheduler = make_scheduler(0, 9);
    const auto order = scheduler.next_order(engine_running(1, 4), now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->version, weight_version{2});
    EXPECT_EQ(order->expected_orders, 4U);
}

TEST_F(weight_load_scheduler_fixture, engine_waits_for_those_before_it)
{
    auto scheduler = make_scheduler(8, 9);
    EXPECT_FALSE(scheduler.next_order(engine_running(1), now_));
    const auto ids = engine_ids(9);
    for (std::size_t index = 0; index < 8; ++index)
    {
        scheduler.record_weights(ids[index], {{model, weight_version{2}}});
    }
    EXPECT_TRUE(scheduler.next_order(engine_running(1), now_));
}

TEST_F(
    weight_load_scheduler_fixture,
    silent_engine_does_not_delay_later_ones_indefinitely)
{
    auto scheduler = make_scheduler(8, 9);
    EXPECT_TRUE(scheduler.next_order(engine_running(1), now_ + seconds(6)));
}

TEST_F(
    weight_load_scheduler_fixture,
    agent_restarted_during_rollout_completes_it_in_time)
{
    // All agents restart four seconds after the announcement; the deadline
    // still counts from the announcement.
    weight_load_scheduler scheduler({.rollout_deadline = seconds(8)});
    const auto ids = engine_ids(9);
    scheduler.set_engines(ids, ids[8]);
    scheduler.set_target({model, weight_version{2}}, now_, true);
    EXPECT_FALSE(scheduler.next_order(engine_running(1), now_));
    EXPECT_TRUE(scheduler.next_order(engine_running(1), now_ + seconds(2)));
}

TEST_F(weight_load_scheduler_fixture, engine_with_current_weights_gets_no_order)
{
    auto scheduler = make_scheduler(0, 9);
    EXPECT_FALSE(scheduler.next_order(engine_running(2), now_));
}

TEST_F(weight_load_scheduler_fixture, busy_engine_gets_no_order)
{
    auto scheduler = make_scheduler(0, 9);
    auto busy = engine_running(1);
    busy.busy = true;
    EXPECT_FALSE(scheduler.next_order(busy, now_));
}

TEST_F(
    weight_load_scheduler_fixture,
    order_without_effect_is_resent_after_interval)
{
    auto scheduler = make_scheduler(0, 1);
    ASSERT_TRUE(scheduler.next_order(engine_running(1), now_));
    EXPECT_FALSE(
        scheduler.next_order(engine_running(1), now_ + milliseconds(1499)));
    EXPECT_TRUE(
        scheduler.next_order(engine_running(1), now_ + milliseconds(1500)));
}

TEST_F(
    weight_load_scheduler_fixture,
    target_set_during_rollout_replaces_previous_one)
{
    auto scheduler = make_scheduler(0, 1);
    ASSERT_TRUE(scheduler.next_order(engine_running(1), now_));
    scheduler.set_target({model, weight_version{3}}, now_ + milliseconds(100));
    const auto order =
        scheduler.next_order(engine_running(1), now_ + milliseconds(100));
    ASSERT_TRUE(order);
    EXPECT_EQ(order->version, weight_version{3});
}

// Guards against an engine whose turn starts anew with each announcement, so
// that it keeps replaced weights beyond their deadline.
TEST_F(
    weight_load_scheduler_fixture,
    later_target_does_not_delay_engine_that_runs_weights_before_the_first)
{
    auto scheduler = make_scheduler(8, 9);
    scheduler.set_target({model, weight_version{3}}, now_ + seconds(4));
    EXPECT_FALSE(scheduler.next_order(engine_running(1), now_ + seconds(4)));
    const auto order =
        scheduler.next_order(engine_running(1), now_ + seconds(6));
    ASSERT_TRUE(order);
    EXPECT_EQ(order->version, weight_version{3});
}

TEST_F(
    weight_load_scheduler_fixture,
    engine_with_weights_between_two_targets_waits_for_its_turn)
{
    auto scheduler = make_scheduler(8, 9);
    scheduler.set_target({model, weight_version{3}}, now_ + seconds(4));
    EXPECT_FALSE(scheduler.next_order(engine_running(2), now_ + seconds(6)));
    EXPECT_TRUE(scheduler.next_order(engine_running(2), now_ + seconds(10)));
}

TEST_F(weight_load_scheduler_fixture, older_target_is_ignored)
{
    auto scheduler = make_scheduler(0, 1);
    EXPECT_FALSE(scheduler.set_target({model, weight_version{1}}, now_));
    const auto order = scheduler.next_order(engine_running(1), now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->version, weight_version{2});
}

RC_GTEST_PROP(
    weight_load_scheduler, fleet_of_any_size_completes_rollout_within_deadline,
    ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 60);
    const auto loss_percent = *rc::gen::inRange(0, 101);
    const milliseconds load_time(570);
    const duration rollout_deadline = seconds(8);
    const auto ids = engine_ids(count);
    const mono_time announced_at{seconds(1000)};
    random_source random(*rc::gen::arbitrary<std::uint64_t>());
    std::vector<weight_load_scheduler> schedulers;
    std::vector<std::optional<mono_time>> finished_at(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        schedulers.emplace_back(
            weight_load_options{.rollout_deadline = rollout_deadline});
        schedulers.back().set_engines(ids, ids[index]);
        schedulers.back().set_target({model, weight_version{2}}, announced_at);
    }
    std::size_t max_loading = 0;
    for (mono_time now = announced_at; now <= announced_at + rollout_deadline;
         now += milliseconds(100))
    {
        std::size_t loading = 0;
        for (std::size_t index = 0; index < count; ++index)
        {
            const bool has_weights =
                finished_at[index] && *finished_at[index] <= now;
            auto state = engine_running(has_weights ? 2 : 1);
            state.busy = finished_at[index] && *finished_at[index] > now;
            if (schedulers[index].next_order(state, now))
            {
                finished_at[index] = now + load_time;
            }
            loading +=
                finished_at[index] && *finished_at[index] > now ? 1U : 0U;
            for (auto& other : schedulers)
            {
                if (static_cast<int>(random.below(100)) >= loss_percent)
                {
                    other.record_weights(ids[index], state.weights);
                }
            }
        }
        max_loading = std::max(max_loading, loading);
    }
    for (const auto& finish : finished_at)
    {
        RC_ASSERT(finish.has_value());
        RC_ASSERT(*finish <= announced_at + rollout_deadline);
    }
    // At least a third of the fleet keeps serving, except in very small fleets.
    RC_ASSERT(max_loading <= std::max<std::size_t>(2, count * 2 / 3));
}

} // namespace
} // namespace wagtailseam::agent
