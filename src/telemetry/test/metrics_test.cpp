// Tests counters, summaries, histograms and their Prometheus text.
#include "telemetry/metrics.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::telemetry
{
namespace
{

class metrics_fixture : public testing::Test
{
protected:
    metrics metrics_;
};

TEST_F(metrics_fixture, two_refusals_are_exported_with_their_reason)
{
    metrics_.count_refusal(result_code::draining);
    metrics_.count_refusal(result_code::draining);
    EXPECT_EQ(metrics_.counter_value("wagtail_refusals_total", "draining"), 2U);
    EXPECT_NE(
        metrics_.prometheus_text().find(
            "wagtail_refusals_total{reason=\"draining\"} 2"),
        std::string::npos);
}

TEST_F(metrics_fixture, quantile_of_uniform_samples_is_close_to_exact_value)
{
    for (int i = 0; i <= 1000; ++i)
    {
        metrics_.observe("wagtail_first_token_ms", (i * 7919) % 1001);
    }
    EXPECT_NEAR(metrics_.quantile("wagtail_first_token_ms", 0.95), 950, 20);
}

TEST_F(metrics_fixture, histogram_buckets_are_cumulative)
{
    for (const int ms : {4, 40, 400, 40'000})
    {
        metrics_.observe_duration(
            "wagtail_request_seconds", "route", "r",
            std::chrono::milliseconds(ms));
    }
    const auto text = metrics_.prometheus_text();
    const auto contains_line = [&](const std::string& line)
    { return text.find(line + "\n") != std::string::npos; };
    const std::string bucket = "wagtail_request_seconds_bucket{route=\"r\",le=";
    EXPECT_TRUE(contains_line(bucket + "\"0.005\"} 1"));
    EXPECT_TRUE(contains_line(bucket + "\"0.05\"} 2"));
    EXPECT_TRUE(contains_line(bucket + "\"30\"} 3"));
    EXPECT_TRUE(contains_line(bucket + "\"+Inf\"} 4"));
    EXPECT_TRUE(contains_line("wagtail_request_seconds_count{route=\"r\"} 4"));
}

TEST_F(metrics_fixture, quantile_without_samples_is_zero)
{
    EXPECT_EQ(metrics_.quantile("wagtail_first_token_ms", 0.5), 0);
}

} // namespace
} // namespace wagtailseam::telemetry
