// In-memory table with the semantics of the platform's table service, for the
// platform stand-in and for tests of state machines.
#ifndef WAGTAILSEAM_TABLE_SERVICE_MEMORY_TABLE_HPP
#define WAGTAILSEAM_TABLE_SERVICE_MEMORY_TABLE_HPP

#include "table_service/table.hpp"

#include <map>
#include <string_view>

namespace wagtailseam::table_service
{

/// In-memory transactional table. Not thread-safe.
class memory_table
{
public:
    /// Applies all writes, or none if a condition is not met.
    /// @return committed or conflicted
    /// Complexity: linear in the writes, logarithmic in the rows.
    transaction_result apply(const transaction& request);

    /// Returns the row, or std::nullopt if it is absent.
    [[nodiscard]] optional_row read(const row_key& key) const;

    /// Returns up to limit rows of a table whose keys start with prefix and
    /// follow the key `after`, in key order.
    [[nodiscard]] std::vector<row> scan(
        std::string_view table, std::string_view prefix,
        std::string_view after = {}, std::size_t limit = 1000) const;

    /// Returns the number of rows in all tables.
    [[nodiscard]] std::size_t size() const noexcept { return rows_.size(); }

private:
    [[nodiscard]] bool condition_met(const row_write& write) const;

    std::map<row_key, row> rows_;
    /// Never decreases, also on deletes, so that no version is reused.
    std::uint64_t last_version_ = 0;
};

} // namespace wagtailseam::table_service

#endif
