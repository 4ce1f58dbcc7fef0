// Numbered result codes. docs/RESULT_CODES.md lists them for operators and
// callers; a test checks that both agree.
#ifndef WAGTAILSEAM_CORE_RESULT_CODE_HPP
#define WAGTAILSEAM_CORE_RESULT_CODE_HPP

#include <cstdint>
#include <span>
#include <string_view>

namespace wagtailseam
{

/// Outcome of a request, an operator command or a message.
///
/// 1xx invalid input, 2xx authentication, 3xx rejected before dispatch (not
/// run), 4xx rejected by the upstream (not run), 5xx outcome unknown,
/// 6xx response streams, 7xx configuration, 8xx platform and leases,
/// 9xx cache storage.
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
    upstreams_limited = 311,
    upstreams_paused = 312,
    upstreams_leaving = 313,
    stream_origin_unknown = 314,
    software_version_gone = 315,
    no_upstream_in_region = 316,

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
    internal_failure = 505,

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

/// One row of the result code table.
struct result_code_row
{
    result_code code;
    /// The enumerator's name, as in logs and metrics.
    std::string_view name;
    /// A sentence that says what happened and how to react.
    std::string_view description;
};

/// Returns all rows in ascending order of code.
[[nodiscard]] std::span<const result_code_row> result_code_table() noexcept;

/// Returns the name of a code, or "unlisted" if the table has no such code.
/// Complexity: logarithmic in the size of the table.
[[nodiscard]] std::string_view name(result_code code) noexcept;

/// Returns the description of a code, empty if the table has no such code.
/// Complexity: as name().
[[nodiscard]] std::string_view description(result_code code) noexcept;

/// Returns the code with this number, or outcome_unknown if the table has none:
/// a code unknown to this build must not be treated as "not run".
[[nodiscard]] result_code result_code_from_number(
    std::uint32_t number) noexcept;

/// Returns whether the code guarantees that no upstream ran the request.
[[nodiscard]] constexpr bool is_not_run(result_code code) noexcept
{
    const auto group = static_cast<std::uint16_t>(code) / 100;
    return group >= 1 && group <= 4;
}

} // namespace wagtailseam

#endif
