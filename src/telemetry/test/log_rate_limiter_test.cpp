// A flood of lines of one kind.
#include "telemetry/log_rate_limiter.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::telemetry
{
namespace
{

TEST(log_rate_limiter, flood_writes_no_more_than_the_budget_a_second)
{
    log_rate_limiter budget(20);
    mono_time now{std::chrono::seconds(100)};
    int written = 0;
    for (int ms = 0; ms < 3000; ++ms)
    {
        written +=
            budget.try_acquire(now + std::chrono::milliseconds(ms)) ? 1 : 0;
    }
    EXPECT_EQ(written, 60);
}

TEST(log_rate_limiter, next_line_tells_how_many_were_left_out)
{
    log_rate_limiter budget(1);
    const mono_time now{std::chrono::seconds(100)};
    EXPECT_EQ(budget.try_acquire(now), 0U);
    EXPECT_FALSE(budget.try_acquire(now));
    EXPECT_FALSE(budget.try_acquire(now));
    EXPECT_EQ(budget.try_acquire(now + std::chrono::seconds(1)), 2U);
}

} // namespace
} // namespace wagtailseam::telemetry
