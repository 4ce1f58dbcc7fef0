// Tests of the parsing of pauses.
#include "upstream_statement/response_statement.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::upstream_statement
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(parse_pause, seconds_and_fractions_are_read)
{
    EXPECT_EQ(parse_pause("9"), seconds(9));
    EXPECT_EQ(parse_pause("0.25"), milliseconds(250));
    EXPECT_EQ(parse_pause("300"), seconds(300));
}

TEST(parse_pause, other_texts_ask_for_no_pause)
{
    for (const char* const text :
         {"", "soon", "-5", "0", "inf", "-inf", "nan", "9 s", "1e999",
          "Fri, 04 Dec 2026 00:00:00 GMT"})
    {
        EXPECT_EQ(parse_pause(text), duration::zero()) << text;
    }
}

TEST(parse_pause, absurd_pauses_are_bounded)
{
    EXPECT_EQ(parse_pause("999999999999999999999"), max_pause);
}

} // namespace
} // namespace wagtailseam::upstream_statement
