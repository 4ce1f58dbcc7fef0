// Upstreams of one service that differ in speed, or change it.
#include "upstream_speed/speed_estimate.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::upstream_speed
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class speed_estimate_fixture : public testing::Test
{
protected:
    void respond(int times, milliseconds observed)
    {
        for (int i = 0; i < times; ++i)
        {
            estimate_.add(make_measurement(observed, milliseconds(100)), now_);
            now_ += milliseconds(100);
        }
    }
    [[nodiscard]] double ratio() const
    {
        return estimate_.speed(now_).value_or(measured_speed{.ratio = 0}).ratio;
    }

    speed_estimate estimate_;
    mono_time now_{seconds(1000)};
};

TEST_F(speed_estimate_fixture, few_responses_show_no_speed)
{
    respond(3, milliseconds(400));
    EXPECT_FALSE(estimate_.speed(now_));
}

TEST_F(speed_estimate_fixture, slow_responses_raise_the_ratio)
{
    respond(20, milliseconds(200));
    EXPECT_NEAR(ratio(), 2, 0.01);
}

/// A response that waited for a lost packet is no property of its upstream.
TEST_F(speed_estimate_fixture, single_late_response_changes_little)
{
    respond(30, milliseconds(100));
    respond(1, seconds(30));
    EXPECT_LT(ratio(), 1.5);
}

TEST_F(speed_estimate_fixture, change_of_speed_is_followed)
{
    respond(100, milliseconds(300));
    respond(120, milliseconds(100));
    EXPECT_LT(ratio(), 1.3);
}

/// An upstream that recovers is tried by few requests only.
TEST_F(speed_estimate_fixture, few_responses_show_a_change)
{
    respond(1000, milliseconds(300));
    respond(12, milliseconds(100));
    EXPECT_LT(ratio(), 2);
}

/// An upstream that is avoided would otherwise never show that it recovered.
TEST_F(speed_estimate_fixture, old_measurements_are_forgotten)
{
    respond(50, milliseconds(400));
    now_ += seconds(60);
    EXPECT_FALSE(estimate_.speed(now_));
}

class speed_collector_fixture : public testing::Test
{
protected:
    void report(
        const std::string& gateway, std::uint64_t responses,
        std::uint64_t incarnation = 1)
    {
        const auto count = static_cast<duration::rep>(responses);
        collector_.report(
            vm_id{gateway}, incarnation,
            {.responses = responses,
             .observed = count * duration(milliseconds(200)),
             .expected = count * duration(milliseconds(100))},
            now_);
    }

    speed_collector collector_;
    mono_time now_{seconds(1000)};
};

/// Each of many gateways alone sees too few responses.
TEST_F(speed_collector_fixture, measurements_of_gateways_add_up)
{
    for (int i = 0; i < 10; ++i)
    {
        report("g" + std::to_string(i), 1);
        report("g" + std::to_string(i), 2);
    }
    ASSERT_TRUE(collector_.speed(now_));
    EXPECT_NEAR(collector_.speed(now_)->ratio, 2, 0.01);
}

TEST_F(speed_collector_fixture, repeated_report_counts_once)
{
    report("g", 1);
    for (int i = 0; i < 20; ++i)
    {
        report("g", 4);
    }
    EXPECT_FALSE(collector_.speed(now_));
}

/// A late datagram of an earlier run must not count its whole sums.
TEST_F(speed_collector_fixture, restarted_gateway_has_a_new_origin)
{
    report("g", 1000);
    report("g", 1, 2);
    EXPECT_FALSE(collector_.speed(now_));
    report("g", 20, 2);
    EXPECT_TRUE(collector_.speed(now_));
}

/// The sums of a long-lived gateway may be hours old when an agent starts.
TEST_F(speed_collector_fixture, first_report_of_a_gateway_is_the_origin)
{
    report("g", 1000);
    EXPECT_FALSE(collector_.speed(now_));
}

TEST(speed_scale, equal_upstreams_are_not_told_apart)
{
    const speed_scale scale({1.0, 1.1, 1.2});
    EXPECT_DOUBLE_EQ(scale.slowness(measured_speed{.ratio = 1.2}), 1);
}

TEST(speed_scale, slower_upstream_is_compared_with_the_median)
{
    const speed_scale scale({1.0, 1.0, 1.0, 3.0});
    EXPECT_DOUBLE_EQ(scale.slowness(measured_speed{.ratio = 3}), 3);
    EXPECT_DOUBLE_EQ(scale.slowness(measured_speed{.ratio = 1}), 1);
    EXPECT_DOUBLE_EQ(scale.slowness(std::nullopt), 1);
}

/// An upstream that is avoided is measured no more, so that its last
/// measurements must not hold it off for long.
TEST(speed_scale, difference_fades_after_the_last_measurement)
{
    const speed_scale scale({1.0, 1.0, 3.0});
    const auto slowness_at = [&](milliseconds age)
    { return scale.slowness(measured_speed{.ratio = 3, .age = age}); };
    EXPECT_DOUBLE_EQ(slowness_at(milliseconds(900)), 3);
    EXPECT_DOUBLE_EQ(slowness_at(milliseconds(1500)), 2);
    EXPECT_LT(slowness_at(seconds(4)), 1.05);
}

TEST(speed_scale, no_known_speed_is_neutral)
{
    EXPECT_DOUBLE_EQ(speed_scale({}).slowness(measured_speed{.ratio = 2}), 1);
}

/// An upstream must not lose all its requests for any measurement.
RC_GTEST_PROP(speed_scale, slowness_is_bounded, ())
{
    const auto ratios = *rc::gen::container<std::vector<double>>(rc::gen::map(
        rc::gen::inRange(1, 1'000'000),
        [](int thousandths) { return thousandths / 1000.0; }));
    const speed_scale scale(ratios);
    for (const double ratio : ratios)
    {
        const measured_speed speed{
            .ratio = ratio,
            .age =
                duration(*rc::gen::inRange<duration::rep>(0, 1'000'000'000))};
        RC_ASSERT(scale.slowness(speed) >= 0.5);
        RC_ASSERT(scale.slowness(speed) <= 4.0);
    }
}

} // namespace
} // namespace wagtailseam::upstream_speed
