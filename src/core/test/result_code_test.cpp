// Result codes: the table's order, look-ups, and the page in docs.
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

TEST(result_code, table_is_sorted_without_repeats)
{
    const auto table = result_code_table();
    const auto not_ascending = std::adjacent_find(
        table.begin(), table.end(),
        [](const auto& a, const auto& b) { return a.code >= b.code; });
    EXPECT_EQ(not_ascending, table.end());
}

TEST(result_code, unlisted_number_is_outcome_unknown)
{
    EXPECT_EQ(result_code_from_number(499), result_code::outcome_unknown);
    EXPECT_EQ(
        result_code_from_number(70000 + 303), result_code::outcome_unknown);
    EXPECT_EQ(result_code_from_number(303), result_code::no_upstream);
}

TEST(result_code, not_run_groups_exclude_unknown_outcomes)
{
    EXPECT_TRUE(is_not_run(result_code::tombstoned));
    EXPECT_FALSE(is_not_run(result_code::outcome_unknown));
    EXPECT_FALSE(is_not_run(result_code::stream_broken));
    EXPECT_FALSE(is_not_run(result_code::ok));
}

TEST(result_code, documented_page_lists_every_row)
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
