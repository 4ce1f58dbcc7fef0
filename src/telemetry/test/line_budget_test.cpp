// A flood of lines of one kind.
#include "telemetry/line_budget.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::telemetry
{
namespace
{

TEST(line_budget, flood_writes_no_more_than_the_budget_a_second)
{
    line_budget budget(20);
    mono_time now{std::chrono::seconds(100)};
    int written = 0;
    for (int ms = 0; ms < 3000; ++ms)
    {
        written += budget.take(now + std::chrono::milliseconds(ms)) ? 1 : 0;
    }
    EXPECT_EQ(written, 60);
}

TEST(line_budget, next_line_tells_how_many_were_left_out)
{
    line_budget budget(1);
    const mono_time now{std::chrono::seconds(100)};
    EXPECT_EQ(budget.take(now), 0U);
    EXPECT_FALSE(budget.take(now));
    EXPECT_FALSE(budget.take(now));
    EXPECT_EQ(budget.take(now + std::chrono::seconds(1)), 2U);
}

} // namespace
} // namespace wagtailseam::telemetry
