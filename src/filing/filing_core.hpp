// One call of a non-idempotent request at an entry: claims the request in the
// platform's table before it is dispatched, records what came of it, and
// serves repeats from the record.
#ifndef WAGTAILSEAM_FILING_FILING_CORE_HPP
#define WAGTAILSEAM_FILING_FILING_CORE_HPP

#include "attempt/attempt_types.hpp"
#include "core/random_source.hpp"
#include "filing/filing_record.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace wagtailseam::filing
{

struct filing_options
{
    /// A claim that is not certain by then is given up: not run.
    duration store_bound = std::chrono::seconds(1);
    /// Pause between reads of the row after a lost answer.
    duration read_back_interval = std::chrono::milliseconds(50);
    /// Bound of the first pause between reads of another call's row; doubles.
    duration first_poll = std::chrono::milliseconds(50);
    duration max_poll = std::chrono::seconds(1);
    /// How long a repeat waits for another call's outcome.
    duration wait_bound = std::chrono::seconds(10);
    /// How long another call's claim may stand before its sidecar is asked.
    duration takeover_after = std::chrono::seconds(2);
    /// After a sidecar could not tell, how long the claim's holder is given
    /// to record an outcome that only it knows.
    duration grace = std::chrono::seconds(1);
    /// Pauses between tries to record an outcome, and for how long.
    duration first_record_backoff = std::chrono::milliseconds(50);
    duration max_record_backoff = std::chrono::seconds(5);
    duration record_bound = std::chrono::minutes(10);
    /// How long a ready outcome waits for its record before the caller has
    /// it all the same: twice the time for a claim.
    duration answer_bound = std::chrono::seconds(2);
    /// How long a claim that was given up is looked for, to release it.
    duration abandon_bound = std::chrono::seconds(60);
    std::uint32_t max_attempts = 3;
};

/// The call as the entry received it.
struct filing_request
{
    table_service::row_key at;
    digest request_digest;
    claim_nonce nonce;
    entry_id entry;
    request_id request;
    config_number config;
    mono_time deadline;
};

/// Now, by both clocks of this process.
struct moment
{
    mono_time mono;
    wall_time wall;
};

/// Numbers the questions of one core; answers to older ones are ignored.
using operation_number = strong_id<struct operation_number_tag, std::uint64_t>;

struct filing_begun
{
};

/// Answers ask_plan.
struct plan_made
{
    attempt::dispatch_target target;
};

/// Answers ask_plan: nobody to send to. @invariant is_not_run(code)
struct plan_refused
{
    result_code code = result_code::no_upstream;
};

/// Answers write_row.
struct row_written
{
    operation_number operation;
    table_service::transaction_result answer;
};

/// Answers read_row.
struct row_read
{
    operation_number operation;
    table_service::read_result answer;
};

/// Answers ask_sidecar.
struct sidecar_answered
{
    operation_number operation;
    attempt::tombstone_answer answer;
};

/// The attempt started by run_filing is over.
struct run_judged
{
    attempt::attempt_result verdict;
};

struct filing_timer_due
{
};

using filing_event = std::variant<
    filing_begun, plan_made, plan_refused, row_written, row_read,
    sidecar_answered, run_judged, filing_timer_due>;

/// Choose where the request goes.
struct ask_plan
{
    std::vector<upstream_id> avoid;
};

struct write_row
{
    operation_number operation;
    table_service::row_write write;
    /// Whether the caller waits for it.
    bool urgent = true;
};

struct read_row
{
    operation_number operation;
    table_service::row_key at;
};

/// Send a tombstone for another call's attempt.
struct ask_sidecar
{
    operation_number operation;
    attempt::attempt_id attempt;
    attempt::dispatch_target target;
};

/// Dispatch the request. Given only while this core's claim is in the table.
struct run_filing
{
    attempt::attempt_id attempt;
    attempt::dispatch_target target;
};

/// The final answer to the caller, once for each call.
struct answer_caller
{
    result_code code = result_code::ok;
    /// Set when the code is ok.
    std::optional<attempt::run_outcome> outcome;
    /// When asking again makes sense.
    std::optional<duration> retry_after;
};

/// Send filing_timer_due at this time; replaces the time set before.
struct set_filing_timer
{
    mono_time at;
};

/// What counters show.
enum class filing_note : std::uint8_t
{
    claim_read_back,
    claim_given_up,
    claim_taken_over,
    late_claim_released,
    stored_outcome_served,
    outcome_adopted,
    record_retried,
    record_given_up,
    outcome_displaced,
};

struct count_note
{
    filing_note note = filing_note::claim_read_back;
};

/// The last command: the core may be destroyed.
struct filing_over
{
};

using filing_command = std::variant<
    ask_plan, write_row, read_row, ask_sidecar, run_filing, answer_caller,
    set_filing_timer, count_note, filing_over>;

/// Returns the name of a note as counters print it.
[[nodiscard]] std::string_view name(filing_note note) noexcept;

/// Handles one call. The caller is answered once, by its deadline plus
/// the bounds of the attempt; recording may go on after that.
class filing_core
{
public:
    /// @param random gives the jitter of pauses; outlives this object
    filing_core(
        const filing_options& options, filing_request request,
        random_source& random);

    /// Handles one event; after filing_over every event is ignored.
    [[nodiscard]] std::vector<filing_command> handle(
        const filing_event& event, moment now);

    [[nodiscard]] bool answered() const noexcept { return answered_; }

private:
    enum class phase : std::uint8_t
    {
        /// Waits for a plan.
        planning,
        /// No upstream can run the request; looks for an earlier outcome.
        looking,
        /// The claim was written and is not yet certain.
        claiming,
        /// The attempt is under way.
        running,
        /// Waits for another call's outcome.
        waiting,
        /// Writes what came of the request. The caller has its answer, but
        /// for an outcome: that is given after its record.
        recording,
        /// The claim was given up and is looked for, to release it.
        abandoned,
        over,
    };

    void on(const filing_begun& event, moment now);
    void on(const plan_made& event, moment now);
    void on(const plan_refused& event, moment now);
    void on(const row_written& event, moment now);
    void on(const row_read& event, moment now);
    void on(const sidecar_answered& event, moment now);
    void on(const run_judged& event, moment now);
    void on(const filing_timer_due& event, moment now);

    // Claiming.
    void plan();
    void claim_written(
        const table_service::transaction_result& answer, moment now);
    void claim_read(const table_service::read_result& answer, moment now);
    void claim_refused(moment now);
    void looked(const table_service::read_result& answer, moment now);
    void refuse_unplanned();
    void give_up_claim(moment now);
    void run();
    // Another call's row.
    void examine(const table_service::row& found, moment now);
    void wait_for(
        const table_service::row& found, const filing_record& record,
        moment now);
    void poll(moment now);
    void waiting_read(const table_service::read_result& answer, moment now);
    void end_waiting();
    void adopt(const attempt::run_outcome& outcome, moment now);
    void sidecar_could_not_tell(moment now);
    // Recording.
    void run_refused(result_code code, moment now);
    void record(filing_state state, result_code reason, moment now);
    void record_outcome(const attempt::run_outcome& outcome, moment now);
    void write_record();
    void record_written(
        const table_service::transaction_result& answer, moment now);
    void record_conflicted(
        const std::optional<table_service::row>& current, moment now);
    void retry_record(moment now);
    void recording_timer_due(moment now);
    void answer_outcome();
    void end_recording();
    void look_for_abandoned(
        const table_service::read_result& answer, moment now);

    [[nodiscard]] bool is_pending(const table_service::row& found) const;
    void write_pending(bool urgent);
    void read();
    void answer(
        result_code code, std::optional<attempt::run_outcome> outcome = {},
        std::optional<duration> retry_after = {});
    void arm(mono_time at);
    void note(filing_note note);
    void end();
    [[nodiscard]] duration jittered(duration bound);
    [[nodiscard]] operation_number next_operation();

    filing_options options_;
    filing_request request_;
    random_source* random_;
    phase phase_ = phase::planning;
    bool answered_ = false;
    /// Whether the row names this core's nonce, as far as it knows; version_
    /// is the row's version then.
    bool holds_ = false;
    /// The row's version that the next write expects.
    table_service::row_version version_ = table_service::absent_row_version;
    /// The record last written or to be written.
    filing_record pending_;
    /// A claim was sent whose answer was lost, so it may yet take effect.
    bool claim_in_doubt_ = false;
    /// Why there is no plan; set in the phase looking.
    result_code no_plan_ = result_code::no_upstream;
    std::uint32_t attempts_ = 0;
    /// Upstreams that refused an attempt; at most max_attempts.
    std::vector<upstream_id> avoid_;
    /// The question whose answer is awaited; others are ignored.
    std::uint64_t operation_ = 0;
    /// End of the phase claiming, recording or abandoned.
    mono_time phase_until_;
    duration pause_{};
    /// When an outcome is given to the caller though its record is not certain.
    mono_time answer_until_;
    /// A write of the record was sent and is not answered.
    bool record_under_way_ = false;

    /// The other call's record while waiting, of version version_.
    filing_record other_;
    std::optional<mono_time> wait_until_;
    mono_time ask_sidecar_at_;
    /// The sidecar was asked about other_ and has not answered since.
    bool sidecar_silent_ = false;
    /// The sidecar could not tell what became of the other call's attempt.
    bool lost_ = false;

    /// Commands of the event being handled; empty between events.
    std::vector<filing_command> commands_;
};

} // namespace wagtailseam::filing

#endif
