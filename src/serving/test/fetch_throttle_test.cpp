// Stores whose links are slowed, and loads that make all prompts late.
#include "serving/fetch_throttle.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

struct fetch_throttle_fixture : testing::Test
{
    const http::address slow{"10.0.0.1:1"};
    const http::address fine{"10.0.0.2:2"};
    fetch_throttle throttle;
    mono_time now{seconds(100)};

    void prompts(
        const std::optional<http::address>& from, int count, milliseconds late)
    {
        for (int at = 0; at < count; ++at)
        {
            now += milliseconds(5);
            throttle.record_first_byte(from, late, milliseconds(400), now);
        }
    }

    /// Returns how many of 100 prompts fetch from a store.
    int turns(const http::address& store)
    {
        int taken = 0;
        for (int at = 0; at < 100; ++at)
        {
            taken += throttle.admit_fetch(store, now) ? 1 : 0;
        }
        return taken;
    }
};

TEST_F(fetch_throttle_fixture, unknown_store_is_fetched_from)
{
    EXPECT_EQ(turns(fine), 100);
}

TEST_F(fetch_throttle_fixture, slowed_store_gets_few_prompts_and_others_all)
{
    prompts(slow, 40, milliseconds(300));
    prompts(fine, 40, milliseconds(20));
    EXPECT_LT(turns(slow), 20);
    EXPECT_EQ(turns(fine), 100);
}

TEST_F(fetch_throttle_fixture, store_is_tried_again_in_time)
{
    prompts(slow, 40, milliseconds(300));
    now += seconds(6);
    EXPECT_EQ(turns(slow), 100);
}

TEST_F(fetch_throttle_fixture, lateness_that_all_prompts_share_is_no_stores)
{
    prompts(slow, 40, milliseconds(300));
    prompts(std::nullopt, 40, milliseconds(300));
    EXPECT_EQ(turns(slow), 100);
}

RC_GTEST_PROP(
    fetch_throttle_property, any_notes_keep_the_share_within_bounds,
    (const std::vector<std::uint8_t>& notes))
{
    fetch_throttle throttle;
    const http::address store{"10.0.0.1:1"};
    mono_time now{seconds(100)};
    for (const auto note : notes)
    {
        now += milliseconds(note);
        throttle.record_first_byte(
            note % 3 == 0 ? std::nullopt : std::optional(store),
            milliseconds(note * 4), milliseconds(400), now);
        const double share = throttle.excess_late_share(store, now);
        RC_ASSERT(share >= 0.0);
        RC_ASSERT(share <= 1.0);
        (void)throttle.admit_fetch(store, now);
    }
}

} // namespace
} // namespace wagtailseam::serving
