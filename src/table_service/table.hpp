// The platform's transactional table and object store, as plain data: what a
// decision core asks for and what it hears back. No I/O here.
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

/// Grows with each write of a row; 0 stands for an absent row. A row that is
/// deleted and written again does not repeat a version.
using row_version = strong_id<struct row_version_tag, std::uint64_t>;

inline const row_version absent_row_version{0};

/// Where a row is.
struct row_key
{
    std::string table;
    std::string key;

    friend bool operator==(const row_key&, const row_key&) = default;
    friend auto operator<=>(const row_key&, const row_key&) = default;
};

/// A row as read.
struct row
{
    row_key key;
    std::string value;
    row_version version;

    friend bool operator==(const row&, const row&) = default;
};

/// One write of a transaction.
struct row_write
{
    row_key key;
    /// The version that the row must have; absent_row_version: must not exist;
    /// nothing: any.
    std::optional<row_version> expected;
    /// The new value; nothing deletes the row.
    std::optional<std::string> value;
};

/// Writes that take effect together or not at all.
struct transaction
{
    std::vector<row_write> writes;
};

/// All writes took effect; the versions are in the order of the writes.
struct committed
{
    std::vector<row_version> versions;
};

/// The condition of one write did not hold; nothing was written.
struct conflicted
{
    std::size_t index = 0;
    /// The row as it stands; nothing when it is absent.
    std::optional<row> current;
};

/// The transaction certainly took no effect: it was never sent, or the
/// platform said that it rejected it.
struct rejected
{
};

/// No answer came in time: the transaction may have taken effect, or may yet.
struct outcome_unknown
{
};

using transaction_result =
    std::variant<committed, conflicted, rejected, outcome_unknown>;

/// The row read, or nothing when it is absent.
using optional_row = std::optional<row>;

/// The platform did not answer the read in time.
struct read_failed
{
};

using read_result = std::variant<optional_row, read_failed>;

using scan_result = std::variant<std::vector<row>, read_failed>;

} // namespace wagtailseam::table_service

#endif
