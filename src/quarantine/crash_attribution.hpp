// Attributes the ends of upstream processes to the requests whose attempts they
// broke off.
#ifndef WAGTAILSEAM_QUARANTINE_CRASH_ATTRIBUTION_HPP
#define WAGTAILSEAM_QUARANTINE_CRASH_ATTRIBUTION_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/upstream_process.hpp"
#include "quarantine/crash_record_cache.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace wagtailseam::quarantine
{

using wagtailseam::upstream_process;

/// Returns the id of the crash of an upstream process. All gateways name the
/// same crash alike.
[[nodiscard]] crash_id make_crash_id(const upstream_process& process);

struct crash_attribution_options
{
    /// A broken attempt and the end of its process are matched if they are
    /// observed within this time. A silent crash is only observed when the
    /// upstream registers again.
    duration match_window = std::chrono::seconds(30);
    /// When it is reached, the process that was updated least recently is
    /// dropped.
    std::size_t max_processes = 256;
    /// Further broken attempts of a process are ignored. An upstream runs some
    /// hundred requests of all gateways at once.
    std::size_t max_attempts_per_process = 512;
};

/// What may have crashed an upstream.
struct crash_suspect
{
    content_fingerprint content;
    suspect_kind kind = suspect_kind::request;

    friend bool operator==(const crash_suspect&, const crash_suspect&) =
        default;
};

/// An attempt without a complete response that a crash of its upstream would
/// explain.
struct broken_attempt
{
    std::vector<crash_suspect> suspects;
    mono_time broken_at;
    request_id request{};
    /// The suspects of which the attempt was the only run in the fleet.
    std::vector<content_fingerprint> trials;

    friend bool operator==(const broken_attempt&, const broken_attempt&) =
        default;
};

/// What is known of the process of a broken attempt.
enum class process_fate : std::uint8_t
{
    /// It may still be running; the attempt is stored.
    unknown,
    crashed,
    /// It leaves as planned, so that its end is no crash.
    leaving,
};

/// What the end of a process reveals.
struct process_end
{
    /// The end was unknown until now.
    bool is_news = false;
    /// The stored attempts that broke within the match window. Each attempt is
    /// returned once.
    std::vector<broken_attempt> attempts;
};

/// Matches broken attempts with ended processes, whichever is observed first.
/// Performs no I/O. Not thread-safe.
class crash_attribution
{
public:
    explicit crash_attribution(const crash_attribution_options& options = {});

    [[nodiscard]] process_fate record_broken_attempt(
        const upstream_process& process, const broken_attempt& attempt);

    /// Records that a process has ended. The end of a process that leaves
    /// reveals no attempts.
    [[nodiscard]] process_end record_process_end(
        const upstream_process& process, mono_time now);

    /// Records that a process leaves as planned.
    void record_process_leaving(const upstream_process& process, mono_time now);

    /// Records that the platform lists a process, so that it has not ended.
    void record_process_listed(const upstream_process& process);

private:
    struct process_state
    {
        /// In order of `broken_at`; at most max_attempts_per_process.
        std::vector<broken_attempt> attempts;
        std::optional<mono_time> ended_at;
        /// Whether it leaves as planned.
        bool is_leaving = false;
        mono_time updated_at;
    };

    process_state& touch(const upstream_process& process, mono_time now);
    void remove_outdated(mono_time now);

    crash_attribution_options options_;
    /// At most max_processes.
    std::map<upstream_process, process_state> processes_;
};

} // namespace wagtailseam::quarantine

#endif
