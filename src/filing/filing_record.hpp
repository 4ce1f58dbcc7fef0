// The row of table `filing`: who may run a non-idempotent request, and what
// came of it.
#ifndef WAGTAILSEAM_FILING_FILING_RECORD_HPP
#define WAGTAILSEAM_FILING_FILING_RECORD_HPP

#include "attempt/attempt_types.hpp"
#include "core/result.hpp"
#include "table_service/table.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace wagtailseam::filing
{

inline constexpr std::string_view filing_table = "filing";

/// Random for each call of a caller; tells one's own write from another's.
using claim_nonce = strong_id<struct claim_nonce_tag>;

enum class filing_state : std::uint8_t
{
    /// The holder of the nonce may run the attempt named, and no other.
    claimed = 1,
    /// The attempt named may have run.
    unknown = 2,
    /// The request ran; the outcome is stored.
    finished = 3,
    /// No attempt ran; the next call may claim the row.
    released = 4,
};

/// The value of a row.
struct filing_record
{
    digest request_digest;
    claim_nonce nonce;
    entry_id entry;
    attempt::attempt_id attempt;
    /// Where the attempt may begin; asked before anybody else may claim.
    attempt::dispatch_target target;
    filing_state state = filing_state::claimed;
    config_number config;
    /// Set when finished.
    std::optional<attempt::run_outcome> outcome;
    /// Why the state is unknown or released; ok otherwise.
    result_code reason = result_code::ok;
    /// Calendar time of the entry that wrote the row; for operators and for
    /// retention, never for who may run.
    wall_time changed_at;
    /// The operator who set the state by hand; empty otherwise.
    std::string resolved_by;

    friend bool operator==(const filing_record&, const filing_record&) =
        default;
};

/// Returns where the filing of a workspace's key is. Different pairs have
/// different rows, whatever characters they hold.
[[nodiscard]] table_service::row_key filing_row(
    const workspace_id& workspace, const idempotency_key& key);

/// Encodes a record as JSON text in ASCII, which operators can read.
[[nodiscard]] std::string encode(const filing_record& record);

/// Decodes a record. @return malformed_message when the bytes are not one
[[nodiscard]] result<filing_record> decode(std::string_view bytes);

/// How long a finished or released row is kept; a key may not be used again
/// for a new request before.
inline constexpr duration filing_retention = std::chrono::hours(24 * 30);

/// Added to filing_retention, since changed_at comes from another VM's clock.
inline constexpr duration filing_clock_margin = std::chrono::hours(24);

/// Whether the row may be deleted. Claimed and unknown rows never may: a call
/// that found no row would run the request again.
[[nodiscard]] bool may_forget(
    const filing_record& record, wall_time now) noexcept;

[[nodiscard]] std::string_view name(filing_state state) noexcept;

} // namespace wagtailseam::filing

#endif
