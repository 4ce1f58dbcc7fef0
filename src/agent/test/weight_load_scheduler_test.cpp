// Engines load in turns, all within the bound, whatever is heard.
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
    for (std::size_t at = 0; at < count; ++at)
    {
        ids.emplace_back(std::to_string(1000 + at));
    }
    return ids;
}

engine_state running(std::uint64_t version, std::uint64_t orders = 0)
{
    return {.weights = {{model, weight_version{version}}}, .orders = orders};
}

class weight_load_scheduler_fixture : public testing::Test
{
protected:
    weight_load_scheduler make(std::size_t rank, std::size_t count)
    {
        weight_load_scheduler turns({.bound = seconds(8)});
        const auto ids = engine_ids(count);
        turns.place(ids, ids[rank]);
        turns.name({model, weight_version{2}}, now_);
        return turns;
    }

    mono_time now_{seconds(1000)};
};

TEST_F(weight_load_scheduler_fixture, first_engine_is_ordered_at_once)
{
    auto turns = make(0, 9);
    const auto order = turns.due(running(1, 4), now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->version, weight_version{2});
    EXPECT_EQ(order->expected_orders, 4U);
}

TEST_F(weight_load_scheduler_fixture, later_engine_waits_for_those_before_it)
{
    auto turns = make(8, 9);
    EXPECT_FALSE(turns.due(running(1), now_));
    const auto ids = engine_ids(9);
    for (std::size_t at = 0; at < 8; ++at)
    {
        turns.hear(ids[at], {{model, weight_version{2}}});
    }
    EXPECT_TRUE(turns.due(running(1), now_));
}

TEST_F(
    weight_load_scheduler_fixture,
    engine_before_that_says_nothing_holds_no_one_up)
{
    auto turns = make(8, 9);
    EXPECT_TRUE(turns.due(running(1), now_ + seconds(6)));
}

TEST_F(
    weight_load_scheduler_fixture,
    agent_that_restarts_in_a_rollout_ends_it_in_time)
{
    // Power went off everywhere four seconds after the naming; the bound runs
    // on meanwhile.
    weight_load_scheduler turns({.bound = seconds(8)});
    const auto ids = engine_ids(9);
    turns.place(ids, ids[8]);
    turns.name({model, weight_version{2}}, now_, true);
    EXPECT_FALSE(turns.due(running(1), now_));
    EXPECT_TRUE(turns.due(running(1), now_ + seconds(2)));
}

TEST_F(weight_load_scheduler_fixture, engine_with_the_weights_is_not_ordered)
{
    auto turns = make(0, 9);
    EXPECT_FALSE(turns.due(running(2), now_));
}

TEST_F(weight_load_scheduler_fixture, busy_engine_is_not_ordered)
{
    auto turns = make(0, 9);
    auto busy = running(1);
    busy.busy = true;
    EXPECT_FALSE(turns.due(busy, now_));
}

TEST_F(
    weight_load_scheduler_fixture,
    order_without_effect_is_repeated_after_a_while)
{
    auto turns = make(0, 1);
    ASSERT_TRUE(turns.due(running(1), now_));
    EXPECT_FALSE(turns.due(running(1), now_ + milliseconds(1499)));
    EXPECT_TRUE(turns.due(running(1), now_ + milliseconds(1500)));
}

TEST_F(
    weight_load_scheduler_fixture,
    weights_named_during_a_rollout_replace_the_target)
{
    auto turns = make(0, 1);
    ASSERT_TRUE(turns.due(running(1), now_));
    turns.name({model, weight_version{3}}, now_ + milliseconds(100));
    const auto order = turns.due(running(1), now_ + milliseconds(100));
    ASSERT_TRUE(order);
    EXPECT_EQ(order->version, weight_version{3});
}

TEST_F(weight_load_scheduler_fixture, older_naming_is_ignored)
{
    auto turns = make(0, 1);
    EXPECT_FALSE(turns.name({model, weight_version{1}}, now_));
    const auto order = turns.due(running(1), now_);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->version, weight_version{2});
}

RC_GTEST_PROP(
    weight_load_scheduler, fleet_of_any_size_has_weights_within_bound, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 60);
    const auto lost_words = *rc::gen::inRange(0, 101);
    const milliseconds load(570);
    const duration bound = seconds(8);
    const auto ids = engine_ids(count);
    const mono_time named{seconds(1000)};
    random_source random(*rc::gen::arbitrary<std::uint64_t>());
    std::vector<weight_load_scheduler> agents;
    std::vector<std::optional<mono_time>> done(count);
    for (std::size_t at = 0; at < count; ++at)
    {
        agents.emplace_back(weight_load_options{.bound = bound});
        agents.back().place(ids, ids[at]);
        agents.back().name({model, weight_version{2}}, named);
    }
    std::size_t most_loading = 0;
    for (mono_time now = named; now <= named + bound; now += milliseconds(100))
    {
        std::size_t loading = 0;
        for (std::size_t at = 0; at < count; ++at)
        {
            const bool has = done[at] && *done[at] <= now;
            auto state = running(has ? 2 : 1);
            state.busy = done[at] && *done[at] > now;
            if (agents[at].due(state, now))
            {
                done[at] = now + load;
            }
            loading += done[at] && *done[at] > now ? 1U : 0U;
            for (auto& other : agents)
            {
                if (static_cast<int>(random.below(100)) >= lost_words)
                {
                    other.hear(ids[at], state.weights);
                }
            }
        }
        most_loading = std::max(most_loading, loading);
    }
    for (const auto& at : done)
    {
        RC_ASSERT(at.has_value());
        RC_ASSERT(*at <= named + bound);
    }
    // A third of the fleet at least goes on serving, but for small ones.
    RC_ASSERT(most_loading <= std::max<std::size_t>(2, count * 2 / 3));
}

} // namespace
} // namespace wagtailseam::agent
