// Lines as programs write them, as collectors pass them on, and broken ones.
#include "log_story/log_line.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::log_story
{
namespace
{

TEST(log_line, own_line_gives_time_event_and_fields)
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
    EXPECT_FALSE(line->collected_s);
}

TEST(log_line, collectors_words_are_clock_and_source)
{
    const auto line =
        parse_log_line("  -9.9257 front-a-1 time=x event=started vm=v");
    ASSERT_TRUE(line);
    EXPECT_EQ(line->source, "front-a-1");
    ASSERT_TRUE(line->collected_s);
    EXPECT_DOUBLE_EQ(*line->collected_s, -9.9257);
}

TEST(log_line, quoted_value_keeps_blanks_and_quotes)
{
    const auto line =
        parse_log_line(R"(event=e detail="no \"x\" = y" store=s)");
    ASSERT_TRUE(line);
    EXPECT_EQ(line->field("detail"), R"(no "x" = y)");
    EXPECT_EQ(line->field("store"), "s");
    EXPECT_FALSE(line->cut);
}

TEST(log_line, line_cut_in_a_quoted_value_says_so)
{
    const auto line = parse_log_line(R"(event=e detail="no en)");
    ASSERT_TRUE(line);
    EXPECT_TRUE(line->cut);
    EXPECT_EQ(line->field("detail"), "no en");
}

TEST(log_line, text_without_event_is_no_line)
{
    EXPECT_FALSE(parse_log_line(""));
    EXPECT_FALSE(parse_log_line("terminate called: a=b"));
}

RC_GTEST_PROP(log_line_property, any_bytes_are_read_or_refused, ())
{
    (void)parse_log_line(*rc::gen::arbitrary<std::string>());
}

RC_GTEST_PROP(log_line_property, any_cut_of_a_line_is_read_or_refused, ())
{
    const std::string whole =
        R"( 1.5 vm time=t event=request request=ab detail="a \" b" code=3)";
    const auto length = *rc::gen::inRange<std::size_t>(0, whole.size() + 1);
    const auto line = parse_log_line(whole.substr(0, length));
    const auto event_ends = whole.find("request=ab");
    RC_ASSERT(line.has_value() || length < event_ends);
}

} // namespace
} // namespace wagtailseam::log_story
