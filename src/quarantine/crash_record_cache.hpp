// Records which prompts were running when upstreams crashed. Records from
// several sources can be merged in any order.
#ifndef WAGTAILSEAM_QUARANTINE_CRASH_RECORD_CACHE_HPP
#define WAGTAILSEAM_QUARANTINE_CRASH_RECORD_CACHE_HPP

#include "core/clock.hpp"
#include "core/digest.hpp"
#include "core/ids.hpp"
#include "core/result.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wagtailseam::quarantine
{

/// Further runs that ended with crashes do not change how a request is judged.
inline constexpr std::size_t max_runs_per_record = 4;

/// Identifies the content of a request of a workspace, or a part of a prompt,
/// without revealing it. Requests that repeat it under other ids have the same
/// fingerprint.
using content_fingerprint = strong_id<struct content_fingerprint_tag, digest>;

/// Identifies the crash of one upstream process.
using crash_id = strong_id<struct crash_tag>;

/// Number of distinct uncleared crashes at which a prompt is quarantined.
inline constexpr std::size_t crashes_to_quarantine = 2;

[[nodiscard]] content_fingerprint make_prompt_fingerprint(
    const workspace_id& workspace, const model_id& model, const digest& prompt);

/// Returns the first hexadecimal digits of a fingerprint, for logs.
[[nodiscard]] std::string short_name(const content_fingerprint& content);

/// Returns the fingerprint of an HTTP request. The query counts only if there
/// is no body: a repeated request may differ in it, but without a body it alone
/// distinguishes the requests of a path.
/// @param workspace empty for requests without credentials
/// @param target path and query
/// Complexity: linear in the size of the body.
[[nodiscard]] content_fingerprint make_request_fingerprint(
    const workspace_id& workspace, std::string_view target,
    std::string_view body);

/// Returns the fingerprint of a prompt part, which is the same in the prompts
/// of all workspaces.
[[nodiscard]] content_fingerprint make_part_fingerprint(std::string_view part);

/// What may crash upstreams: a request as a whole, or a part of its prompt.
enum class suspect_kind : std::uint8_t
{
    request,
    prompt_part,
};

/// Returns the name of the kind in logs and rows.
[[nodiscard]] std::string_view name(suspect_kind kind) noexcept;

/// The fingerprints by which a request is judged.
struct request_content
{
    content_fingerprint request;
    /// The parts of its prompt that other requests may share.
    std::vector<content_fingerprint> parts;
};

/// Returns the id of the crash of an upstream process, which its sidecar
/// numbers by start.
[[nodiscard]] crash_id make_crash_id(
    const upstream_id& upstream, incarnation sidecar,
    std::uint64_t start_number);

/// One run of a request that ended with a crash. An upstream may execute a
/// request several times at once for different callers.
struct crashed_run
{
    crash_id crash;
    /// First digits of the hash of the request's id, whose length and content
    /// callers choose.
    std::string request;

    friend bool operator==(const crashed_run&, const crashed_run&) = default;
    friend auto operator<=>(const crashed_run&, const crashed_run&) = default;
};

[[nodiscard]] crashed_run make_crashed_run(
    const crash_id& crash, const request_id& request);

/// The crashes during which one request, or one part of prompts, was running.
/// The sets of crashes only grow, so the order of merges does not matter.
struct crash_record
{
    suspect_kind kind = suspect_kind::request;
    std::set<crash_id> crashes;
    /// Runs that ended with uncleared crashes, for requests.
    /// @invariant the first max_runs_per_record of those merged
    std::set<crashed_run> runs;
    /// Crashes that ended a trial, in which no other request with the content
    /// was running.
    /// @invariant a subset of `crashes`
    std::set<crash_id> failed_trials;
    /// Crashes that no longer count against the prompt, because an operator
    /// cleared them or a later run finished.
    std::set<crash_id> cleared;
    wall_time expires;

    /// Returns the number of crashes that are not cleared.
    [[nodiscard]] std::size_t uncleared_crash_count() const;
    /// Returns the number of trials since the last completion that ended with a
    /// crash.
    [[nodiscard]] std::size_t failed_trial_count() const;
    /// Adds a run that ended with a crash. @return whether it was unknown
    bool add_run(const crashed_run& run);
    /// Merges the other record into this one. @return whether this one changed.
    bool merge(const crash_record& other);
    /// Marks all crashes in this record as cleared.
    void clear_crashes();

    friend bool operator==(const crash_record&, const crash_record&) = default;

private:
    void prune_runs();
};

/// The prompt may run on any upstream.
struct unrestricted
{
};

/// The prompt was running during a crash; it runs only where few other prompts
/// are at risk.
struct suspect
{
};

/// The prompt is refused until this time or until an operator clears it.
struct quarantined
{
    wall_time until;
    /// The content that is refused: the request or a part of its prompt.
    content_fingerprint cause;
};

using prompt_status = std::variant<unrestricted, suspect, quarantined>;

/// Serializes a record as JSON for the value of a table row.
[[nodiscard]] std::string encode(const crash_record& record);

/// Parses the value of a table row. Errors: malformed_message.
[[nodiscard]] result<crash_record> decode(std::string_view value);

/// Crash records by fingerprint. When it holds max_records, a new record evicts
/// one of those with the fewest uncleared crashes, the one that expires first:
/// many requests run beside one that crashes upstreams, and their records must
/// not displace its own. Lookups are logarithmic.
class crash_record_cache
{
public:
    explicit crash_record_cache(std::size_t max_records = 4096);

    /// Merges a record into the one kept for the prompt.
    /// @return whether the kept record changed
    bool merge(const content_fingerprint& prompt, const crash_record& record);
    /// Returns the record, or nullptr if there is none.
    [[nodiscard]] const crash_record* find(
        const content_fingerprint& prompt) const;
    [[nodiscard]] prompt_status check(
        const content_fingerprint& prompt, wall_time now) const;
    /// Removes records that have expired.
    void remove_expired(wall_time now);
    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }
    /// Iterators over pairs of fingerprint and record, in ascending order.
    [[nodiscard]] auto begin() const noexcept { return records_.begin(); }
    [[nodiscard]] auto end() const noexcept { return records_.end(); }

private:
    void evict_least_significant();

    std::size_t max_records_;
    /// records_.size() <= max_records_.
    std::map<content_fingerprint, crash_record> records_;
};

} // namespace wagtailseam::quarantine

#endif
