// Evaluation of crash records and bookkeeping of their distribution.
#include "quarantine/request_quarantine.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace wagtailseam::quarantine
{

namespace
{

/// Returns the status that allows less.
prompt_status stricter(const prompt_status& a, const prompt_status& b)
{
    const auto* const first = std::get_if<quarantined>(&a);
    const auto* const second = std::get_if<quarantined>(&b);
    if (first != nullptr && second != nullptr)
    {
        return first->until < second->until ? b : a;
    }
    // The alternatives are in ascending order.
    return a.index() < b.index() ? b : a;
}

} // namespace

request_quarantine::request_quarantine(
    const request_quarantine_options& options)
    : options_(options), records_(options.max_records)
{
    BOOST_ASSERT(options.crashes_to_suspect >= 1);
    BOOST_ASSERT(options.crashes_to_suspect <= options.crashes_to_suspect_part);
    BOOST_ASSERT(options.runs_to_suspect <= max_runs_per_record);
    BOOST_ASSERT(
        options.request_trial_delays.back() <= options.record_lifetime);
    BOOST_ASSERT(options.part_trial_delays.back() <= options.record_lifetime);
}

prompt_status request_quarantine::check(
    const request_content& content, wall_time now) const
{
    prompt_status status = check_request(content.request, now);
    for (const auto& part : content.parts)
    {
        status = stricter(status, check_part(part, content, now));
    }
    return status;
}

prompt_status request_quarantine::check_request(
    const content_fingerprint& request, wall_time now) const
{
    const crash_record* const record = records_.find(request);
    if (record == nullptr || record->expires <= now)
    {
        return unrestricted{};
    }
    if (record->uncleared_crash_count() < options_.crashes_to_suspect &&
        record->runs.size() < options_.runs_to_suspect)
    {
        return unrestricted{};
    }
    return check_trial(
        request, next_trial(*record, options_.request_trial_delays),
        options_.request_trial_time, now);
}

prompt_status request_quarantine::check_part(
    const content_fingerprint& part, const request_content& content,
    wall_time now) const
{
    const crash_record* const record = records_.find(part);
    if (record == nullptr || record->expires <= now ||
        record->uncleared_crash_count() < options_.crashes_to_suspect_part)
    {
        return unrestricted{};
    }
    const auto trial_at = is_explained(*record, content)
                              ? now
                              : next_trial(*record, options_.part_trial_delays);
    return check_trial(part, trial_at, options_.part_trial_time, now);
}

prompt_status request_quarantine::check_trial(
    const content_fingerprint& content, wall_time next_trial,
    duration trial_time, wall_time now) const
{
    const auto deferred = deferred_trials_.find(content);
    if (deferred != deferred_trials_.end())
    {
        next_trial = std::max(next_trial, deferred->second);
    }
    if (now < next_trial)
    {
        return quarantined{next_trial, content};
    }
    // A trial either clears the record or adds a crash to it.
    return trials_.contains(content)
               ? prompt_status(quarantined{now + trial_time, content})
               : prompt_status(suspect{});
}

wall_time request_quarantine::next_trial(
    const crash_record& record,
    const std::array<duration, max_trials>& delays) const
{
    const auto failed = record.failed_trial_count();
    return failed < delays.size() ? last_crash(record) + delays.at(failed)
                                  : record.expires;
}

bool request_quarantine::is_explained(
    const crash_record& part, const request_content& content) const
{
    return std::any_of(
        records_.begin(), records_.end(),
        [&](const auto& entry)
        {
            const auto& [other, record] = entry;
            if (record.uncleared_crash_count() <
                    options_.crashes_to_suspect_part ||
                std::find(content.parts.begin(), content.parts.end(), other) !=
                    content.parts.end())
            {
                return false;
            }
            const auto unexplained = std::count_if(
                part.crashes.begin(), part.crashes.end(),
                [&part, &explanation = record](const crash_id& crash)
                {
                    return !part.cleared.contains(crash) &&
                           (!explanation.crashes.contains(crash) ||
                            explanation.cleared.contains(crash));
                });
            return static_cast<std::size_t>(unexplained) <
                   options_.crashes_to_suspect;
        });
}

std::vector<content_fingerprint> request_quarantine::begin_trial(
    const request_content& content, wall_time now)
{
    std::vector<content_fingerprint> suspects;
    if (std::holds_alternative<suspect>(check_request(content.request, now)))
    {
        suspects.push_back(content.request);
    }
    for (const auto& part : content.parts)
    {
        if (std::holds_alternative<suspect>(check_part(part, content, now)))
        {
            suspects.push_back(part);
        }
    }
    trials_.insert(suspects.begin(), suspects.end());
    return suspects;
}

void request_quarantine::end_trial(
    const std::vector<content_fingerprint>& suspects)
{
    for (const auto& content : suspects)
    {
        trials_.erase(content);
    }
}

void request_quarantine::defer_trial(
    const content_fingerprint& content, wall_time now)
{
    const crash_record* const record = records_.find(content);
    const bool is_part =
        record != nullptr && record->kind == suspect_kind::prompt_part;
    deferred_trials_.insert_or_assign(
        content, now + (is_part ? options_.part_trial_time
                                : options_.request_trial_time));
}

bool request_quarantine::record_crash(
    const crash_suspect& suspect, const crash_id& crash, wall_time now,
    const std::optional<request_id>& request, run_purpose purpose)
{
    crash_record observed{
        .kind = suspect.kind,
        .crashes = {crash},
        .expires = now + options_.record_lifetime};
    if (request && suspect.kind == suspect_kind::request)
    {
        observed.add_run(make_crashed_run(crash, *request));
    }
    if (purpose == run_purpose::trial)
    {
        observed.failed_trials.insert(crash);
    }
    if (const crash_record* const known = records_.find(suspect.content))
    {
        // Failed trials decide when the next one is, and are few.
        const bool is_full =
            known->crashes.size() >= options_.max_crashes_per_record &&
            purpose == run_purpose::regular;
        crash_record merged = *known;
        (void)merged.merge(observed);
        const bool is_new = merged.crashes != known->crashes ||
                            merged.runs != known->runs ||
                            merged.failed_trials != known->failed_trials;
        if (!is_new || is_full)
        {
            return false;
        }
    }
    records_.merge(suspect.content, observed);
    mark_changed(suspect.content);
    return true;
}

bool request_quarantine::record_completion(const content_fingerprint& content)
{
    const crash_record* const known = records_.find(content);
    if (known == nullptr || known->uncleared_crash_count() == 0)
    {
        return false;
    }
    crash_record cleared = *known;
    cleared.clear_crashes();
    records_.merge(content, cleared);
    mark_changed(content);
    return true;
}

bool request_quarantine::merge(const crash_report& report, wall_time now)
{
    auto [request, record] = report;
    if (record.expires <= now)
    {
        return false;
    }
    // The clock of the sender may be ahead.
    record.expires = std::min(record.expires, now + options_.record_lifetime);
    if (!records_.merge(request, record))
    {
        return false;
    }
    if (written_here_.contains(request))
    {
        unwritten_.insert(request);
    }
    return true;
}

void request_quarantine::mark_changed(const content_fingerprint& request)
{
    unsent_.insert_or_assign(request, options_.sends_per_change);
    // Others may report the crashes that make it a repeated one.
    written_here_.insert(request);
    unwritten_.insert(request);
}

bool request_quarantine::is_repeated(const crash_record& record) const
{
    return record.crashes.size() >= options_.crashes_to_suspect ||
           record.runs.size() >= options_.runs_to_suspect;
}

std::vector<crash_report> request_quarantine::take_unsent()
{
    std::vector<crash_report> reports;
    for (auto& [request, sends_left] : unsent_)
    {
        if (const crash_record* const record = records_.find(request))
        {
            reports.emplace_back(request, *record);
        }
        --sends_left;
    }
    std::erase_if(unsent_, [](const auto& entry) { return entry.second <= 0; });
    return reports;
}

std::vector<crash_report> request_quarantine::next_repeated(
    std::size_t max_reports)
{
    std::vector<crash_report> reports;
    std::vector<crash_report> from_start;
    for (const auto& [request, record] : records_)
    {
        if (!is_repeated(record))
        {
            continue;
        }
        const bool is_next = !last_repeated_ || *last_repeated_ < request;
        auto& target = is_next ? reports : from_start;
        if (target.size() < max_reports)
        {
            target.emplace_back(request, record);
        }
    }
    const auto missing =
        std::min(max_reports - reports.size(), from_start.size());
    reports.insert(
        reports.end(), from_start.begin(),
        from_start.begin() + static_cast<std::ptrdiff_t>(missing));
    last_repeated_.reset();
    if (!reports.empty())
    {
        last_repeated_ = reports.back().first;
    }
    return reports;
}

std::vector<crash_report> request_quarantine::take_unwritten()
{
    std::vector<crash_report> reports;
    for (const auto& request : std::exchange(unwritten_, {}))
    {
        const crash_record* const record = records_.find(request);
        if (record != nullptr && is_repeated(*record))
        {
            reports.emplace_back(request, *record);
        }
    }
    return reports;
}

void request_quarantine::return_unwritten(
    const std::vector<crash_report>& reports)
{
    for (const auto& [request, record] : reports)
    {
        unwritten_.insert(request);
    }
}

void request_quarantine::rewrite_all()
{
    unwritten_.insert(written_here_.begin(), written_here_.end());
}

void request_quarantine::remove_expired(wall_time now)
{
    records_.remove_expired(now);
    std::erase_if(
        written_here_, [&](const content_fingerprint& request)
        { return records_.find(request) == nullptr; });
    std::erase_if(
        deferred_trials_,
        [&](const auto& entry) { return entry.second <= now; });
}

} // namespace wagtailseam::quarantine
