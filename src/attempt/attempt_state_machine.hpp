// The entry's side of one attempt. It is dispatched once to one upstream and
// ends as finished, not run, or unknown.
#ifndef WAGTAILSEAM_ATTEMPT_ATTEMPT_STATE_MACHINE_HPP
#define WAGTAILSEAM_ATTEMPT_ATTEMPT_STATE_MACHINE_HPP

#include "attempt/attempt_types.hpp"
#include "attempt/frame_assembler.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wagtailseam::attempt
{

struct attempt_options
{
    attempt_id id;
    dispatch_target target;
    mono_time deadline;
    bool idempotent = true;
    /// Time to wait for an answer to the dispatch before sending a tombstone.
    duration accept_timeout = std::chrono::seconds(2);
    /// Interval between tombstones and between attempts to resume the stream.
    duration retry_interval = std::chrono::milliseconds(200);
    /// Time limit for resolving the attempt with tombstones or resumption after
    /// the connection was lost or the dispatch was not answered.
    duration recovery_timeout = std::chrono::seconds(5);
};

enum class attempt_state : std::uint8_t
{
    /// No byte of the dispatch was sent.
    planned,
    /// The dispatch may have reached the sidecar.
    sent,
    /// The sidecar confirmed that it began the attempt.
    begun,
    /// At least one frame was received.
    streaming,
    finished,
    not_run,
    unknown,
};

/// Start the attempt.
struct start
{
};

/// No connection was established, so no byte of the dispatch was sent.
struct connect_failed
{
};

/// The first byte of the dispatch is about to be sent.
struct dispatch_written
{
};

struct dispatch_accepted
{
};

struct dispatch_refused
{
    result_code code = result_code::upstream_refused;
};

/// The connection for the dispatch and its answer was lost.
struct connection_lost
{
};

/// The sidecar lost its upstream during the run.
struct run_failed
{
};

/// The sidecar does not have the stream that the entry wanted to resume.
struct resume_refused
{
};

/// The sidecar answered a tombstone.
struct tombstone_replied
{
    tombstone_answer answer;
};

struct timer_expired
{
};

struct caller_disconnected
{
};

using attempt_event = std::variant<
    start, connect_failed, dispatch_written, dispatch_accepted,
    dispatch_refused, frame, end_frame, connection_lost, run_failed,
    resume_refused, tombstone_replied, timer_expired, caller_disconnected>;

struct send_dispatch
{
};

struct send_tombstone
{
};

/// Reconnect and request the frames from next_frame on.
struct resume_stream
{
    std::uint64_t next_frame = 0;
};

/// Forward a part of the answer.
struct deliver
{
    std::string payload;
};

/// Ask the sidecar to cancel the run, on a best-effort basis.
struct cancel_run
{
};

/// Send timer_expired at this time. Replaces the previous timer.
struct set_timer
{
    mono_time at;
};

/// Report the final result; the last command of an attempt.
struct report_result
{
    attempt_result result;
};

using attempt_command = std::variant<
    send_dispatch, send_tombstone, resume_stream, deliver, cancel_run,
    set_timer, report_result>;

/// The state machine of one attempt. It reports a result no later than
/// recovery_timeout after the deadline, provided that the caller sends
/// timer_expired when requested.
class attempt_state_machine
{
public:
    explicit attempt_state_machine(attempt_options options);

    /// Handles one event. Events after report_result are ignored.
    [[nodiscard]] std::vector<attempt_command> handle(
        const attempt_event& event, mono_time now);

    [[nodiscard]] attempt_state state() const noexcept { return state_; }
    [[nodiscard]] const attempt_options& options() const noexcept
    {
        return options_;
    }
    [[nodiscard]] const dropped_frames& dropped() const noexcept
    {
        return assembler_.dropped();
    }

private:
    void on(const start& event, mono_time now);
    void on(const connect_failed& event, mono_time now);
    void on(const dispatch_written& event, mono_time now);
    void on(const dispatch_accepted& event, mono_time now);
    void on(const dispatch_refused& event, mono_time now);
    void on(const frame& event, mono_time now);
    void on(const end_frame& event, mono_time now);
    void on(const connection_lost& event, mono_time now);
    void on(const run_failed& event, mono_time now);
    void on(const resume_refused& event, mono_time now);
    void on(const tombstone_replied& event, mono_time now);
    void on(const timer_expired& event, mono_time now);
    void on(const caller_disconnected& event, mono_time now);

    [[nodiscard]] bool is_finished() const noexcept;
    [[nodiscard]] bool running() const noexcept;
    void query_sidecar(mono_time now);
    void resume(mono_time now);
    void on_deadline_passed(mono_time now);
    void set_deadline_timer(mono_time at);
    void end(attempt_result result);

    attempt_options options_;
    attempt_state state_ = attempt_state::planned;
    frame_assembler assembler_;
    /// The concatenated payloads accepted so far.
    std::string body_;
    /// Set while the connection is lost or silent: the time at which recovery
    /// of the attempt is abandoned.
    std::optional<mono_time> recovery_deadline_;
    /// Commands for the current event; empty between events.
    std::vector<attempt_command> commands_;
};

} // namespace wagtailseam::attempt

#endif
