// Who frees which parts, and when no process can still read them.
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

    /// Sweeps due over time, as (ms after the naming, engine, store).
    [[nodiscard]] std::size_t sweeps_until(duration end)
    {
        std::size_t count = 0;
        for (const auto& engine : engines_)
        {
            cache_sweep_scheduler sweep;
            sweep.name({model, weight_version{2}}, now_);
            for (duration at{}; at <= end; at += milliseconds(100))
            {
                count += sweep.due(stores_, engines_, engine, now_ + at).size();
            }
        }
        return count;
    }
};

TEST_F(cache_sweep_scheduler_fixture, no_store_is_swept_while_parts_may_be_read)
{
    EXPECT_EQ(sweeps_until(serving::sweep_rest - milliseconds(100)), 0U);
}

TEST_F(
    cache_sweep_scheduler_fixture,
    each_store_is_swept_by_one_agent_and_by_a_second)
{
    EXPECT_EQ(sweeps_until(serving::sweep_rest), stores_.size());
    EXPECT_EQ(sweeps_until(seconds(30)), stores_.size() * 2);
}

TEST_F(
    cache_sweep_scheduler_fixture,
    later_naming_does_not_put_off_the_first_sweep)
{
    std::size_t swept_before_second = 0;
    for (const auto& engine : engines_)
    {
        cache_sweep_scheduler sweep;
        sweep.name({model, weight_version{2}}, now_);
        sweep.name({model, weight_version{3}}, now_ + seconds(4));
        for (const auto& due :
             sweep.due(stores_, engines_, engine, now_ + serving::sweep_rest))
        {
            EXPECT_EQ(due.oldest_kept, weight_version{2});
            ++swept_before_second;
        }
    }
    EXPECT_EQ(swept_before_second, stores_.size());
}

TEST_F(cache_sweep_scheduler_fixture, unlisted_engine_sweeps_nothing)
{
    cache_sweep_scheduler sweep;
    sweep.name({model, weight_version{2}}, now_);
    EXPECT_TRUE(sweep.due(stores_, engines_, upstream_id{}, now_ + seconds(60))
                    .empty());
}

TEST(parts_of_older_weights, only_older_weights_of_the_model_are_named)
{
    const auto part = [](const char* salt)
    {
        return serving::kept_part{
            serving::cache_salt{salt}, serving::part_id{"p"}};
    };
    const serving::cache_content content{
        .held =
            {{part("w1.m"), token_count{5}},
             {part("w2.m"), token_count{5}},
             {part("w1.other"), token_count{5}},
             {part("foreign"), token_count{5}}},
        .unfinished = {part("w1.m.workspace")}};
    const auto named =
        parts_of_older_weights(content, model, weight_version{2});
    ASSERT_EQ(named.size(), 2U);
    EXPECT_EQ(named[0], part("w1.m"));
    EXPECT_EQ(named[1], part("w1.m.workspace"));
}

} // namespace
} // namespace wagtailseam::agent
