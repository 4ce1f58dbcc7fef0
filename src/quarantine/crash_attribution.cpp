// Matching of broken attempts with ended processes.
#include "quarantine/crash_attribution.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace wagtailseam::quarantine
{

crash_id make_crash_id(const upstream_process& process)
{
    return crash_id(
        process.id.value() + '/' + std::to_string(process.started_ms));
}

crash_attribution::crash_attribution(const crash_attribution_options& options)
    : options_(options)
{
    BOOST_ASSERT(options.max_processes >= 1);
}

process_fate crash_attribution::record_broken_attempt(
    const upstream_process& process, const broken_attempt& attempt)
{
    auto& state = touch(process, attempt.broken_at);
    if (state.is_leaving)
    {
        return process_fate::leaving;
    }
    if (state.ended_at)
    {
        return process_fate::crashed;
    }
    if (state.attempts.size() < options_.max_attempts_per_process)
    {
        state.attempts.push_back(attempt);
    }
    return process_fate::unknown;
}

process_end crash_attribution::record_process_end(
    const upstream_process& process, mono_time now)
{
    auto& state = touch(process, now);
    process_end end{.is_news = !state.ended_at, .attempts = {}};
    state.ended_at = now;
    for (auto& attempt : std::exchange(state.attempts, {}))
    {
        if (now - attempt.broken_at <= options_.match_window)
        {
            end.attempts.push_back(std::move(attempt));
        }
    }
    return end;
}

void crash_attribution::record_process_leaving(
    const upstream_process& process, mono_time now)
{
    auto& state = touch(process, now);
    state.is_leaving = true;
    state.attempts.clear();
}

void crash_attribution::record_process_listed(const upstream_process& process)
{
    const auto found = processes_.find(process);
    if (found != processes_.end())
    {
        found->second.ended_at.reset();
    }
}

crash_attribution::process_state& crash_attribution::touch(
    const upstream_process& process, mono_time now)
{
    if (!processes_.contains(process))
    {
        remove_outdated(now);
    }
    auto& state = processes_[process];
    state.updated_at = now;
    return state;
}

void crash_attribution::remove_outdated(mono_time now)
{
    std::erase_if(
        processes_, [&](const auto& entry)
        { return now - entry.second.updated_at > options_.match_window; });
    if (processes_.size() >= options_.max_processes)
    {
        processes_.erase(std::min_element(
            processes_.begin(), processes_.end(),
            [](const auto& a, const auto& b)
            { return a.second.updated_at < b.second.updated_at; }));
    }
}

} // namespace wagtailseam::quarantine
