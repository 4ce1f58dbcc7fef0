// Stores with slow links, and overload that delays all prompts.
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
    const http::address slow_store{"10.0.0.1:1"};
    const http::address fast_store{"10.0.0.2:2"};
    fetch_throttle throttle;
    mono_time now{seconds(100)};

    /// Records prompts whose first bytes exceed their expected time by `delay`.
    void record_prompts(
        const std::optional<http::address>& fetched_from, int count,
        milliseconds delay)
    {
        for (int i = 0; i < count; ++i)
        {
            now += milliseconds(5);
            throttle.record_first_byte(
                fetched_from, delay, milliseconds(400), now);
        }
    }

    /// Returns how many of 100 prompts may fetch from a store.
    int admitted_fetches(const http::address& store)
    {
        int admitted = 0;
        for (int i = 0; i < 100; ++i)
        {
            admitted += throttle.admit_fetch(store, now) ? 1 : 0;
        }
        return admitted;
    }
};

TEST_F(fetch_throttle_fixture, unknown_store_admits_all_fetches)
{
    EXPECT_EQ(admitted_fetches(fast_store), 100);
}

TEST_F(fetch_throttle_fixture, slow_store_admits_few_fetches_and_fast_store_all)
{
    record_prompts(slow_store, 40, milliseconds(300));
    record_prompts(fast_store, 40, milliseconds(20));
    EXPECT_LT(admitted_fetches(slow_store), 20);
    EXPECT_EQ(admitted_fetches(fast_store), 100);
}

TEST_F(fetch_throttle_fixture, slow_store_admits_fetches_again_after_decay)
{
    record_prompts(slow_store, 40, milliseconds(300));
    now += seconds(6);
    EXPECT_EQ(admitted_fetches(slow_store), 100);
}

TEST_F(
    fetch_throttle_fixture, delay_of_all_prompts_is_not_attributed_to_the_store)
{
    record_prompts(slow_store, 40, milliseconds(300));
    record_prompts(std::nullopt, 40, milliseconds(300));
    EXPECT_EQ(admitted_fetches(slow_store), 100);
}

RC_GTEST_PROP(
    fetch_throttle_property, excess_late_share_stays_within_bounds,
    (const std::vector<std::uint8_t>& samples))
{
    fetch_throttle throttle;
    const http::address store{"10.0.0.1:1"};
    mono_time now{seconds(100)};
    for (const auto sample : samples)
    {
        now += milliseconds(sample);
        throttle.record_first_byte(
            sample % 3 == 0 ? std::nullopt : std::optional(store),
            milliseconds(sample * 4), milliseconds(400), now);
        const double share = throttle.excess_late_share(store, now);
        RC_ASSERT(share >= 0.0);
        RC_ASSERT(share <= 1.0);
        (void)throttle.admit_fetch(store, now);
    }
}

} // namespace
} // namespace wagtailseam::serving
