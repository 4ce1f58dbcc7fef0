// Tests the datagrams with crash reports.
#include "quarantine/crash_report.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::quarantine
{
namespace
{

constexpr std::size_t max_datagram_bytes = 1400;

crash_report make_report(int number)
{
    return {
        content_fingerprint(sha256(std::to_string(number))),
        {.crashes = {crash_id("i-00000001/1733300000000"), crash_id("b/2")},
         .runs = {{crash_id("i-00000001/1733300000000"), "01234567"}},
         .cleared = {crash_id("b/2")},
         .expires = wall_time(std::chrono::hours(9))}};
}

TEST(crash_report, many_reports_arrive_unchanged_in_small_datagrams)
{
    constexpr int count = 40;
    std::vector<crash_report> sent;
    sent.reserve(count);
    for (int number = 0; number < count; ++number)
    {
        sent.push_back(make_report(number));
    }
    std::vector<crash_report> received;
    for (const auto& datagram : encode_datagrams(sent))
    {
        EXPECT_LE(datagram.size(), max_datagram_bytes);
        EXPECT_TRUE(is_crash_report(datagram));
        const auto decoded = decode_datagram(datagram);
        ASSERT_TRUE(decoded);
        received.insert(
            received.end(), decoded.value().begin(), decoded.value().end());
    }
    EXPECT_EQ(received, sent);
}

TEST(crash_report, no_reports_need_no_datagram)
{
    EXPECT_TRUE(encode_datagrams({}).empty());
}

TEST(crash_report, truncated_or_changed_datagram_is_rejected_or_still_valid)
{
    const auto datagram = encode_datagrams({make_report(1)}).at(0);
    for (std::size_t size = 0; size < datagram.size(); ++size)
    {
        EXPECT_FALSE(decode_datagram(datagram.substr(0, size)));
    }
    for (std::size_t index = 0; index < datagram.size(); ++index)
    {
        auto changed = datagram;
        changed[index] = static_cast<char>(changed[index] ^ 0x55);
        const auto decoded = decode_datagram(changed);
        EXPECT_TRUE(!decoded || decoded.value().size() <= 1);
    }
    EXPECT_FALSE(decode_datagram("S" + datagram));
}

TEST(content_fingerprint, query_counts_only_without_a_body)
{
    const workspace_id w("w");
    EXPECT_NE(
        make_request_fingerprint(w, "/a?x=1", ""),
        make_request_fingerprint(w, "/a?x=2", ""));
    EXPECT_EQ(
        make_request_fingerprint(w, "/a?x=1", "body"),
        make_request_fingerprint(w, "/a?x=2", "body"));
}

TEST(content_fingerprint, workspace_path_and_body_distinguish_requests)
{
    const auto base = make_request_fingerprint(workspace_id("w"), "/a", "body");
    EXPECT_EQ(base, make_request_fingerprint(workspace_id("w"), "/a", "body"));
    EXPECT_NE(base, make_request_fingerprint(workspace_id("v"), "/a", "body"));
    EXPECT_NE(base, make_request_fingerprint(workspace_id("w"), "/b", "body"));
    EXPECT_NE(base, make_request_fingerprint(workspace_id("w"), "/a", "other"));
}

} // namespace
} // namespace wagtailseam::quarantine
