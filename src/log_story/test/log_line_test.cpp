// Tests parsing of plain, prefixed and malformed log lines.
#include "log_story/log_line.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::log_story
{
namespace
{

TEST(log_line, unprefixed_line_yields_time_event_and_fields)
{
    const auto line = parse_log_line(
        "time=2026-09-25T13:44:54.07 level=info program=p event=request "
        "request=ab status=503");
    ASSERT_TRUE(line);
    EXPECT_EQ(line->time, "2026-09-25T13:44:54.07");
    EXPECT_EQ(line->event, "request");
    EXPECT_EQ(line->field("request"), "ab");
    EXPECT_EQ(line->number("status"), 503);
    EXPECT_EQ(line->number("request"), std::nullopt);
    EXPECT_FALSE(line->collector_time_s);
}

TEST(log_line, collector_prefix_yields_timestamp_and_source)
{
    const auto line =
        parse_log_line("  -9.9257 front-a-1 time=x event=started vm=v");
    ASSERT_TRUE(line);
    EXPECT_EQ(line->source, "front-a-1");
    ASSERT_TRUE(line->collector_time_s);
    EXPECT_DOUBLE_EQ(*line->collector_time_s, -9.9257);
}

TEST(log_line, quoted_value_keeps_spaces_and_quotes)
{
    const auto line =
        parse_log_line(R"(event=e detail="no \"x\" = y" store=s)");
    ASSERT_TRUE(line);
    EXPECT_EQ(line->field("detail"), R"(no "x" = y)");
    EXPECT_EQ(line->field("store"), "s");
    EXPECT_FALSE(line->truncated);
}

TEST(log_line, line_ending_in_quoted_value_is_truncated)
{
    const auto line = parse_log_line(R"(event=e detail="no en)");
    ASSERT_TRUE(line);
    EXPECT_TRUE(line->truncated);
    EXPECT_EQ(line->field("detail"), "no en");
}

TEST(log_line, text_without_event_is_rejected)
{
    EXPECT_FALSE(parse_log_line(""));
    EXPECT_FALSE(parse_log_line("terminate called: a=b"));
}

RC_GTEST_PROP(log_line_property, arbitrary_bytes_do_not_crash, ())
{
    (void)parse_log_line(*rc::gen::arbitrary<std::string>());
}

RC_GTEST_PROP(
    log_line_property, truncated_line_is_parsed_if_it_has_its_event, ())
{
    const std::string complete =
        R"( 1.5 vm time=t event=request request=ab detail="a \" b" code=3)";
    const auto length = *rc::gen::inRange<std::size_t>(0, complete.size() + 1);
    const auto line = parse_log_line(complete.substr(0, length));
    const auto event_end = complete.find("request=ab");
    RC_ASSERT(line.has_value() || length < event_end);
}

} // namespace
} // namespace wagtailseam::log_story
