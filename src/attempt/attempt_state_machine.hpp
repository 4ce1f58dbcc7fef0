// The entry's side of one attempt: sent to one upstream once, followed until
// it is known to have finished, known not to have run, or given up as unknown.
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
    /// Without an answer to the dispatch for so long, the sidecar is asked.
    duration accept_timeout = std::chrono::seconds(2);
    /// Pause between tombstones and between tries to resume.
    duration retry_interval = std::chrono::milliseconds(200);
    /// How long the sidecar is asked what became of the attempt.
    duration recovery_timeout = std::chrono::seconds(5);
};

enum class attempt_state : std::uint8_t
{
    /// Nothing was sent.
    planned,
    /// The dispatch may have reached the sidecar.
    sent,
    /// The sidecar said that it began the attempt.
    begun,
    /// Frames arrive.
    streaming,
    finished,
    not_run,
    unknown,
};

/// Send the dispatch.
struct start
{
};

/// No connection was made; no byte of the dispatch left.
struct connect_failed
{
};

/// The first byte of the dispatch is about to leave.
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

/// The connection that carries dispatch and answer broke.
struct connection_lost
{
};

/// The sidecar lost its upstream during the run.
struct run_failed
{
};

/// The sidecar does not have the stream that was to be resumed.
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

/// Connect again and ask for the frames from next_frame on.
struct resume_stream
{
    std::uint64_t next_frame = 0;
};

/// Pass a part of the answer on.
struct deliver
{
    std::string payload;
};

/// Tell the sidecar that nobody wants the answer; best effort.
struct cancel_run
{
};

/// Send timer_expired at this time; replaces the time set before.
struct set_timer
{
    mono_time at;
};

/// The last command of each attempt.
struct report_result
{
    attempt_result result;
};

using attempt_command = std::variant<
    send_dispatch, send_tombstone, resume_stream, deliver, cancel_run,
    set_timer, report_result>;

/// Follows one attempt. Every attempt concludes by its deadline plus
/// recovery_timeout, provided that timer_expired comes when asked for.
class attempt_state_machine
{
public:
    explicit attempt_state_machine(attempt_options options);

    /// Handles one event; after `conclude` every event is ignored.
    [[nodiscard]] std::vector<attempt_command> handle(
        const attempt_event& event, mono_time now);

    [[nodiscard]] attempt_state state() const noexcept { return state_; }
    [[nodiscard]] const attempt_options& options() const noexcept
    {
        return options_;
    }
    [[nodiscard]] const dropped_frames& dropped() const noexcept
    {
        return frames_.dropped();
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
    void pass_deadline(mono_time now);
    void set_deadline_timer(mono_time at);
    void end(attempt_result result);

    attempt_options options_;
    attempt_state state_ = attempt_state::planned;
    frame_assembler frames_;
    /// The payloads taken so far, one after the other.
    std::string body_;
    /// Set while the connection is down or silent: when the sidecar is no
    /// longer asked about the attempt.
    std::optional<mono_time> recovery_deadline_;
    /// Commands of the event being handled; empty between events.
    std::vector<attempt_command> commands_;
};

} // namespace wagtailseam::attempt

#endif
