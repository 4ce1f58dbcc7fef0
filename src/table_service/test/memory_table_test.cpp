// Tests atomicity, conditions, row versions and scans of the in-memory table.
#include "table_service/memory_table.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::table_service
{
namespace
{

class memory_table_fixture : public testing::Test
{
protected:
    transaction_result insert(const std::string& key, const std::string& value)
    {
        return table_.apply({{{key_of(key), absent_row_version, value}}});
    }

    static row_key key_of(const std::string& key) { return {"t", key}; }

    memory_table table_;
};

TEST_F(
    memory_table_fixture,
    insert_of_existing_row_returns_conflict_with_current_row)
{
    ASSERT_TRUE(std::holds_alternative<committed>(insert("a", "1")));
    const auto result = insert("a", "2");
    const auto* const conflict = std::get_if<conflicted>(&result);
    ASSERT_NE(conflict, nullptr);
    EXPECT_EQ(conflict->current->value, "1");
}

TEST_F(
    memory_table_fixture, transaction_with_one_unmet_condition_writes_nothing)
{
    insert("a", "1");
    const auto result = table_.apply(
        {{{key_of("b"), absent_row_version, "2"},
          {key_of("a"), absent_row_version, "2"}}});
    EXPECT_TRUE(std::holds_alternative<conflicted>(result));
    EXPECT_FALSE(table_.read(key_of("b")).has_value());
}

TEST_F(memory_table_fixture, row_rewritten_after_delete_has_higher_version)
{
    insert("a", "1");
    const row_version first_version = table_.read(key_of("a"))->version;
    table_.apply({{{key_of("a"), first_version, std::nullopt}}});
    insert("a", "1");
    EXPECT_GT(table_.read(key_of("a"))->version, first_version);
}

TEST_F(memory_table_fixture, scan_respects_prefix_start_and_limit)
{
    insert("x/1", "1");
    insert("x/2", "2");
    insert("y/1", "3");
    EXPECT_EQ(table_.scan("t", "x/").size(), 2U);
    EXPECT_EQ(table_.scan("t", "x/", "x/1").front().key.key, "x/2");
    EXPECT_EQ(table_.scan("t", "", "", 1).size(), 1U);
}

} // namespace
} // namespace wagtailseam::table_service
