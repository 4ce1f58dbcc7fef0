// Requests that failed, told from lines of several processes; some lines are
// lost.
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
    request_trace collected{request_id{"r1"}};

    void say(const std::string& text)
    {
        auto line = parse_log_line(text);
        ASSERT_TRUE(line) << text;
        collected.add(std::move(*line));
    }

    void end_silently()
    {
        say("5.0 g1 event=attempt_ended request=r1 attempt=1 upstream=u1 "
            "end=silent in_flight=2 failure_percent=0 left_us=-2000");
        say("5.1 g1 event=request request=r1 route=r workspace=w status=504 "
            "result=deadline_passed code=503 sent=1 runs=1 last_end=silent "
            "upstream=u1 took_us=1102000 configuration=20");
    }

    static bool tells(
        const std::vector<report_entry>& lines, const std::string& part)
    {
        return std::any_of(
            lines.begin(), lines.end(),
            [&](const report_entry& line)
            { return line.text.find(part) != std::string::npos; });
    }
};

TEST_F(request_trace_test, silent_upstream_is_told_with_its_attempt)
{
    end_silently();
    const auto told = collected.report();
    ASSERT_EQ(told.timeline.size(), 2U);
    EXPECT_NE(
        told.timeline[0].text.find("u1 ended: silent"), std::string::npos);
    EXPECT_NE(told.outcome.find("answered 504"), std::string::npos);
    EXPECT_NE(told.outcome.find("1 may have run"), std::string::npos);
    EXPECT_TRUE(told.missing.empty());
}

TEST_F(request_trace_test, lines_in_any_order_are_told_in_time_order)
{
    say("5.1 g1 event=request request=r1 status=200 sent=1 last_end=answered");
    say("4.9 g1 event=attempt_ended request=r1 attempt=1 upstream=u1");
    const auto told = collected.report();
    EXPECT_EQ(told.timeline.front().timestamp, "4.9000");
}

TEST_F(request_trace_test, beliefs_before_the_end_are_told_the_last_of_each)
{
    say("1.0 g1 event=configuration_in_force number=19");
    say("2.0 g1 event=configuration_in_force number=20");
    say("2.0 g2 event=dependency_lost table=op");
    say("4.0 a1 event=engine_lost upstream=u1");
    say("4.0 a2 event=engine_lost upstream=u2");
    end_silently();
    say("6.0 g1 event=configuration_in_force number=21");
    const auto told = collected.report();
    EXPECT_TRUE(tells(told.context, "number 20"));
    EXPECT_FALSE(tells(told.context, "number 19"));
    EXPECT_FALSE(tells(told.context, "number 21"));
    EXPECT_TRUE(tells(told.context, "engine lost, upstream u1"));
    EXPECT_FALSE(tells(told.context, "upstream u2"));
    EXPECT_FALSE(tells(told.context, "dependency lost"));
}

TEST_F(request_trace_test, newer_configuration_elsewhere_is_told)
{
    say("4.0 g2 event=configuration_in_force number=21");
    end_silently();
    EXPECT_TRUE(tells(
        collected.report().context,
        "configuration 21 was in force here already"));
}

TEST_F(request_trace_test, same_end_of_other_requests_is_counted)
{
    say("4.0 g2 event=attempt_ended request=r2 upstream=u1 end=silent");
    say("6.5 g3 event=attempt_ended request=r3 upstream=u1 end=silent");
    say("1.0 g3 event=attempt_ended request=r4 upstream=u1 end=silent");
    say("5.0 g3 event=attempt_ended request=r5 upstream=u2 end=silent");
    end_silently();
    EXPECT_TRUE(
        tells(collected.report().context, "2 attempts of other requests"));
}

TEST_F(request_trace_test, refused_request_is_told_not_to_have_run)
{
    say("5.0 g1 event=request request=r1 status=503 result=queue_full code=309 "
        "sent=0 runs=0 last_end=none upstream=none took_us=690");
    EXPECT_NE(
        collected.report().outcome.find("so it did not run"),
        std::string::npos);
}

TEST_F(request_trace_test, lost_lines_are_told_as_missing)
{
    say("5.0 g1 event=attempt_ended request=r1 attempt=1 upstream=u1");
    say("5.5 g1 event=log_lines_dropped count=7");
    const auto told = collected.report();
    ASSERT_EQ(told.missing.size(), 2U);
    EXPECT_NE(told.missing[0].find("its last line"), std::string::npos);
    EXPECT_NE(told.missing[1].find("7 lines that g1"), std::string::npos);
}

TEST_F(request_trace_test, attempts_without_lines_are_told_as_missing)
{
    say("5.1 g1 event=request request=r1 status=200 sent=3 last_end=answered");
    const auto told = collected.report();
    ASSERT_EQ(told.missing.size(), 1U);
    EXPECT_NE(told.missing[0].find("2 of 3 attempts"), std::string::npos);
}

TEST_F(request_trace_test, unknown_request_is_told_so)
{
    say("5.0 g1 event=request request=r2 status=200");
    EXPECT_EQ(collected.report().outcome, "no line names the request");
}

TEST(request_trace, lines_of_a_gateway_on_a_bench_day_tell_the_failure)
{
    std::ifstream log("src/log_story/test/failed_at_upstream.log");
    ASSERT_TRUE(log);
    request_trace collected(request_id{"ac072837baac53de"});
    for (std::string text; std::getline(log, text);)
    {
        if (auto line = parse_log_line(text))
        {
            collected.add(std::move(*line));
        }
    }
    const auto told = collected.report();
    EXPECT_EQ(told.timeline.size(), 2U);
    EXPECT_TRUE(told.missing.empty());
    EXPECT_NE(
        told.outcome.find("answered 504 after 1101.1 ms: upstream_lost"),
        std::string::npos);
    EXPECT_NE(told.outcome.find("configuration 25"), std::string::npos);
}

TEST(request_trace, flood_of_belief_lines_is_bounded_and_told)
{
    request_trace collected(request_id{"r1"}, {.max_context_lines = 10});
    for (int number = 0; number < 25; ++number)
    {
        collected.add(*parse_log_line(
            "1.0 g event=configuration_in_force number=" +
            std::to_string(number)));
    }
    collected.add(*parse_log_line(
        "2.0 g event=request request=r1 status=200 sent=0 last_end=none"));
    const auto told = collected.report();
    ASSERT_FALSE(told.missing.empty());
    EXPECT_NE(told.missing.back().find("15 older lines"), std::string::npos);
}

} // namespace
} // namespace wagtailseam::log_story
