// Decides which requests a gateway may send to upstreams, from the crashes
// during which equal requests, or requests with a part of their prompts, ran.
// Gateways exchange their records, because a request that crashes upstreams
// returns under other ids at any gateway, and a part in other requests.
#ifndef WAGTAILSEAM_QUARANTINE_REQUEST_QUARANTINE_HPP
#define WAGTAILSEAM_QUARANTINE_REQUEST_QUARANTINE_HPP

#include "core/fleet_position.hpp"
#include "quarantine/crash_attribution.hpp"
#include "quarantine/crash_report.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace wagtailseam::quarantine
{

struct request_quarantine_options
{
    /// Uncleared crashes after which a request may only run as a trial. One
    /// crash does not count against a request, because all requests that ran
    /// beside it on the upstream have the same crash on record.
    std::size_t crashes_to_suspect = 2;
    /// Runs that ended with uncleared crashes after which a request may only
    /// run as a trial, even if a single upstream crashed under all of them.
    std::size_t runs_to_suspect = 3;
    /// Uncleared crashes after which a request is refused until the record
    /// expires, and a part until its trial.
    std::size_t crashes_to_quarantine = 3;
    /// Time after a suspect's last crash before its trial. Meanwhile, the
    /// crashed upstreams restart.
    duration trial_delay = std::chrono::seconds(5);
    /// Time after the last crash of a quarantined part before its trial.
    /// Doubles with each crash beyond crashes_to_quarantine.
    duration part_trial_delay = std::chrono::seconds(30);
    /// A trial of an explained part ends within this time, usually.
    duration explained_trial_time = std::chrono::milliseconds(500);
    /// The gateways take turns of this length to try quarantined parts, so that
    /// only one does at a time.
    duration turn_length = std::chrono::seconds(2);
    /// Lifetime of a record after the last crash. A request that returns later
    /// crashes upstreams again until it is recognized.
    duration record_lifetime = std::chrono::hours(24);
    std::size_t max_records = 4096;
    /// Further crashes of a request are ignored, so that its record fits into a
    /// datagram.
    std::size_t max_crashes_per_record = 16;
    int sends_per_change = 3;
};

/// A part is quarantined without a pause before: as long as few crashes are
/// known, parts of many sound requests are under suspicion too. A quarantined
/// part stays allowed, one request at a time, in requests without another
/// quarantined content that was running during its crashes and so explains
/// them. Any other is tried at increasing intervals.
///
/// Performs no I/O; not thread-safe. Lookups are logarithmic in the number of
/// records, and linear for requests with a quarantined part.
class request_quarantine
{
public:
    explicit request_quarantine(const request_quarantine_options& options = {});

    /// Returns whether a request may be sent to an upstream. A suspect may be
    /// sent once begin_trial() was called.
    [[nodiscard]] prompt_status check(
        const request_content& content, wall_time now) const;
    /// Prevents further runs of the suspect contents of a request in this
    /// process until end_trial().
    /// @return these contents
    [[nodiscard]] std::vector<content_fingerprint> begin_trial(
        const request_content& content, wall_time now);
    void end_trial(const std::vector<content_fingerprint>& suspects);
    /// Refuses a suspect request for the usual delay of a trial, since another
    /// gateway may be trying it.
    void defer_trial(const content_fingerprint& request, wall_time now);
    void set_trial_turn(const fleet_position& turn) noexcept { turn_ = turn; }

    /// Records a crash of an upstream that executed the suspect.
    /// @param request the request that it executed, if the suspect is one
    /// @return whether this crash, or this run, was unknown
    bool record_crash(
        const crash_suspect& suspect, const crash_id& crash, wall_time now,
        const std::optional<request_id>& request = std::nullopt);
    /// Clears the known crashes of a content, since an upstream completed it.
    /// @return whether it had any
    bool record_completion(const content_fingerprint& content);
    /// Merges a record of another process or of the store.
    /// @return whether the known record changed
    bool merge(const crash_report& report, wall_time now);

    /// Returns false if no request can be suspect, so that callers need not
    /// compute fingerprints.
    [[nodiscard]] bool has_records() const noexcept
    {
        return records_.size() > 0;
    }
    [[nodiscard]] const crash_record* find(
        const content_fingerprint& request) const
    {
        return records_.find(request);
    }
    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

    /// Returns the records that this process changed, for all other processes.
    /// Returns each change `sends_per_change` times, once per call, to make up
    /// for lost messages.
    [[nodiscard]] std::vector<crash_report> take_unsent();
    /// Returns at most `max_reports` records of several crashes, other ones
    /// with each call, for processes that were restarted or cut off.
    [[nodiscard]] std::vector<crash_report> next_repeated(
        std::size_t max_reports);
    /// Returns the records of several crashes that the store does not contain
    /// yet and that this process has to write.
    [[nodiscard]] std::vector<crash_report> take_unwritten();
    /// Puts records back whose write failed.
    void return_unwritten(const std::vector<crash_report>& reports);

    /// Marks the records as unwritten that this process wrote, since the store
    /// may have lost them.
    void rewrite_all();

    /// Removes expired records and deferrals that have ended.
    void remove_expired(wall_time now);

private:
    [[nodiscard]] prompt_status check_request(
        const content_fingerprint& request, wall_time now) const;
    [[nodiscard]] prompt_status check_part(
        const content_fingerprint& part, const request_content& content,
        wall_time now) const;
    /// Returns whether a quarantined content that is not in the request was
    /// running during the crashes of the part, but for fewer than
    /// crashes_to_suspect, during which the part may have run by chance.
    [[nodiscard]] bool is_explained(
        const crash_record& part, const request_content& content) const;
    [[nodiscard]] wall_time last_crash(const crash_record& record) const
    {
        return record.expires - options_.record_lifetime;
    }
    [[nodiscard]] wall_time next_part_trial(const crash_record& record) const;
    [[nodiscard]] bool is_own_turn(wall_time now) const;
    /// Returns whether the crashes, cleared or not, suffice to suspect a
    /// request or may soon suffice for a part.
    [[nodiscard]] bool is_repeated(const crash_record& record) const;
    void mark_changed(const content_fingerprint& request);

    request_quarantine_options options_;
    crash_record_cache records_;
    /// Position of this gateway among those that try quarantined parts.
    /// Unset: this gateway does not know the others, and tries no part.
    std::optional<fleet_position> turn_;
    /// Suspects that this process is running.
    std::set<content_fingerprint> trials_;
    /// Earliest times of trials that other gateways may have claimed.
    std::map<content_fingerprint, wall_time> deferred_trials_;
    /// How often each changed record is still to be sent; at least once.
    std::map<content_fingerprint, int> unsent_;
    std::set<content_fingerprint> unwritten_;
    /// Records that this process changed and, once they are of several crashes
    /// or runs, has to keep up to date in the store.
    std::set<content_fingerprint> written_here_;
    /// The last record that next_repeated() returned.
    std::optional<content_fingerprint> last_repeated_;
};

} // namespace wagtailseam::quarantine

#endif
