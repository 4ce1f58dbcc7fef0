// Log lines and clocks around the quarantine.
#include "gateway/crash_registry.hpp"

#include "telemetry/event_log.hpp"

namespace wagtailseam::gateway
{

using quarantine::crash_report;
using quarantine::request_fingerprint;
using quarantine::upstream_process;

bool crash_registry::record_broken_attempt(
    const upstream_process& process, const request_fingerprint& request)
{
    const bool ended = attribution_.record_broken_attempt(
        process, request, monotonic_clock::now());
    if (ended)
    {
        record_crash(process, request, "attempt");
    }
    return ended;
}

void crash_registry::record_crash(
    const upstream_process& process, const request_fingerprint& request,
    std::string_view source)
{
    if (completions_.contains(request, monotonic_clock::now()) ||
        !quarantine_.record_crash(
            request, make_crash_id(process), wall_clock::now()))
    {
        return;
    }
    log_restriction(request, source);
    on_unsent_records_();
}

void crash_registry::record_process_end(
    const upstream_process& process, std::string_view source)
{
    const auto end =
        attribution_.record_process_end(process, monotonic_clock::now());
    if (!end.is_news && end.requests.empty())
    {
        return;
    }
    telemetry::event("upstream_process_ended")
        .with("upstream", process.id)
        .with("started_ms", process.started_ms)
        .with("source", source)
        .with("broken_attempts", end.requests.size());
    for (const auto& request : end.requests)
    {
        record_crash(process, request, source);
    }
}

void crash_registry::record_process_listed(const upstream_process& process)
{
    attribution_.record_process_listed(process);
}

void crash_registry::record_completion(const request_fingerprint& request)
{
    completions_.insert(request, monotonic_clock::now());
    if (quarantine_.record_completion(request))
    {
        telemetry::event("crash_record_cleared")
            .with("content", short_name(request));
        on_unsent_records_();
    }
}

void crash_registry::merge(const crash_report& report, std::string_view source)
{
    if (!quarantine_.merge(report, wall_clock::now()))
    {
        return;
    }
    if (completions_.contains(report.first, monotonic_clock::now()))
    {
        record_completion(report.first);
    }
    log_restriction(report.first, source);
}

quarantine::prompt_status crash_registry::check(
    const request_fingerprint& request) const
{
    return quarantine_.check(request, wall_clock::now());
}

void crash_registry::on_unsent_records(std::function<void()> callback)
{
    on_unsent_records_ = std::move(callback);
}

void crash_registry::log_restriction(
    const request_fingerprint& request, std::string_view source) const
{
    const auto status = check(request);
    const auto* const refusal = std::get_if<quarantine::quarantined>(&status);
    if (refusal == nullptr)
    {
        return;
    }
    telemetry::event("request_quarantined")
        .with("content", short_name(request))
        .with("crashes", quarantine_.find(request)->uncleared_crash_count())
        .with("source", source)
        .with("for_us", (refusal->until - wall_clock::now()).count())
        .warning();
}

} // namespace wagtailseam::gateway
