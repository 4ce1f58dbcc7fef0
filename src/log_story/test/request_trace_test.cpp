// Tests reports on requests from the logs of several processes, also with lost
// lines.
#include "log_story/request_trace.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <string>

namespace wagtailseam::log_story
{
namespace
{

struct request_trace_test : testing::Test
{
    request_trace trace{request_id{"r1"}};

    void add_line(const std::string& text)
    {
        auto line = parse_log_line(text);
        ASSERT_TRUE(line) << text;
        trace.add(std::move(*line));
    }

    void add_timed_out_request()
    {
        add_line("5.0 g1 event=attempt_ended request=r1 attempt=1 upstream=u1 "
                 "end=silent in_flight=2 failure_percent=0 left_us=-2000");
        add_line(
            "5.1 g1 event=request request=r1 route=r workspace=w status=504 "
            "result=deadline_passed code=503 sent=1 runs=1 last_end=silent "
            "upstream=u1 took_us=1102000 configuration=20");
    }

    static bool contains_text(
        const std::vector<report_entry>& lines, const std::string& expected)
    {
        return std::any_of(
            lines.begin(), lines.end(),
            [&](const report_entry& line)
            { return line.text.find(expected) != std::string::npos; });
    }
};

TEST_F(request_trace_test, unresponsive_upstream_is_reported_with_its_attempt)
{
    add_timed_out_request();
    const auto report = trace.report();
    ASSERT_EQ(report.timeline.size(), 2U);
    EXPECT_NE(
        report.timeline[0].text.find("u1 ended: silent"), std::string::npos);
    EXPECT_NE(report.outcome.find("answered 504"), std::string::npos);
    EXPECT_NE(report.outcome.find("1 may have run"), std::string::npos);
    EXPECT_TRUE(report.missing.empty());
}

TEST_F(request_trace_test, quarantined_request_is_reported_with_its_crashes)
{
    add_line("1.0 g2 event=request_quarantined content=c1 crashes=2 "
             "source=refused_connection");
    add_line("2.0 g2 event=request_quarantined content=c1 crashes=3 "
             "source=refused_connection");
    add_line("2.0 g2 event=request_quarantined content=c2 crashes=2");
    add_line("5.1 g1 event=request request=r1 status=503 result=quarantined "
             "code=305 content=c1 sent=0 runs=0 last_end=none upstream=none");
    const auto report = trace.report();
    EXPECT_TRUE(contains_text(report.context, "crashes 3"));
    EXPECT_FALSE(contains_text(report.context, "crashes 2"));
    EXPECT_NE(report.outcome.find("did not run"), std::string::npos);
}

TEST_F(request_trace_test, trial_of_a_content_is_reported_with_its_claim)
{
    add_line("1.0 g2 event=trial_claim content=c1 outcome=claimed");
    add_line("5.1 g1 event=request request=r1 status=503 result=quarantined "
             "code=305 content=c1 sent=0 runs=0 last_end=none upstream=none");
    const auto report = trace.report();
    EXPECT_TRUE(contains_text(report.context, "outcome claimed"));
}

TEST_F(request_trace_test, limit_of_the_upstream_is_reported)
{
    add_line("1.0 g1 event=upstream_limit upstream=u1 limit=3.1");
    add_line("1.0 g1 event=upstream_limit upstream=u2 limit=7");
    add_timed_out_request();
    const auto report = trace.report();
    EXPECT_TRUE(contains_text(report.context, "limit 3.1"));
    EXPECT_FALSE(contains_text(report.context, "limit 7"));
}

TEST_F(request_trace_test, unordered_lines_are_reported_in_time_order)
{
    add_line(
        "5.1 g1 event=request request=r1 status=200 sent=1 last_end=answered");
    add_line("4.9 g1 event=attempt_ended request=r1 attempt=1 upstream=u1");
    const auto report = trace.report();
    EXPECT_EQ(report.timeline.front().timestamp, "4.9000");
}

TEST_F(request_trace_test, context_contains_last_state_before_request_end)
{
    add_line("1.0 g1 event=configuration_in_force number=19");
    add_line("2.0 g1 event=configuration_in_force number=20");
    add_line("2.0 g2 event=dependency_lost table=op");
    add_line("4.0 a1 event=engine_lost upstream=u1");
    add_line("4.0 a2 event=engine_lost upstream=u2");
    add_timed_out_request();
    add_line("6.0 g1 event=configuration_in_force number=21");
    const auto report = trace.report();
    EXPECT_TRUE(contains_text(report.context, "number 20"));
    EXPECT_FALSE(contains_text(report.context, "number 19"));
    EXPECT_FALSE(contains_text(report.context, "number 21"));
    EXPECT_TRUE(contains_text(report.context, "engine lost, upstream u1"));
    EXPECT_FALSE(contains_text(report.context, "upstream u2"));
    EXPECT_FALSE(contains_text(report.context, "dependency lost"));
}

TEST_F(request_trace_test, newer_configuration_elsewhere_is_reported)
{
    add_line("4.0 g2 event=configuration_in_force number=21");
    add_timed_out_request();
    EXPECT_TRUE(contains_text(
        trace.report().context, "configuration 21 was already in force here"));
}

TEST_F(request_trace_test, similar_attempts_of_other_requests_are_counted)
{
    add_line("4.0 g2 event=attempt_ended request=r2 upstream=u1 end=silent");
    add_line("6.5 g3 event=attempt_ended request=r3 upstream=u1 end=silent");
    add_line("1.0 g3 event=attempt_ended request=r4 upstream=u1 end=silent");
    add_line("5.0 g3 event=attempt_ended request=r5 upstream=u2 end=silent");
    add_timed_out_request();
    EXPECT_TRUE(
        contains_text(trace.report().context, "2 attempts of other requests"));
}

TEST_F(request_trace_test, refused_request_is_reported_as_not_run)
{
    add_line(
        "5.0 g1 event=request request=r1 status=503 result=queue_full code=309 "
        "sent=0 runs=0 last_end=none upstream=none took_us=690");
    EXPECT_NE(
        trace.report().outcome.find("so it did not run"), std::string::npos);
}

TEST_F(request_trace_test, lost_lines_are_reported_as_missing)
{
    add_line("5.0 g1 event=attempt_ended request=r1 attempt=1 upstream=u1");
    add_line("5.5 g1 event=log_lines_dropped count=7");
    const auto report = trace.report();
    ASSERT_EQ(report.missing.size(), 2U);
    EXPECT_NE(report.missing[0].find("the line of its end"), std::string::npos);
    EXPECT_NE(
        report.missing[1].find("7 lines dropped by g1"), std::string::npos);
}

TEST_F(request_trace_test, unlogged_attempts_are_reported_as_missing)
{
    add_line(
        "5.1 g1 event=request request=r1 status=200 sent=3 last_end=answered");
    const auto report = trace.report();
    ASSERT_EQ(report.missing.size(), 1U);
    EXPECT_NE(report.missing[0].find("2 of 3 attempts"), std::string::npos);
}

TEST_F(request_trace_test, unknown_request_is_reported)
{
    add_line("5.0 g1 event=request request=r2 status=200");
    EXPECT_EQ(trace.report().outcome, "no log line contains the request ID");
}

TEST(request_trace, recorded_gateway_log_yields_failure_report)
{
    std::ifstream log("src/log_story/test/failed_at_upstream.log");
    ASSERT_TRUE(log);
    request_trace trace(request_id{"ac072837baac53de"});
    for (std::string text; std::getline(log, text);)
    {
        if (auto line = parse_log_line(text))
        {
            trace.add(std::move(*line));
        }
    }
    const auto report = trace.report();
    EXPECT_EQ(report.timeline.size(), 2U);
    EXPECT_TRUE(report.missing.empty());
    EXPECT_NE(
        report.outcome.find("answered 504 after 1101.1 ms: upstream_lost"),
        std::string::npos);
    EXPECT_NE(report.outcome.find("configuration 25"), std::string::npos);
}

TEST(request_trace, excess_context_lines_are_evicted_and_reported)
{
    request_trace trace(request_id{"r1"}, {.max_context_lines = 10});
    for (int number = 0; number < 25; ++number)
    {
        trace.add(*parse_log_line(
            "1.0 g event=configuration_in_force number=" +
            std::to_string(number)));
    }
    trace.add(*parse_log_line(
        "2.0 g event=request request=r1 status=200 sent=0 last_end=none"));
    const auto report = trace.report();
    ASSERT_FALSE(report.missing.empty());
    EXPECT_NE(report.missing.back().find("15 older lines"), std::string::npos);
}

} // namespace
} // namespace wagtailseam::log_story
