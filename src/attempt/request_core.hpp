// The attempts of one idempotent request: run again elsewhere when one was
// refused or lost, continued from the part of the answer already delivered.
#ifndef WAGTAILSEAM_ATTEMPT_REQUEST_CORE_HPP
#define WAGTAILSEAM_ATTEMPT_REQUEST_CORE_HPP

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
    judgement verdict;
};

struct backoff_over
{
};

using request_event = std::variant<
    request_begun, attempt_planned, planning_failed, part_received,
    attempt_ended, backoff_over>;

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
struct pass_on
{
    std::string payload;
};

/// Send backoff_over at this time.
struct wait_until
{
    mono_time at;
};

/// The answer is whole (ok), was refused as not run, or ends with this error.
struct end_request
{
    result_code code = result_code::ok;
    std::uint32_t status = 0;
};

using request_command =
    std::variant<plan_attempt, run_attempt, pass_on, wait_until, end_request>;

/// Runs attempts one after the other.
class request_core
{
public:
    /// @param random gives the jitter of pauses; outlives this object
    request_core(request_options options, random_source& random);

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
    [[nodiscard]] std::vector<request_command> judge(
        const judgement& verdict, mono_time now);

    request_options options_;
    random_source* random_;
    std::uint32_t attempts_ = 0;
    bool over_ = false;
    /// Some attempt may have run, so the request is never called not run.
    bool may_have_run_ = false;
    std::optional<upstream_id> current_;
    /// Upstreams that refused or lost an attempt; at most max_attempts.
    std::vector<upstream_id> avoid_;
    std::string delivered_;
};

} // namespace wagtailseam::attempt

#endif
