// The table's transactions: all or none, conditions, versions.
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
        return table_.apply({{{at(key), absent_row_version, value}}});
    }

    static row_key at(const std::string& key) { return {"t", key}; }

    memory_table table_;
};

TEST_F(memory_table_fixture, insert_of_present_row_conflicts_with_current)
{
    ASSERT_TRUE(std::holds_alternative<committed>(insert("a", "1")));
    const auto answer = insert("a", "2");
    const auto* const conflict = std::get_if<conflicted>(&answer);
    ASSERT_NE(conflict, nullptr);
    EXPECT_EQ(conflict->current->value, "1");
}

TEST_F(memory_table_fixture, transaction_with_one_conflict_writes_nothing)
{
    insert("a", "1");
    const auto answer = table_.apply(
        {{{at("b"), absent_row_version, "2"},
          {at("a"), absent_row_version, "2"}}});
    EXPECT_TRUE(std::holds_alternative<conflicted>(answer));
    EXPECT_FALSE(table_.read(at("b")).has_value());
}

TEST_F(memory_table_fixture, row_written_again_after_delete_has_new_version)
{
    insert("a", "1");
    const row_version first = table_.read(at("a"))->version;
    table_.apply({{{at("a"), first, std::nullopt}}});
    insert("a", "1");
    EXPECT_GT(table_.read(at("a"))->version, first);
}

TEST_F(memory_table_fixture, scan_stays_within_prefix_and_limit)
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
