// Tests of the datagrams with limit reports.
#include "rate_limit/limit_report.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace wagtailseam::rate_limit
{
namespace
{

const limit_report report{
    .process = {upstream_id("i-1"), 1733300000000},
    .rate = request_rate{3.1},
    .age = std::chrono::milliseconds(20)};

TEST(limit_report, rate_and_end_of_a_limit_arrive_unchanged)
{
    auto ended = report;
    ended.rate.reset();
    for (const auto& sent : {report, ended})
    {
        const auto decoded = decode_limit_report(encode(sent));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded.value(), sent);
    }
}

TEST(limit_report, truncated_or_changed_datagram_is_rejected_or_still_valid)
{
    const auto datagram = encode(report);
    for (std::size_t size = 0; size < datagram.size(); ++size)
    {
        EXPECT_FALSE(decode_limit_report(datagram.substr(0, size)));
    }
    for (std::size_t index = 0; index < datagram.size(); ++index)
    {
        auto changed = datagram;
        changed[index] = static_cast<char>(changed[index] ^ 0x55);
        const auto decoded = decode_limit_report(changed);
        EXPECT_TRUE(
            !decoded || !decoded.value().rate ||
            decoded.value().rate->value() >= 0);
    }
}

TEST(limit_report, rate_that_is_no_rate_is_rejected)
{
    for (const double rate : {-1.0, 1.0 / 0.0, 0.0 / 0.0})
    {
        auto changed = report;
        changed.rate = request_rate{rate};
        EXPECT_FALSE(decode_limit_report(encode(changed))) << rate;
    }
}

} // namespace
} // namespace wagtailseam::rate_limit
