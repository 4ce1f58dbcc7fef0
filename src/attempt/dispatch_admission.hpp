// The sidecar's decision about each dispatch: begin it once, or refuse it with
// a reason that is true. Also answers tombstones.
//
// Memory is bounded without comparing clocks of two VMs. The sidecar gives out
// readings of its own clock; a dispatch carries one of them plus the validity
// of dispatches as valid_until. A dispatch that arrives after valid_until is
// refused, so a tombstone has to be remembered only until then, and duplicates
// of a begun attempt are refused after then without a record. Records of begun
// attempts are kept longer, for tombstones that come late; once one has been
// forgotten, tombstones for dispatches at least as old get cannot_tell.
#ifndef WAGTAILSEAM_ATTEMPT_DISPATCH_ADMISSION_HPP
#define WAGTAILSEAM_ATTEMPT_DISPATCH_ADMISSION_HPP

#include "attempt/attempt_types.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <variant>

namespace wagtailseam::attempt
{

struct dispatch_admission_options
{
    incarnation sidecar_incarnation;
    weight_version version;
    config_number config;
    /// Longest time from a reading of the clock to a dispatch's valid_until.
    duration dispatch_validity = std::chrono::seconds(30);
    /// How long a begun attempt stays known after its valid_until.
    duration begun_record_retention = std::chrono::hours(1);
    /// Bounds the records of begun attempts; when full, dispatches are
    /// refused as upstream_busy.
    std::size_t max_begun_records = 100'000;
    std::size_t max_tombstones = 100'000;
    /// Bounds the outcomes kept for tombstones; the oldest are dropped first.
    std::size_t max_outcome_bytes = 64UL * 1024 * 1024;
};

/// An entry asks for an attempt to begin.
struct dispatch_arrived
{
    attempt_id attempt;
    incarnation sidecar_incarnation;
    sidecar_time valid_until;
    /// The weight version planned for; 0 where the upstream has no weights.
    weight_version version;
    config_number config;
};

/// An entry asks that an attempt never begin, and what is known of it.
struct tombstone_arrived
{
    attempt_id attempt;
    incarnation sidecar_incarnation;
    /// As the attempt's dispatch carries it.
    sidecar_time valid_until;
};

/// The upstream answered in full.
struct run_finished
{
    attempt_id attempt;
    run_outcome outcome;
};

/// The upstream was lost during the run.
struct run_lost
{
    attempt_id attempt;
};

struct drain_started
{
};

struct weight_version_changed
{
    weight_version version;
};

struct config_learned
{
    config_number config;
};

using admission_event = std::variant<
    dispatch_arrived, tombstone_arrived, run_finished, run_lost, drain_started,
    weight_version_changed, config_learned>;

/// Give the request to the upstream, now.
struct begin_run
{
    attempt_id attempt;
};

/// A duplicate of a dispatch that began: serve the stream from frame 0.
struct replay_response
{
    attempt_id attempt;
};

/// The attempt is not begun. @invariant is_not_run(code)
struct refuse_dispatch
{
    attempt_id attempt;
    result_code code = result_code::upstream_refused;
};

struct answer_tombstone
{
    attempt_id attempt;
    tombstone_answer answer;
};

/// Nothing to do.
struct no_action
{
};

using admission_command = std::variant<
    begin_run, replay_response, refuse_dispatch, answer_tombstone, no_action>;

/// Decides on dispatches and tombstones for one life of one sidecar.
class dispatch_admission
{
public:
    explicit dispatch_admission(const dispatch_admission_options& options);

    /// Handles one event. @param now the sidecar's own clock, never going back
    /// Complexity: logarithmic in the records, amortised.
    [[nodiscard]] admission_command handle(
        const admission_event& event, sidecar_time now);

    [[nodiscard]] incarnation sidecar_incarnation() const noexcept
    {
        return options_.sidecar_incarnation;
    }
    [[nodiscard]] bool draining() const noexcept { return draining_; }
    [[nodiscard]] config_number config() const noexcept
    {
        return options_.config;
    }
    /// Attempts begun and not ended.
    [[nodiscard]] std::size_t running() const noexcept { return running_; }
    [[nodiscard]] std::size_t begun_record_count() const noexcept
    {
        return begun_.size();
    }
    [[nodiscard]] std::size_t tombstone_count() const noexcept
    {
        return tombstones_.size();
    }

private:
    struct begun_record
    {
        sidecar_time valid_until;
        tombstone_answer state = still_running{};
    };
    using aged_attempt = std::pair<sidecar_time, attempt_id>;

    admission_command on(const dispatch_arrived& event, sidecar_time now);
    admission_command on(const tombstone_arrived& event, sidecar_time now);
    admission_command on(const run_finished& event, sidecar_time now);
    admission_command on(const run_lost& event, sidecar_time now);
    admission_command on(const drain_started& event, sidecar_time now);
    admission_command on(const weight_version_changed& event, sidecar_time now);
    admission_command on(const config_learned& event, sidecar_time now);

    [[nodiscard]] result_code refusal(
        const dispatch_arrived& event, sidecar_time now) const;
    [[nodiscard]] bool expired(
        sidecar_time valid_until, sidecar_time now) const noexcept;
    void remember_tombstone(const tombstone_arrived& event);
    void end_run(begun_record& record, tombstone_answer state);
    void forget_old(sidecar_time now);
    void forget_old_tombstones(sidecar_time now);
    void forget_old_begun(sidecar_time now);
    void bound_outcomes();

    dispatch_admission_options options_;
    bool draining_ = false;
    std::size_t running_ = 0;

    /// No attempt is in both begun_ and tombstones_.
    std::map<attempt_id, begun_record> begun_;
    /// The same attempts as begun_, oldest first.
    std::set<aged_attempt> begun_by_age_;
    std::map<attempt_id, sidecar_time> tombstones_;
    /// The same attempts as tombstones_, oldest first.
    std::set<aged_attempt> tombstones_by_age_;

    /// Dispatches valid until then or earlier are refused: a tombstone as
    /// young as this was dropped to keep the bound.
    sidecar_time tombstone_floor_ = sidecar_time::min();
    /// Of dispatches valid until then or earlier, begun ones may be forgotten.
    sidecar_time begun_floor_ = sidecar_time::min();

    /// Outcomes kept, oldest first; their bytes add up to outcome_bytes_.
    std::set<aged_attempt> outcomes_by_age_;
    std::size_t outcome_bytes_ = 0;
};

} // namespace wagtailseam::attempt

#endif
