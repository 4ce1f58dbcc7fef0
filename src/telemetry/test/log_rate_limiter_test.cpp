// Tests the rate limit for log lines of one kind.
#include "telemetry/log_rate_limiter.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::telemetry
{
namespace
{

TEST(log_rate_limiter, high_rate_admits_configured_lines_per_second)
{
    log_rate_limiter limiter(20);
    mono_time now{std::chrono::seconds(100)};
    int admitted = 0;
    for (int ms = 0; ms < 3000; ++ms)
    {
        admitted +=
            limiter.try_acquire(now + std::chrono::milliseconds(ms)) ? 1 : 0;
    }
    EXPECT_EQ(admitted, 60);
}

TEST(log_rate_limiter, next_admitted_line_reports_suppressed_count)
{
    log_rate_limiter limiter(1);
    const mono_time now{std::chrono::seconds(100)};
    EXPECT_EQ(limiter.try_acquire(now), 0U);
    EXPECT_FALSE(limiter.try_acquire(now));
    EXPECT_FALSE(limiter.try_acquire(now));
    EXPECT_EQ(limiter.try_acquire(now + std::chrono::seconds(1)), 2U);
}

} // namespace
} // namespace wagtailseam::telemetry
