// Tests that broken attempts are matched with the end of their process.
#include "quarantine/crash_attribution.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::quarantine
{
namespace
{

using std::chrono::seconds;

const upstream_process process{upstream_id("u"), 7};

broken_attempt attempt(const std::string& text, mono_time broken_at)
{
    return {
        .suspects = {{content_fingerprint(sha256(text))}},
        .broken_at = broken_at};
}

class crash_attribution_fixture : public testing::Test
{
protected:
    static mono_time at(int second) { return mono_time(seconds(second)); }

    crash_attribution attribution_;
};

TEST_F(
    crash_attribution_fixture,
    attempt_broken_before_the_end_of_its_process_is_attributed_once)
{
    EXPECT_EQ(
        attribution_.record_broken_attempt(process, attempt("a", at(1))),
        process_fate::unknown);
    EXPECT_EQ(
        attribution_.record_process_end(process, at(2)).attempts,
        std::vector{attempt("a", at(1))});
    EXPECT_TRUE(
        attribution_.record_process_end(process, at(3)).attempts.empty());
}

TEST_F(
    crash_attribution_fixture,
    attempt_that_breaks_after_the_end_of_its_process_is_attributed)
{
    EXPECT_TRUE(
        attribution_.record_process_end(process, at(1)).attempts.empty());
    EXPECT_EQ(
        attribution_.record_broken_attempt(process, attempt("a", at(2))),
        process_fate::crashed);
}

TEST_F(
    crash_attribution_fixture,
    attempt_at_a_running_process_is_not_attributed_to_another)
{
    EXPECT_EQ(
        attribution_.record_broken_attempt(process, attempt("a", at(1))),
        process_fate::unknown);
    EXPECT_TRUE(attribution_.record_process_end({process.id, 8}, at(2))
                    .attempts.empty());
    EXPECT_TRUE(attribution_.record_process_end({upstream_id("v"), 7}, at(2))
                    .attempts.empty());
}

TEST_F(crash_attribution_fixture, attempt_outside_the_window_is_forgotten)
{
    EXPECT_EQ(
        attribution_.record_broken_attempt(process, attempt("a", at(1))),
        process_fate::unknown);
    EXPECT_TRUE(
        attribution_.record_process_end(process, at(60)).attempts.empty());
}

TEST_F(crash_attribution_fixture, repeated_end_of_a_process_is_no_news)
{
    EXPECT_TRUE(attribution_.record_process_end(process, at(1)).is_news);
    EXPECT_FALSE(attribution_.record_process_end(process, at(2)).is_news);
}

TEST_F(crash_attribution_fixture, listed_process_counts_as_running_again)
{
    (void)attribution_.record_process_end(process, at(1));
    attribution_.record_process_listed(process);
    EXPECT_EQ(
        attribution_.record_broken_attempt(process, attempt("a", at(2))),
        process_fate::unknown);
}

/// Guards against STARVED: upstreams that were replaced as planned counted as
/// crashes of the requests that had broken off there.
TEST_F(crash_attribution_fixture, end_of_a_process_that_leaves_reveals_nothing)
{
    (void)attribution_.record_broken_attempt(process, attempt("a", at(1)));
    attribution_.record_process_leaving(process, at(2));
    EXPECT_EQ(
        attribution_.record_broken_attempt(process, attempt("b", at(3))),
        process_fate::leaving);
    EXPECT_TRUE(
        attribution_.record_process_end(process, at(4)).attempts.empty());
    EXPECT_EQ(
        attribution_.record_broken_attempt(process, attempt("c", at(5))),
        process_fate::leaving);
}

TEST(crash_attribution, further_processes_displace_the_least_recent_one)
{
    crash_attribution attribution({.max_processes = 2});
    const auto process_at = [](std::uint64_t start) {
        return upstream_process{upstream_id("u"), start};
    };
    const auto now = mono_time(seconds(1));
    for (std::uint64_t start = 1; start <= 3; ++start)
    {
        EXPECT_EQ(
            attribution.record_broken_attempt(
                process_at(start),
                attempt("a", now + seconds(static_cast<int>(start)))),
            process_fate::unknown);
    }
    EXPECT_TRUE(attribution.record_process_end(process_at(1), now + seconds(5))
                    .attempts.empty());
    EXPECT_EQ(
        attribution.record_process_end(process_at(3), now + seconds(5))
            .attempts.size(),
        1U);
}

} // namespace
} // namespace wagtailseam::quarantine
