// Tests of the result code table: order, lookups, and agreement with the
// documentation.
#include "core/result_code.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

namespace wagtailseam
{
namespace
{

std::string read_file(const char* path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

TEST(result_code, table_is_strictly_ascending)
{
    const auto table = result_code_table();
    const auto first_violation = std::adjacent_find(
        table.begin(), table.end(),
        [](const auto& a, const auto& b) { return a.code >= b.code; });
    EXPECT_EQ(first_violation, table.end());
}

TEST(result_code, unlisted_number_maps_to_outcome_unknown)
{
    EXPECT_EQ(result_code_from_number(499), result_code::outcome_unknown);
    EXPECT_EQ(
        result_code_from_number(70000 + 303), result_code::outcome_unknown);
    EXPECT_EQ(result_code_from_number(303), result_code::no_upstream);
}

TEST(result_code, is_not_run_is_false_for_unknown_outcome)
{
    EXPECT_TRUE(is_not_run(result_code::tombstoned));
    EXPECT_FALSE(is_not_run(result_code::outcome_unknown));
    EXPECT_FALSE(is_not_run(result_code::stream_broken));
    EXPECT_FALSE(is_not_run(result_code::ok));
}

TEST(result_code, documentation_lists_every_row)
{
    const std::string page = read_file("docs/RESULT_CODES.md");
    ASSERT_FALSE(page.empty());
    for (const result_code_row& row : result_code_table())
    {
        std::ostringstream line;
        line << "| " << static_cast<int>(row.code) << " | `" << row.name
             << "` | " << row.description << " |";
        EXPECT_NE(page.find(line.str()), std::string::npos) << line.str();
    }
    const auto rows = std::count(page.begin(), page.end(), '`') / 2 - 1;
    EXPECT_EQ(static_cast<std::size_t>(rows), result_code_table().size());
}

} // namespace
} // namespace wagtailseam
