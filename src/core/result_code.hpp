// Numbered result codes, grouped by hundreds. docs/RESULT_CODES.md lists them
// for operators and callers; a test keeps the two alike.
#ifndef WAGTAILSEAM_CORE_RESULT_CODE_HPP
#define WAGTAILSEAM_CORE_RESULT_CODE_HPP

#include <cstdint>
#include <span>
#include <string_view>

namespace wagtailseam
{

/// What became of a request, an operator's command or a message.
///
/// 1xx input, 2xx identity, 3xx refused before any dispatch (not run),
/// 4xx refused at the upstream's side (not run), 5xx outcome unknown,
/// 6xx answer streams, 7xx configuration, 8xx platform and leases,
/// 9xx kept cache.
enum class result_code : std::uint16_t
{
    ok = 0,

    malformed_json = 101,
    missing_field = 102,
    wrong_type = 103,
    out_of_range = 104,
    unknown_field = 105,
    unknown_model = 106,
    unknown_service = 107,
    body_too_large = 108,
    missing_idempotency_key = 109,
    malformed_http = 110,
    unknown_route = 111,
    malformed_message = 112,

    missing_credentials = 201,
    unknown_caller_key = 202,
    bad_process_signature = 203,
    idempotency_conflict = 204,

    workspace_over_share = 301,
    deadline_unreachable = 302,
    no_upstream = 303,
    retry_budget_spent = 304,
    quarantined = 305,
    draining = 306,
    filing_store_unavailable = 307,
    not_ready = 308,
    queue_full = 309,
    cancelled_before_dispatch = 310,

    upstream_unreachable = 401,
    upstream_draining = 402,
    stale_incarnation = 403,
    tombstoned = 404,
    weight_version_mismatch = 405,
    upstream_busy = 406,
    stale_configuration = 407,
    stale_fencing_number = 408,
    upstream_refused = 409,
    circuit_open = 410,
    dispatch_expired = 411,

    outcome_unknown = 501,
    upstream_lost = 502,
    deadline_passed = 503,
    filing_in_progress = 504,

    frame_out_of_order = 601,
    frame_of_other_attempt = 602,
    frame_digest_mismatch = 603,
    frame_count_mismatch = 604,
    stream_broken = 605,
    caller_gone = 606,

    config_conflict = 701,
    config_number_regressed = 702,
    config_invalid = 703,
    config_not_found = 704,

    platform_unavailable = 801,
    platform_conflict = 802,
    platform_answer_lost = 803,
    lease_held = 804,
    lease_lost = 805,
    platform_not_found = 806,

    block_not_committed = 901,
    block_freed = 902,
    block_digest_mismatch = 903,
    block_generation_mismatch = 904,
    store_full = 905,
    store_lost = 906,
    import_abandoned = 907,
    pin_expired = 908,
};

/// One row of the table of codes.
struct result_code_row
{
    result_code code;
    /// The enumerator's name, as logs and counters print it.
    std::string_view name;
    /// A sentence for the reader: what happened, what to change.
    std::string_view description;
};

/// Returns all rows in order of their numbers. @throws nothing
[[nodiscard]] std::span<const result_code_row> result_code_table() noexcept;

/// Returns the name of a code, "unlisted" for a number outside the table.
/// Complexity: logarithmic in the table's length.
[[nodiscard]] std::string_view name(result_code code) noexcept;

/// Returns the sentence for a code, empty for a number outside the table.
[[nodiscard]] std::string_view description(result_code code) noexcept;

/// Returns the code of a number, outcome_unknown for one outside the table:
/// a number that this build does not know must not be taken for "not run".
[[nodiscard]] result_code result_code_from_number(
    std::uint32_t number) noexcept;

/// Whether the code states that the request was not run: nothing reached an
/// upstream that could have acted on it.
[[nodiscard]] constexpr bool is_not_run(result_code code) noexcept
{
    const auto group = static_cast<std::uint16_t>(code) / 100;
    return group >= 1 && group <= 4;
}

} // namespace wagtailseam

#endif
