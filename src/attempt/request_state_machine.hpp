// Retries an idempotent request. After a refused or lost attempt, the next one
// prefers another upstream and continues after the part already delivered.
#ifndef WAGTAILSEAM_ATTEMPT_REQUEST_STATE_MACHINE_HPP
#define WAGTAILSEAM_ATTEMPT_REQUEST_STATE_MACHINE_HPP

#include "attempt/attempt_types.hpp"
#include "core/random_source.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wagtailseam::attempt
{

struct request_options
{
    request_id id;
    mono_time deadline;
    std::uint32_t max_attempts = 4;
    /// Upper bound of the first random retry delay; doubles with each attempt
    /// up to max_backoff.
    duration first_backoff = std::chrono::milliseconds(20);
    duration max_backoff = std::chrono::milliseconds(500);
};

struct request_begun
{
};

/// The answer to plan_attempt: the chosen target.
struct attempt_planned
{
    dispatch_target target;
};

/// The answer to plan_attempt if no upstream is available or no retry is
/// allowed.
struct planning_failed
{
    result_code code = result_code::no_upstream;
};

/// The current attempt delivered a part of the answer.
struct part_received
{
    std::string payload;
};

struct attempt_ended
{
    attempt_result result;
};

struct backoff_expired
{
};

using request_event = std::variant<
    request_begun, attempt_planned, planning_failed, part_received,
    attempt_ended, backoff_expired>;

/// Choose the target of the attempt, if possible none of the upstreams in
/// avoid.
struct plan_attempt
{
    attempt_id attempt;
    std::vector<upstream_id> avoid;
};

/// Start an attempt that continues after the part of the answer in delivered.
struct run_attempt
{
    attempt_id attempt;
    dispatch_target target;
    std::string delivered;
};

/// Forward a part of the answer to the caller.
struct forward_part
{
    std::string payload;
};

/// Send backoff_expired at this time.
struct start_backoff
{
    mono_time at;
};

/// End the request: with ok after a complete answer, with a code that
/// is_not_run() lists if it never ran, else with another error.
struct end_request
{
    result_code code = result_code::ok;
    std::uint32_t status = 0;
};

using request_command = std::variant<
    plan_attempt, run_attempt, forward_part, start_backoff, end_request>;

/// Runs the attempts of one request, one at a time.
class request_state_machine
{
public:
    /// @param random source of the backoff jitter; must outlive this object
    request_state_machine(request_options options, random_source& random);

    /// Handles one event. Events after end_request are ignored.
    [[nodiscard]] std::vector<request_command> handle(
        const request_event& event, mono_time now);

    /// Returns the number of attempts started so far.
    [[nodiscard]] std::uint32_t attempts() const noexcept { return attempts_; }

private:
    [[nodiscard]] std::vector<request_command> retry_or_end(
        result_code code, mono_time now);
    [[nodiscard]] std::vector<request_command> plan();
    [[nodiscard]] std::vector<request_command> end(
        result_code code, std::uint32_t status = 0);
    [[nodiscard]] result_code final_code(result_code last) const noexcept;
    [[nodiscard]] std::vector<request_command> on_attempt_ended(
        const attempt_result& result, mono_time now);

    request_options options_;
    random_source* random_;
    std::uint32_t attempts_ = 0;
    bool is_finished_ = false;
    /// An attempt may have run, so the request must not end with a not-run
    /// code.
    bool may_have_run_ = false;
    /// The upstream of the latest attempt.
    std::optional<upstream_id> current_upstream_;
    /// Upstreams that refused or lost an attempt. Size: at most max_attempts.
    std::vector<upstream_id> avoid_;
    /// The part of the answer forwarded to the caller so far.
    std::string delivered_;
};

} // namespace wagtailseam::attempt

#endif
