// Checks which agent frees parts, and that it waits until no process can still
// read them.
#include "agent/cache_sweep_scheduler.hpp"
#include "serving/cache_salt.hpp"

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

/// Parts in a store, by the version of the weights that computed them.
class swept_parts_fixture : public testing::Test
{
protected:
    static serving::part_key part(const serving::cache_salt& salt)
    {
        return {salt, serving::part_id{"p"}};
    }

    static serving::part_key part(
        const model_id& of, std::uint64_t version, const char* scope = "")
    {
        return part(serving::make_cache_salt(
            {of, weight_version{version}, serving::cache_scope{scope}}));
    }

    void hold(const serving::part_key& held, const model_id& of)
    {
        content_.complete.push_back(
            {.key = held, .tokens = token_count{5}, .model = of});
    }

    [[nodiscard]] std::vector<serving::part_key> parts_before(
        const model_id& of, std::uint64_t version) const
    {
        return parts_of_older_weights(content_, of, weight_version{version});
    }

    serving::cache_content content_;
};

TEST_F(swept_parts_fixture, only_parts_of_older_weights_of_the_model_are_freed)
{
    const model_id other{"other"};
    hold(part(model, 1), model);
    hold(part(model, 2), model);
    hold(part(other, 1), other);
    hold(part(serving::cache_salt{"foreign"}), model);
    content_.incomplete = {part(model, 1, "i.workspace"), part(other, 1)};
    EXPECT_EQ(
        parts_before(model, 2),
        (std::vector{part(model, 1), part(model, 1, "i.workspace")}));
}

/// Guards against MIXED: new weights of a model freed the parts of all models
/// whose names continued with a dot, and the parts of these were never freed.
TEST_F(swept_parts_fixture, models_with_a_common_beginning_keep_their_parts)
{
    const std::vector<model_id> models{
        model_id{"reader-1"},     model_id{"reader-1.5"},
        model_id{"reader-1.i.w"}, model_id{"reader-1%2E5"},
        model_id{"w9"},           model_id{"r.0"}};
    for (const auto& each : models)
    {
        hold(part(each, 2), each);
        hold(part(each, 2, "i.w"), each);
        content_.incomplete.push_back(part(each, 2, "r.0.s.1"));
    }
    for (const auto& each : models)
    {
        EXPECT_EQ(
            parts_before(each, 9), (std::vector{
                                       part(each, 2), part(each, 2, "i.w"),
                                       part(each, 2, "r.0.s.1")}));
        EXPECT_TRUE(parts_before(each, 2).empty());
    }
}

/// Parts of earlier releases remain in stores that free nothing themselves.
/// Gateways of these releases may still use them.
TEST_F(
    swept_parts_fixture, legacy_parts_are_freed_with_the_weights_of_their_model)
{
    const model_id dotted{"m.5"};
    const auto legacy = part(serving::cache_salt{"w2.m.5"});
    const auto legacy_scoped = part(serving::cache_salt{"w2.m.i.workspace"});
    hold(legacy, dotted);
    hold(legacy_scoped, model);
    EXPECT_EQ(parts_before(model, 9), std::vector{legacy_scoped});
    EXPECT_EQ(parts_before(dotted, 9), std::vector{legacy});
    EXPECT_TRUE(parts_before(dotted, 2).empty());
}

TEST_F(
    swept_parts_fixture, incomplete_legacy_part_of_an_ambiguous_model_is_left)
{
    content_.incomplete = {
        part(serving::cache_salt{"w1.m.5"}), part(serving::cache_salt{"w1.m"})};
    EXPECT_EQ(
        parts_before(model, 9), std::vector{part(serving::cache_salt{"w1.m"})});
    EXPECT_TRUE(parts_before(model_id{"m.5"}, 9).empty());
}

} // namespace
} // namespace wagtailseam::agent
