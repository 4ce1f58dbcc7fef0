// Checks which agent frees parts, and that it waits until no process can still
// read them.
#include "agent/cache_sweep_scheduler.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::agent
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const model_id model{"m"};

class cache_sweep_scheduler_fixture : public testing::Test
{
protected:
    std::vector<serving::cache_store> stores_{
        {.service = serving::service_id{"s1"}},
        {.service = serving::service_id{"s2"}}};
    std::vector<upstream_id> engines_{
        upstream_id{"a"}, upstream_id{"b"}, upstream_id{"c"}};
    mono_time now_{seconds(1000)};

    /// Counts the sweeps that become due at all agents within `end` of the
    /// announcement.
    [[nodiscard]] std::size_t count_sweeps(duration end)
    {
        std::size_t count = 0;
        for (const auto& engine : engines_)
        {
            cache_sweep_scheduler scheduler;
            scheduler.add_target({model, weight_version{2}}, now_);
            for (duration elapsed{}; elapsed <= end;
                 elapsed += milliseconds(100))
            {
                count +=
                    scheduler
                        .due_sweeps(stores_, engines_, engine, now_ + elapsed)
                        .size();
            }
        }
        return count;
    }
};

TEST_F(cache_sweep_scheduler_fixture, no_sweep_is_due_while_parts_may_be_read)
{
    EXPECT_EQ(count_sweeps(serving::sweep_delay - milliseconds(100)), 0U);
}

TEST_F(cache_sweep_scheduler_fixture, each_store_is_swept_by_two_agents_in_turn)
{
    EXPECT_EQ(count_sweeps(serving::sweep_delay), stores_.size());
    EXPECT_EQ(count_sweeps(seconds(30)), stores_.size() * 2);
}

TEST_F(
    cache_sweep_scheduler_fixture,
    later_target_does_not_delay_sweep_for_earlier_one)
{
    std::size_t sweep_count = 0;
    for (const auto& engine : engines_)
    {
        cache_sweep_scheduler scheduler;
        scheduler.add_target({model, weight_version{2}}, now_);
        scheduler.add_target({model, weight_version{3}}, now_ + seconds(4));
        for (const auto& due : scheduler.due_sweeps(
                 stores_, engines_, engine, now_ + serving::sweep_delay))
        {
            EXPECT_EQ(due.oldest_kept, weight_version{2});
            ++sweep_count;
        }
    }
    EXPECT_EQ(sweep_count, stores_.size());
}

TEST_F(cache_sweep_scheduler_fixture, unlisted_engine_sweeps_nothing)
{
    cache_sweep_scheduler scheduler;
    scheduler.add_target({model, weight_version{2}}, now_);
    EXPECT_TRUE(
        scheduler
            .due_sweeps(stores_, engines_, upstream_id{}, now_ + seconds(60))
            .empty());
}

TEST(
    parts_of_older_weights,
    only_parts_of_older_weights_of_the_model_are_returned)
{
    const auto part = [](const char* salt) {
        return serving::part_key{
            serving::cache_salt{salt}, serving::part_id{"p"}};
    };
    const serving::cache_content content{
        .complete =
            {{part("w1.m"), token_count{5}},
             {part("w2.m"), token_count{5}},
             {part("w1.other"), token_count{5}},
             {part("foreign"), token_count{5}}},
        .incomplete = {part("w1.m.workspace")}};
    const auto parts =
        parts_of_older_weights(content, model, weight_version{2});
    ASSERT_EQ(parts.size(), 2U);
    EXPECT_EQ(parts[0], part("w1.m"));
    EXPECT_EQ(parts[1], part("w1.m.workspace"));
}

} // namespace
} // namespace wagtailseam::agent
