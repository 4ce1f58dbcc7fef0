// What the entry and the sidecar say to each other about one attempt, as plain
// data shared by both sides' decision cores.
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

/// Names one try to run one request. No two tries share it.
struct attempt_id
{
    request_id request;
    attempt_number number;

    friend bool operator==(const attempt_id&, const attempt_id&) = default;
    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

/// Tag of a sidecar's own monotonic time. Entries carry its readings around
/// but never compare them with their own clocks.
struct sidecar_clock
{
    using rep = wagtailseam::duration::rep;
    using period = wagtailseam::duration::period;
    using duration = wagtailseam::duration;
    using time_point = std::chrono::time_point<sidecar_clock>;
    static constexpr bool is_steady = true;
};

using sidecar_time = sidecar_clock::time_point;

/// Where an attempt is sent, and until when it may begin there.
struct dispatch_target
{
    upstream_id upstream;
    /// The life of the sidecar that the attempt is meant for.
    incarnation sidecar_incarnation;
    /// By the clock of that sidecar: a reading that it gave out, plus the
    /// validity of a dispatch. A dispatch that arrives later never begins.
    sidecar_time valid_until;

    friend bool operator==(const dispatch_target&, const dispatch_target&) =
        default;
};

/// What an upstream answered to a request that ran.
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

/// The attempt began and has not ended.
struct still_running
{
    friend bool operator==(still_running, still_running) = default;
};

/// The attempt ran to its end.
struct has_finished
{
    /// Nothing when the sidecar no longer keeps it.
    std::optional<run_outcome> outcome;

    friend bool operator==(const has_finished&, const has_finished&) = default;
};

/// The sidecar cannot tell, or the run was lost half-way.
struct cannot_tell
{
    result_code reason = result_code::outcome_unknown;

    friend bool operator==(cannot_tell, cannot_tell) = default;
};

/// A sidecar's answer to "if this attempt has not begun, never begin it".
using tombstone_answer =
    std::variant<never_begun, still_running, has_finished, cannot_tell>;

/// The attempt ran to its end and its whole answer is here.
struct finished
{
    run_outcome outcome;
};

/// The attempt was certainly not run. @invariant is_not_run(code)
struct not_run
{
    result_code code = result_code::upstream_refused;
};

/// The attempt may have run. @invariant !is_not_run(code)
struct unknown
{
    result_code code = result_code::outcome_unknown;
};

/// What became of an attempt.
using attempt_result = std::variant<finished, not_run, unknown>;

/// A part of an answer.
struct frame
{
    attempt_id attempt;
    incarnation sidecar_incarnation;
    /// Counts the frames of an attempt from 0.
    std::uint64_t number = 0;
    std::string payload;
};

/// The end of an answer.
struct end_frame
{
    attempt_id attempt;
    incarnation sidecar_incarnation;
    /// The number of frames before this one.
    std::uint64_t count = 0;
    /// SHA-256 over the payloads in order.
    digest answer_digest;
    std::uint32_t status = 0;
};

} // namespace wagtailseam::attempt

#endif
