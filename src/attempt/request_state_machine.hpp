// The attempts of one idempotent request: run again elsewhere when one was
// refused or lost, continued from the part of the answer already delivered.
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
    /// Bound of the first pause before another attempt; doubles each time.
    duration first_backoff = std::chrono::milliseconds(20);
    duration max_backoff = std::chrono::milliseconds(500);
};

struct request_begun
{
};

/// Answers plan_attempt.
struct attempt_planned
{
    dispatch_target target;
};

/// Answers plan_attempt: nobody to send to, or no retry is allowed.
struct planning_failed
{
    result_code code = result_code::no_upstream;
};

/// The running attempt delivered a part of the answer.
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

/// Choose where the attempt goes, away from these upstreams where possible.
struct plan_attempt
{
    attempt_id attempt;
    std::vector<upstream_id> avoid;
};

/// Start an attempt that continues after the part delivered so far.
struct run_attempt
{
    attempt_id attempt;
    dispatch_target target;
    std::string delivered;
};

/// Pass a part of the answer to the caller.
struct forward_part
{
    std::string payload;
};

/// Send backoff_expired at this time.
struct start_backoff
{
    mono_time at;
};

/// The answer is whole (ok), was refused as not run, or ends with this error.
struct end_request
{
    result_code code = result_code::ok;
    std::uint32_t status = 0;
};

using request_command = std::variant<
    plan_attempt, run_attempt, forward_part, start_backoff, end_request>;

/// Runs attempts one after the other.
class request_state_machine
{
public:
    /// @param random gives the jitter of pauses; outlives this object
    request_state_machine(request_options options, random_source& random);

    /// Handles one event; after end_request every event is ignored.
    [[nodiscard]] std::vector<request_command> handle(
        const request_event& event, mono_time now);

    /// Attempts started so far.
    [[nodiscard]] std::uint32_t attempts() const noexcept { return attempts_; }

private:
    [[nodiscard]] std::vector<request_command> attempt_again(
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
    /// Some attempt may have run, so the request is never called not run.
    bool may_have_run_ = false;
    std::optional<upstream_id> current_;
    /// Upstreams that refused or lost an attempt; at most max_attempts.
    std::vector<upstream_id> avoid_;
    std::string delivered_;
};

} // namespace wagtailseam::attempt

#endif
