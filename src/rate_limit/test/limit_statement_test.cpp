// Tests of the limits that responses name.
#include "rate_limit/limit_statement.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::rate_limit
{
namespace
{

TEST(limit_statement, decimal_number_is_a_rate)
{
    EXPECT_EQ(parse_limit("3.1"), limit_statement(request_rate{3.1}));
    EXPECT_EQ(parse_limit("0"), limit_statement(request_rate{0}));
    EXPECT_EQ(parse_limit("12"), limit_statement(request_rate{12}));
    EXPECT_EQ(parse_limit("0.05"), limit_statement(request_rate{0.05}));
}

TEST(limit_statement, empty_text_is_no_limit)
{
    EXPECT_EQ(parse_limit(""), limit_statement(no_limit{}));
}

TEST(limit_statement, other_texts_are_unreadable)
{
    for (const char* const text :
         {"nan", "inf", "-inf", "-1", "-0.5", "abc", "3,1", "3.1/s", "1e3",
          "0x10", "3 4", "--", "."})
    {
        EXPECT_EQ(parse_limit(text), limit_statement(unreadable_limit{text}))
            << text;
    }
}

TEST(limit_statement, long_unreadable_text_is_shortened)
{
    const auto statement = parse_limit(std::string(10000, 'x'));
    const auto* const unreadable = std::get_if<unreadable_limit>(&statement);
    ASSERT_NE(unreadable, nullptr);
    EXPECT_EQ(unreadable->text.size(), 32U);
}

} // namespace
} // namespace wagtailseam::rate_limit
