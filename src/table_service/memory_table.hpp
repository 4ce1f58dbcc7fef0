// The table's semantics in memory: behind the platform stand-in, and in tests
// of decision cores.
#ifndef WAGTAILSEAM_TABLE_SERVICE_MEMORY_TABLE_HPP
#define WAGTAILSEAM_TABLE_SERVICE_MEMORY_TABLE_HPP

#include "table_service/table.hpp"

#include <map>
#include <string_view>

namespace wagtailseam::table_service
{

/// A transactional table of rows. Not thread-safe.
class memory_table
{
public:
    /// Applies all writes, or none when a condition does not hold.
    /// @return committed or conflicted.
    /// Complexity: linear in the writes, logarithmic in the rows.
    transaction_result apply(const transaction& asked);

    /// Returns the row, or nothing when it is absent.
    [[nodiscard]] optional_row read(const row_key& at) const;

    /// Returns up to limit rows of a table whose keys begin with prefix and
    /// come after the key `after`, in order of their keys.
    [[nodiscard]] std::vector<row> scan(
        std::string_view table, std::string_view prefix,
        std::string_view after = {}, std::size_t limit = 1000) const;

    /// Returns the number of rows in all tables.
    [[nodiscard]] std::size_t size() const noexcept { return rows_.size(); }

private:
    [[nodiscard]] bool condition_holds(const row_write& write) const;

    std::map<row_key, row> rows_;
    /// Not lowered by deletes, so that a version is never used twice.
    std::uint64_t last_version_ = 0;
};

} // namespace wagtailseam::table_service

#endif
