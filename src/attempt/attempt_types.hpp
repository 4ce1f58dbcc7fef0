// Data that entries and sidecars exchange about one attempt. The state machines
// of both sides share these types.
#ifndef WAGTAILSEAM_ATTEMPT_ATTEMPT_TYPES_HPP
#define WAGTAILSEAM_ATTEMPT_ATTEMPT_TYPES_HPP

#include "core/clock.hpp"
#include "core/digest.hpp"
#include "core/ids.hpp"
#include "core/result_code.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace wagtailseam::attempt
{

/// Uniquely identifies one attempt to run one request.
struct attempt_id
{
    request_id request;
    attempt_number number;

    friend bool operator==(const attempt_id&, const attempt_id&) = default;
    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

/// The monotonic clock of a sidecar. Entries store and forward its readings but
/// never compare them with their own clocks.
struct sidecar_clock
{
    using rep = wagtailseam::duration::rep;
    using period = wagtailseam::duration::period;
    using duration = wagtailseam::duration;
    using time_point = std::chrono::time_point<sidecar_clock>;
    static constexpr bool is_steady = true;
};

using sidecar_time = sidecar_clock::time_point;

/// The upstream that an attempt is sent to, and the time until which it may
/// begin there.
struct dispatch_target
{
    upstream_id upstream;
    /// The sidecar process that the attempt is addressed to.
    incarnation sidecar_incarnation;
    /// On the sidecar's clock: a reading that the sidecar published plus the
    /// validity period of a dispatch. A dispatch that arrives later never
    /// begins.
    sidecar_time valid_until;

    friend bool operator==(const dispatch_target&, const dispatch_target&) =
        default;
};

/// The complete answer of an upstream to a request.
struct run_outcome
{
    /// HTTP status of the upstream's answer.
    std::uint32_t status = 0;
    std::string body;

    friend bool operator==(const run_outcome&, const run_outcome&) = default;
};

/// The attempt has not begun and never will.
struct never_begun
{
    friend bool operator==(never_begun, never_begun) = default;
};

/// The attempt has begun and not ended.
struct still_running
{
    friend bool operator==(still_running, still_running) = default;
};

/// The attempt ran to its end.
struct has_finished
{
    /// Empty if the sidecar no longer stores it.
    std::optional<run_outcome> outcome;

    friend bool operator==(const has_finished&, const has_finished&) = default;
};

/// The sidecar does not know whether the attempt ran, or the upstream was lost
/// during the run.
struct cannot_tell
{
    result_code reason = result_code::outcome_unknown;

    friend bool operator==(cannot_tell, cannot_tell) = default;
};

/// A sidecar's answer to a tombstone, which is the order never to begin an
/// attempt unless it has begun already.
using tombstone_answer =
    std::variant<never_begun, still_running, has_finished, cannot_tell>;

/// The attempt ran to its end and the entry received the complete answer.
struct finished
{
    run_outcome outcome;
};

/// The attempt did not run and never will. @invariant is_not_run(code)
struct not_run
{
    result_code code = result_code::upstream_refused;
};

/// The attempt may have run. @invariant !is_not_run(code)
struct unknown
{
    result_code code = result_code::outcome_unknown;
};

/// The final result of an attempt, as the entry knows it.
using attempt_result = std::variant<finished, not_run, unknown>;

/// A part of a streamed answer.
struct frame
{
    attempt_id attempt;
    incarnation sidecar_incarnation;
    /// The index of the frame within the attempt, from 0.
    std::uint64_t number = 0;
    std::string payload;
};

/// Marks the end of a streamed answer.
struct end_frame
{
    attempt_id attempt;
    incarnation sidecar_incarnation;
    /// Number of frames in the answer, without this one.
    std::uint64_t count = 0;
    /// SHA-256 of the concatenated payloads.
    digest answer_digest;
    std::uint32_t status = 0;
};

} // namespace wagtailseam::attempt

#endif
