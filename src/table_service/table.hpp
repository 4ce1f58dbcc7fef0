// Requests and results of the platform's transactional table service as plain
// data, for state machines that perform no I/O.
#ifndef WAGTAILSEAM_TABLE_SERVICE_TABLE_HPP
#define WAGTAILSEAM_TABLE_SERVICE_TABLE_HPP

#include "core/strong_type.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wagtailseam::table_service
{

/// Version of a row; increases with each write. 0 stands for an absent row. A
/// row that is deleted and written again does not reuse a version.
using row_version = strong_id<struct row_version_tag, std::uint64_t>;

inline const row_version absent_row_version{0};

/// Identifies a row by its table and its key in that table.
struct row_key
{
    std::string table;
    std::string key;

    friend bool operator==(const row_key&, const row_key&) = default;
    friend auto operator<=>(const row_key&, const row_key&) = default;
};

/// A row and its current version.
struct row
{
    row_key key;
    std::string value;
    row_version version;

    friend bool operator==(const row&, const row&) = default;
};

/// A conditional write of a transaction.
struct row_write
{
    row_key key;
    /// The version that the row must have; absent_row_version: the row must not
    /// exist; std::nullopt: unconditional.
    std::optional<row_version> expected;
    /// The new value; std::nullopt deletes the row.
    std::optional<std::string> value;
};

/// Writes that are applied atomically.
struct transaction
{
    std::vector<row_write> writes;
};

/// All writes were applied; the versions are in the order of the writes.
struct committed
{
    std::vector<row_version> versions;
};

/// The condition of a write was not met; no write was applied.
struct conflicted
{
    /// Index of the write whose condition was not met.
    std::size_t index = 0;
    /// The current row; std::nullopt if it is absent.
    std::optional<row> current;
};

/// The transaction was not applied: it was never sent, or the platform
/// rejected it.
struct rejected
{
};

/// No valid response arrived in time: the transaction may have been applied,
/// or may still be.
struct outcome_unknown
{
};

using transaction_result =
    std::variant<committed, conflicted, rejected, outcome_unknown>;

/// The row, or std::nullopt if it is absent.
using optional_row = std::optional<row>;

/// The platform sent no valid response to the read in time.
struct read_failed
{
};

using read_result = std::variant<optional_row, read_failed>;

using scan_result = std::variant<std::vector<row>, read_failed>;

} // namespace wagtailseam::table_service

#endif
