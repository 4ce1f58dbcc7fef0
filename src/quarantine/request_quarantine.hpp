// Decides which requests a gateway may send to upstreams, from the crashes
// during which equal requests, or requests with a part of their prompts, ran.
// Gateways exchange their records, because a request that crashes upstreams
// returns under other ids at any gateway, and a part in other requests.
#ifndef WAGTAILSEAM_QUARANTINE_REQUEST_QUARANTINE_HPP
#define WAGTAILSEAM_QUARANTINE_REQUEST_QUARANTINE_HPP

#include "quarantine/crash_attribution.hpp"
#include "quarantine/crash_report.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace wagtailseam::quarantine
{

/// Late runs that the users' platform accepts of a content that crashes
/// upstreams.
inline constexpr std::size_t max_trials = 3;

struct request_quarantine_options
{
    /// Uncleared crashes after which a request may only run as a trial. One
    /// crash does not count against a request, because all requests that ran
    /// beside it on the upstream have the same crash on record.
    std::size_t crashes_to_suspect = 2;
    /// Runs that ended with uncleared crashes after which a request may only
    /// run as a trial, even if a single upstream crashed under all of them.
    std::size_t runs_to_suspect = 3;
    /// Uncleared crashes after which a part may only run as a trial.
    std::size_t crashes_to_suspect_part = 3;
    /// Times after a suspect's last crash before its trial, by the number of
    /// its trials that failed. An outage puts sound contents under suspicion,
    /// so the first trial is early. After the last one, a content that crashes
    /// upstreams is refused until its record expires.
    std::array<duration, max_trials> request_trial_delays = {
        std::chrono::seconds(5), std::chrono::seconds(30),
        std::chrono::minutes(5)};
    /// The records of the first crashes reach all gateways before the trial.
    std::array<duration, max_trials> part_trial_delays = {
        std::chrono::seconds(1), std::chrono::seconds(5),
        std::chrono::minutes(1)};
    /// Time for which a request is refused whose trial another gateway runs.
    duration request_trial_time = std::chrono::seconds(5);
    /// The same for a part, which many requests wait for.
    duration part_trial_time = std::chrono::milliseconds(500);
    /// Lifetime of a record after the last crash. A request that returns later
    /// crashes upstreams again until it is recognized.
    duration record_lifetime = std::chrono::hours(24);
    std::size_t max_records = 4096;
    /// Further crashes of a request are ignored, so that its record fits into a
    /// datagram.
    std::size_t max_crashes_per_record = 16;
    int sends_per_change = 3;
};

/// Why a content was running during a crash.
enum class run_purpose : std::uint8_t
{
    regular,
    trial,
};

/// A number of crashes does not show whether a content caused them: in an
/// outage of all upstreams, whatever ran there is under suspicion. A content of
/// several crashes is therefore tried, in one request of all gateways at a
/// time. A completed trial clears it; trials that end with crashes are repeated
/// at increasing intervals, at most max_trials times.
///
/// A part is suspect from more crashes on than a request: as long as few are
/// known, parts of many sound requests are under suspicion too. A suspect part
/// is tried without a pause in requests without another suspect content that
/// was running during its crashes and so explains them.
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
    /// Refuses a suspect content for the usual time of a trial, since another
    /// gateway may be trying it.
    void defer_trial(const content_fingerprint& content, wall_time now);
    /// Records a crash of an upstream that executed the suspect.
    /// @param request the request that it executed, if the suspect is one
    /// @return whether this crash, or this run, was unknown
    bool record_crash(
        const crash_suspect& suspect, const crash_id& crash, wall_time now,
        const std::optional<request_id>& request = std::nullopt,
        run_purpose purpose = run_purpose::regular);
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
    /// Returns whether a suspect content that is not in the request was running
    /// during the crashes of the part, but for fewer than crashes_to_suspect,
    /// during which the part may have run by chance.
    [[nodiscard]] bool is_explained(
        const crash_record& part, const request_content& content) const;
    [[nodiscard]] wall_time last_crash(const crash_record& record) const
    {
        return record.expires - options_.record_lifetime;
    }
    /// Returns the time of the next trial, or when the record expires if there
    /// is none.
    [[nodiscard]] wall_time next_trial(
        const crash_record& record,
        const std::array<duration, max_trials>& delays) const;
    /// Returns the status of a content that may only run as a trial.
    /// @param trial_time time after which a caller of a content returns that is
    ///                   being tried
    [[nodiscard]] prompt_status check_trial(
        const content_fingerprint& content, wall_time next_trial,
        duration trial_time, wall_time now) const;
    /// Returns whether the crashes, cleared or not, suffice to suspect a
    /// request or may soon suffice for a part.
    [[nodiscard]] bool is_repeated(const crash_record& record) const;
    void mark_changed(const content_fingerprint& request);

    request_quarantine_options options_;
    crash_record_cache records_;
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
