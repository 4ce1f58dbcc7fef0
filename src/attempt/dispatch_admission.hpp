// Admission control for dispatches at a sidecar: begins each attempt at most
// once or refuses it. Also answers tombstones.
//
// Memory is bounded without comparing the clocks of two VMs. The sidecar
// publishes readings of its own clock; the valid_until of a dispatch is such a
// reading plus the validity period of dispatches. A dispatch that arrives after
// valid_until is refused, so a tombstone must be stored only until then, and
// later duplicates of a begun attempt are refused without a record. Records of
// begun attempts are kept longer to answer late tombstones. Once a record has
// been removed, tombstones for dispatches of the same age or older are answered
// with cannot_tell.
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
    /// Maximum time from a clock reading to the valid_until of a dispatch.
    duration dispatch_validity = std::chrono::seconds(30);
    /// Time for which the record of a begun attempt is kept after valid_until.
    duration begun_record_retention = std::chrono::hours(1);
    /// Limit of the records of begun attempts. At the limit, dispatches are
    /// refused with upstream_busy.
    std::size_t max_begun_records = 100'000;
    std::size_t max_tombstones = 100'000;
    /// Limit of the outcomes stored for tombstones, in bytes of their bodies.
    /// The oldest are dropped first.
    std::size_t max_outcome_bytes = 64UL * 1024 * 1024;
};

/// An entry asks the sidecar to begin an attempt.
struct dispatch_arrived
{
    attempt_id attempt;
    incarnation sidecar_incarnation;
    sidecar_time valid_until;
    /// The weight version that the entry expects; 0 if the upstream has no
    /// weights.
    weight_version version;
    config_number config;
};

/// An entry asks the sidecar never to begin an attempt, and for its state.
struct tombstone_arrived
{
    attempt_id attempt;
    incarnation sidecar_incarnation;
    /// The same time as in the attempt's dispatch.
    sidecar_time valid_until;
};

/// The upstream sent its complete answer.
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

/// Send the request to the upstream now.
struct begin_run
{
    attempt_id attempt;
};

/// Send the stream of a begun attempt from frame 0 for a duplicate dispatch.
struct replay_response
{
    attempt_id attempt;
};

/// Refuse the dispatch; the attempt does not begin. @invariant is_not_run(code)
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

/// Handles the dispatches and tombstones of one sidecar process.
class dispatch_admission
{
public:
    explicit dispatch_admission(const dispatch_admission_options& options);

    /// Handles one event.
    /// @param now the time on the sidecar's clock; must not decrease
    /// Complexity: amortized logarithmic in the number of records.
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
    /// Returns the number of attempts that began and have not ended.
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
    using attempt_by_age = std::pair<sidecar_time, attempt_id>;

    admission_command on(const dispatch_arrived& event, sidecar_time now);
    admission_command on(const tombstone_arrived& event, sidecar_time now);
    admission_command on(const run_finished& event, sidecar_time now);
    admission_command on(const run_lost& event, sidecar_time now);
    admission_command on(const drain_started& event, sidecar_time now);
    admission_command on(const weight_version_changed& event, sidecar_time now);
    admission_command on(const config_learned& event, sidecar_time now);

    [[nodiscard]] result_code refusal_code(
        const dispatch_arrived& event, sidecar_time now) const;
    [[nodiscard]] bool is_expired(
        sidecar_time valid_until, sidecar_time now) const noexcept;
    void store_tombstone(const tombstone_arrived& event);
    void end_run(begun_record& record, tombstone_answer state);
    void remove_old_records(sidecar_time now);
    void remove_expired_tombstones(sidecar_time now);
    void remove_old_begun_records(sidecar_time now);
    void drop_excess_outcomes();

    dispatch_admission_options options_;
    bool draining_ = false;
    std::size_t running_ = 0;

    /// No attempt is in both begun_ and tombstones_.
    std::map<attempt_id, begun_record> begun_;
    /// The attempts in begun_, ordered by valid_until.
    std::set<attempt_by_age> begun_by_age_;
    std::map<attempt_id, sidecar_time> tombstones_;
    /// The attempts in tombstones_, ordered by valid_until.
    std::set<attempt_by_age> tombstones_by_age_;

    /// Dispatches with this valid_until or an earlier one are refused, because
    /// a tombstone of that age was dropped at max_tombstones.
    sidecar_time tombstone_floor_ = sidecar_time::min();
    /// Records of begun attempts with this valid_until or an earlier one may
    /// have been removed.
    sidecar_time begun_floor_ = sidecar_time::min();

    /// Attempts with a stored outcome, ordered by valid_until. The bodies of
    /// these outcomes add up to outcome_bytes_.
    std::set<attempt_by_age> outcomes_by_age_;
    std::size_t outcome_bytes_ = 0;
};

} // namespace wagtailseam::attempt

#endif
