// Log lines and clocks around the quarantine.
#include "gateway/crash_registry.hpp"

#include "telemetry/event_log.hpp"

#include <algorithm>
#include <utility>

namespace wagtailseam::gateway
{

using quarantine::broken_attempt;
using quarantine::content_fingerprint;
using quarantine::crash_report;
using quarantine::crash_suspect;
using quarantine::process_fate;
using quarantine::request_content;
using quarantine::run_purpose;
using quarantine::suspect_kind;
using quarantine::upstream_process;

process_fate crash_registry::record_broken_attempt(
    const upstream_process& process, const request_id& request,
    const request_content& content, std::vector<content_fingerprint> trials)
{
    const auto now = monotonic_clock::now();
    broken_attempt attempt{
        .suspects = completions_.suspects(content, now),
        .broken_at = now,
        .request = request,
        .trials = std::move(trials)};
    // A trial that ends with a crash counts even if the other contents of its
    // request are the likelier reason.
    for (const auto& trial : attempt.trials)
    {
        const crash_suspect suspect{
            trial, trial == content.request ? suspect_kind::request
                                            : suspect_kind::prompt_part};
        if (std::find(
                attempt.suspects.begin(), attempt.suspects.end(), suspect) ==
            attempt.suspects.end())
        {
            attempt.suspects.push_back(suspect);
        }
    }
    const auto fate = attribution_.record_broken_attempt(process, attempt);
    if (fate == process_fate::crashed)
    {
        record_crash(process, attempt, "attempt");
    }
    return fate;
}

void crash_registry::record_crash(
    const upstream_process& process, const broken_attempt& attempt,
    std::string_view source)
{
    const auto crash = quarantine::make_crash_id(process);
    const auto now = wall_clock::now();
    bool changed = false;
    for (const auto& suspect : attempt.suspects)
    {
        const bool is_trial = std::find(
                                  attempt.trials.begin(), attempt.trials.end(),
                                  suspect.content) != attempt.trials.end();
        const bool is_new =
            completions_.completed_at(suspect) <= attempt.broken_at &&
            quarantine_.record_crash(
                suspect, crash, now, attempt.request,
                is_trial ? run_purpose::trial : run_purpose::regular);
        if (is_new)
        {
            log_restriction(suspect, source);
            changed = true;
        }
    }
    if (changed)
    {
        on_unsent_records_();
    }
}

void crash_registry::record_process_end(
    const upstream_process& process, std::string_view source)
{
    const auto end =
        attribution_.record_process_end(process, monotonic_clock::now());
    if (!end.is_news && end.attempts.empty())
    {
        return;
    }
    telemetry::event("upstream_process_ended")
        .with("upstream", process.id)
        .with("started_ms", process.started_ms)
        .with("source", source)
        .with("broken_attempts", end.attempts.size());
    for (const auto& attempt : end.attempts)
    {
        record_crash(process, attempt, source);
    }
}

void crash_registry::record_process_listed(const upstream_process& process)
{
    attribution_.record_process_listed(process);
}

void crash_registry::record_process_leaving(const upstream_process& process)
{
    attribution_.record_process_leaving(process, monotonic_clock::now());
}

void crash_registry::record_completion(const crash_suspect& completed)
{
    completions_.insert(completed, monotonic_clock::now());
    clear_crashes(completed.content);
}

void crash_registry::clear_crashes(const content_fingerprint& content)
{
    if (quarantine_.record_completion(content))
    {
        telemetry::event("crash_record_cleared")
            .with("content", short_name(content));
        on_unsent_records_();
    }
}

void crash_registry::merge(const crash_report& report, std::string_view source)
{
    if (!quarantine_.merge(report, wall_clock::now()))
    {
        return;
    }
    const auto& [content, record] = report;
    const crash_suspect suspect{content, record.kind};
    if (completions_.exonerates(suspect, monotonic_clock::now()))
    {
        clear_crashes(content);
    }
    log_restriction(suspect, source);
    on_unsent_records_();
}

quarantine::prompt_status crash_registry::check(
    const request_content& content) const
{
    return quarantine_.check(content, wall_clock::now());
}

void crash_registry::on_unsent_records(std::function<void()> callback)
{
    on_unsent_records_ = std::move(callback);
}

void crash_registry::log_restriction(
    const crash_suspect& suspect, std::string_view source) const
{
    request_content content;
    if (suspect.kind == suspect_kind::request)
    {
        content.request = suspect.content;
    }
    else
    {
        content.parts.push_back(suspect.content);
    }
    const auto status = check(content);
    const auto* const refusal = std::get_if<quarantine::quarantined>(&status);
    if (refusal == nullptr)
    {
        return;
    }
    const auto& record = *quarantine_.find(suspect.content);
    telemetry::event("request_quarantined")
        .with("content", short_name(suspect.content))
        .with("kind", name(suspect.kind))
        .with("crashes", record.uncleared_crash_count())
        .with("runs", record.runs.size())
        .with("failed_trials", record.failed_trial_count())
        .with("source", source)
        .with("for_us", (refusal->until - wall_clock::now()).count())
        .warning();
}

} // namespace wagtailseam::gateway
