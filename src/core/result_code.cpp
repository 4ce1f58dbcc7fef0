// The result code table and its lookup functions.
#include "core/result_code.hpp"

#include <algorithm>
#include <array>

namespace wagtailseam
{
namespace
{

constexpr std::array table{
    result_code_row{result_code::ok, "ok", "The request finished."},
    result_code_row{
        result_code::malformed_json, "malformed_json",
        "The body is not valid JSON; correct it at the position named."},
    result_code_row{
        result_code::missing_field, "missing_field",
        "A required field is absent; add the field named."},
    result_code_row{
        result_code::wrong_type, "wrong_type",
        "A field has the wrong type; use the type named."},
    result_code_row{
        result_code::out_of_range, "out_of_range",
        "A value lies outside its range; choose one within it."},
    result_code_row{
        result_code::unknown_field, "unknown_field",
        "A field is not known; remove it or correct its name."},
    result_code_row{
        result_code::unknown_model, "unknown_model",
        "No such model is configured for this workspace; use one that is."},
    result_code_row{
        result_code::unknown_service, "unknown_service",
        "No such service is configured for this workspace; use one that is."},
    result_code_row{
        result_code::body_too_large, "body_too_large",
        "The body exceeds the size limit; send a shorter one."},
    result_code_row{
        result_code::missing_idempotency_key, "missing_idempotency_key",
        "A non-idempotent call needs an Idempotency-Key header; add one."},
    result_code_row{
        result_code::malformed_http, "malformed_http",
        "The HTTP message could not be parsed; correct the client."},
    result_code_row{
        result_code::unknown_route, "unknown_route",
        "No such path or method; see the API page."},
    result_code_row{
        result_code::malformed_message, "malformed_message",
        "A message between processes could not be parsed; check their "
        "versions."},
    result_code_row{
        result_code::missing_credentials, "missing_credentials",
        "No bearer key was sent; add an Authorization header."},
    result_code_row{
        result_code::unknown_caller_key, "unknown_caller_key",
        "The bearer key is not known; check it with the operator."},
    result_code_row{
        result_code::bad_process_signature, "bad_process_signature",
        "A message between processes was not signed by an accepted key; check "
        "the key files."},
    result_code_row{
        result_code::idempotency_conflict, "idempotency_conflict",
        "The key was used before with another body; use a new key for a new "
        "request."},
    result_code_row{
        result_code::workspace_over_share, "workspace_over_share",
        "The workspace is over its share while capacity is short; come back "
        "later."},
    result_code_row{
        result_code::deadline_unreachable, "deadline_unreachable",
        "No answer can start before the deadline; allow more time or come back "
        "later."},
    result_code_row{
        result_code::no_upstream, "no_upstream",
        "No upstream serves this request now; come back later."},
    result_code_row{
        result_code::retry_budget_spent, "retry_budget_spent",
        "Too many retries are under way for this pool; come back later."},
    result_code_row{
        result_code::quarantined, "quarantined",
        "This request was present at repeated upstream crashes; an operator "
        "can lift it."},
    result_code_row{
        result_code::draining, "draining",
        "This entry is shutting down; send the request to another."},
    result_code_row{
        result_code::filing_store_unavailable, "filing_store_unavailable",
        "The filing could not be claimed because the table is down or slow; "
        "come back later."},
    result_code_row{
        result_code::not_ready, "not_ready",
        "This process has no configuration yet; come back later."},
    result_code_row{
        result_code::queue_full, "queue_full",
        "The admission queue is full; come back later."},
    result_code_row{
        result_code::cancelled_before_dispatch, "cancelled_before_dispatch",
        "The caller left before the request was dispatched."},
    result_code_row{
        result_code::upstreams_limited, "upstreams_limited",
        "The upstreams take no more requests a second; come back later."},
    result_code_row{
        result_code::upstreams_paused, "upstreams_paused",
        "The upstreams asked for a pause; come back when it ends."},
    result_code_row{
        result_code::upstreams_leaving, "upstreams_leaving",
        "All upstreams of the service are leaving; come back later."},
    result_code_row{
        result_code::stream_origin_unknown, "stream_origin_unknown",
        "It is not known which software version began the stream; send the "
        "request anew."},
    result_code_row{
        result_code::software_version_gone, "software_version_gone",
        "No upstream of the software version that began the stream is "
        "available; send the request anew."},
    result_code_row{
        result_code::no_upstream_in_region, "no_upstream_in_region",
        "No upstream in the regions that the route and the workspace allow is "
        "available; come back later."},
    result_code_row{
        result_code::upstream_unreachable, "upstream_unreachable",
        "No connection to the upstream was made, so nothing was sent."},
    result_code_row{
        result_code::upstream_draining, "upstream_draining",
        "The upstream is leaving and takes no new work."},
    result_code_row{
        result_code::stale_incarnation, "stale_incarnation",
        "The dispatch named an earlier life of the sidecar."},
    result_code_row{
        result_code::tombstoned, "tombstoned",
        "The attempt was cancelled before it began and will never begin."},
    result_code_row{
        result_code::weight_version_mismatch, "weight_version_mismatch",
        "The upstream runs another weight version than planned."},
    result_code_row{
        result_code::upstream_busy, "upstream_busy",
        "The upstream takes no more work for now."},
    result_code_row{
        result_code::stale_configuration, "stale_configuration",
        "The dispatch carried a configuration number that is behind."},
    result_code_row{
        result_code::stale_fencing_number, "stale_fencing_number",
        "The order carried a fencing number below the floor."},
    result_code_row{
        result_code::upstream_refused, "upstream_refused",
        "The upstream refused the request before running it."},
    result_code_row{
        result_code::circuit_open, "circuit_open",
        "The upstream failed repeatedly and is not tried for a while."},
    result_code_row{
        result_code::dispatch_expired, "dispatch_expired",
        "The dispatch arrived after its validity ended and was not begun."},
    result_code_row{
        result_code::outcome_unknown, "outcome_unknown",
        "The request may or may not have run; look the outcome up before any "
        "repeat."},
    result_code_row{
        result_code::upstream_lost, "upstream_lost",
        "The upstream was lost after the request began."},
    result_code_row{
        result_code::deadline_passed, "deadline_passed",
        "The deadline passed while the request was running."},
    result_code_row{
        result_code::filing_in_progress, "filing_in_progress",
        "An earlier call with this key is still running; ask again later."},
    result_code_row{
        result_code::internal_failure, "internal_failure",
        "The gateway failed while it handled the request."},
    result_code_row{
        result_code::frame_out_of_order, "frame_out_of_order",
        "An answer frame had an unexpected number and was dropped."},
    result_code_row{
        result_code::frame_of_other_attempt, "frame_of_other_attempt",
        "An answer frame belonged to another attempt and was dropped."},
    result_code_row{
        result_code::frame_digest_mismatch, "frame_digest_mismatch",
        "The digest at the end of the answer does not match its frames."},
    result_code_row{
        result_code::frame_count_mismatch, "frame_count_mismatch",
        "The count at the end of the answer does not match its frames."},
    result_code_row{
        result_code::stream_broken, "stream_broken",
        "The answer could not be completed; what was sent is not the whole."},
    result_code_row{
        result_code::caller_gone, "caller_gone",
        "The caller closed its connection before the answer ended."},
    result_code_row{
        result_code::config_conflict, "config_conflict",
        "Another operator accepted a configuration first; read the difference "
        "and try again."},
    result_code_row{
        result_code::config_number_regressed, "config_number_regressed",
        "A configuration with a lower number than the one in force was "
        "ignored."},
    result_code_row{
        result_code::config_invalid, "config_invalid",
        "The questionnaire or configuration has faults; each is listed with "
        "its path."},
    result_code_row{
        result_code::config_not_found, "config_not_found",
        "No configuration with this number exists."},
    result_code_row{
        result_code::platform_unavailable, "platform_unavailable",
        "The platform service did not answer in time."},
    result_code_row{
        result_code::platform_conflict, "platform_conflict",
        "A condition of a table write did not hold; nothing was written."},
    result_code_row{
        result_code::platform_answer_lost, "platform_answer_lost",
        "A table write may have taken effect; it must be read back."},
    result_code_row{
        result_code::lease_held, "lease_held", "Another holder has the lease."},
    result_code_row{
        result_code::lease_lost, "lease_lost",
        "The lease ended or passed to another holder."},
    result_code_row{
        result_code::platform_not_found, "platform_not_found",
        "The platform has no such row or object."},
    result_code_row{
        result_code::block_not_committed, "block_not_committed",
        "The cache block is not committed, so it cannot be read."},
    result_code_row{
        result_code::block_freed, "block_freed", "The cache block was freed."},
    result_code_row{
        result_code::block_digest_mismatch, "block_digest_mismatch",
        "The cache block read does not match its digest; it is recomputed."},
    result_code_row{
        result_code::block_generation_mismatch, "block_generation_mismatch",
        "The cache block belongs to another generation."},
    result_code_row{
        result_code::store_full, "store_full",
        "The store has no room that may be evicted."},
    result_code_row{
        result_code::store_lost, "store_lost",
        "The store is gone; what it kept is recomputed."},
    result_code_row{
        result_code::import_abandoned, "import_abandoned",
        "The import would have taken longer than recomputing, so it was "
        "dropped."},
    result_code_row{
        result_code::pin_expired, "pin_expired",
        "The pin on the cache block ran out before the read ended."},
};

const result_code_row* find_row(result_code code) noexcept
{
    const auto* const row = std::lower_bound(
        table.begin(), table.end(), code,
        [](const result_code_row& r, result_code c) { return r.code < c; });
    return row != table.end() && row->code == code ? row : nullptr;
}

} // namespace

std::span<const result_code_row> result_code_table() noexcept
{
    return table;
}

std::string_view name(result_code code) noexcept
{
    const auto* const row = find_row(code);
    return row != nullptr ? row->name : "unlisted";
}

std::string_view description(result_code code) noexcept
{
    const auto* const row = find_row(code);
    return row != nullptr ? row->description : "";
}

result_code result_code_from_number(std::uint32_t number) noexcept
{
    const auto code = static_cast<result_code>(number);
    const bool listed = number <= 999 && find_row(code) != nullptr;
    return listed ? code : result_code::outcome_unknown;
}

} // namespace wagtailseam
