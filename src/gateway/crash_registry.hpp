// What this gateway knows of requests and prompt parts that crash upstreams,
// from its own attempts and from other gateways.
#ifndef WAGTAILSEAM_GATEWAY_CRASH_REGISTRY_HPP
#define WAGTAILSEAM_GATEWAY_CRASH_REGISTRY_HPP

#include "quarantine/crash_attribution.hpp"
#include "quarantine/recent_completions.hpp"
#include "quarantine/request_quarantine.hpp"

#include <functional>
#include <string_view>

namespace wagtailseam::gateway
{

/// Ignores crashes under a content that was completed recently: if many callers
/// send equal requests or parts, some of them run during every crash. Reads the
/// clocks and logs each change that restricts a content. Not thread-safe.
class crash_registry
{
public:
    /// Records an attempt without a complete response that a crash of the
    /// upstream's process would explain.
    /// @param trials the contents of which the attempt was the trial
    quarantine::process_fate record_broken_attempt(
        const quarantine::upstream_process& process, const request_id& request,
        const quarantine::request_content& content,
        std::vector<quarantine::content_fingerprint> trials = {});
    /// @param source how the end was observed, for the log
    void record_process_end(
        const quarantine::upstream_process& process, std::string_view source);
    void record_process_listed(const quarantine::upstream_process& process);
    /// Records that a process leaves as planned, so that its end is no crash.
    void record_process_leaving(const quarantine::upstream_process& process);
    void record_completion(const quarantine::crash_suspect& completed);
    /// Merges a report of another gateway or of the store.
    void merge(const quarantine::crash_report& report, std::string_view source);

    [[nodiscard]] quarantine::prompt_status check(
        const quarantine::request_content& content) const;

    [[nodiscard]] quarantine::request_quarantine& quarantine() noexcept
    {
        return quarantine_;
    }
    [[nodiscard]] const quarantine::request_quarantine& quarantine()
        const noexcept
    {
        return quarantine_;
    }
    /// The callback is called when there may be records to send to other
    /// gateways or to write.
    void on_unsent_records(std::function<void()> callback);

private:
    /// Logs the status of a content unless it is unrestricted.
    void log_restriction(
        const quarantine::crash_suspect& suspect,
        std::string_view source) const;

    void clear_crashes(const quarantine::content_fingerprint& content);
    /// Records a crash of a process that broke the attempt off. Omits contents
    /// that were completed since.
    void record_crash(
        const quarantine::upstream_process& process,
        const quarantine::broken_attempt& attempt, std::string_view source);

    quarantine::crash_attribution attribution_;
    quarantine::recent_completions completions_;
    quarantine::request_quarantine quarantine_;
    std::function<void()> on_unsent_records_ = [] {};
};

} // namespace wagtailseam::gateway

#endif
