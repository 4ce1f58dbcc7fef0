// Pauses and leaving by process, beside the limits.
#include "upstream_statement/statement_record.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace wagtailseam::upstream_statement
{

using rate_limit::limit_change;

statement_record::statement_record(const statement_record_options& options)
    : options_(options)
{
    BOOST_ASSERT(options.max_upstreams >= 1);
}

statement_record::state* statement_record::touch(
    const upstream_process& process, mono_time now)
{
    auto found = states_.find(process.id);
    if (found == states_.end())
    {
        if (states_.size() >= options_.max_upstreams)
        {
            states_.erase(std::min_element(
                states_.begin(), states_.end(),
                [](const auto& a, const auto& b)
                { return a.second.recorded_at < b.second.recorded_at; }));
        }
        found =
            states_
                .emplace(
                    process.id,
                    state{.started_ms = process.started_ms, .recorded_at = now})
                .first;
    }
    state& known = found->second;
    if (process.started_ms < known.started_ms)
    {
        return nullptr;
    }
    if (process.started_ms > known.started_ms)
    {
        known = state{.started_ms = process.started_ms, .recorded_at = now};
    }
    return &known;
}

const statement_record::state* statement_record::find(
    const upstream_process& process) const
{
    const auto found = states_.find(process.id);
    const bool same_process = found != states_.end() &&
                              found->second.started_ms == process.started_ms;
    return same_process ? &found->second : nullptr;
}

statement_change statement_record::record_response(
    const upstream_process& process, const response_statement& statement,
    mono_time sent_at, mono_time now)
{
    statement_change change;
    const bool names_limit =
        !std::holds_alternative<rate_limit::no_limit>(statement.limit);
    if (names_limit || !statement.refusal)
    {
        change.limit =
            limits_.record_response(process, statement.limit, sent_at, now);
    }
    if (statement.leaving)
    {
        change.leaving_began = record_leaving(process, now);
    }
    if (statement.pause > duration::zero())
    {
        state* const known = touch(process, now);
        const auto end = now + statement.pause;
        if (known != nullptr && end > known->paused_until)
        {
            known->paused_until = end;
            change.pause = statement.pause;
        }
    }
    return change;
}

limit_change statement_record::merge(
    const rate_limit::limit_report& report, mono_time now)
{
    return limits_.merge(report, now);
}

bool statement_record::record_leaving(
    const upstream_process& process, mono_time now)
{
    state* const known = touch(process, now);
    return known != nullptr && !std::exchange(known->leaving, true);
}

bool statement_record::is_leaving(const upstream_process& process) const
{
    const state* const known = find(process);
    return known != nullptr && known->leaving;
}

std::set<upstream_process> statement_record::restricted(
    mono_time now, wall_time wall_now) const
{
    std::set<upstream_process> processes;
    for (const auto& [id, known] : states_)
    {
        if (known.leaving || now < known.paused_until)
        {
            processes.insert({id, known.started_ms});
        }
    }
    for (const auto& id : limits_.exhausted(wall_now))
    {
        if (const auto limit = limits_.find(id, now))
        {
            processes.insert(limit->process);
        }
    }
    for (const auto& id : cold_limits_.exhausted(wall_now))
    {
        const auto found = cold_.find(id);
        if (found != cold_.end() && now < found->second.until)
        {
            processes.insert({id, found->second.started_ms});
        }
    }
    return processes;
}

bool statement_record::is_cold(
    const upstream_process& process, mono_time now) const
{
    const auto found = cold_.find(process.id);
    return found != cold_.end() &&
           found->second.started_ms == process.started_ms &&
           now < found->second.until;
}

bool statement_record::record_cold(
    const upstream_process& process, rate_limit::request_rate rate,
    duration time_left, mono_time now)
{
    std::erase_if(
        cold_,
        [&](const auto& entry)
        {
            const auto& [id, known] = entry;
            const bool is_over =
                known.until <= now ||
                (id == process.id && known.started_ms < process.started_ms);
            if (is_over)
            {
                cold_limits_.erase({id, known.started_ms});
            }
            return is_over;
        });
    const auto [known, is_new] = cold_.try_emplace(
        process.id, cold_state{.started_ms = process.started_ms});
    if (known->second.started_ms > process.started_ms)
    {
        return false;
    }
    known->second.until = std::max(known->second.until, now + time_left);
    (void)cold_limits_.record_response(process, rate, now, now);
    return is_new;
}

void statement_record::record_warm(const upstream_process& process)
{
    const auto found = cold_.find(process.id);
    if (found != cold_.end() && found->second.started_ms <= process.started_ms)
    {
        cold_limits_.erase(process);
        cold_.erase(found);
    }
}

std::size_t statement_record::cold_count(mono_time now) const noexcept
{
    return static_cast<std::size_t>(std::count_if(
        cold_.begin(), cold_.end(),
        [&](const auto& entry) { return now < entry.second.until; }));
}

restriction_end statement_record::first_end(
    const std::set<upstream_process>& processes, mono_time now,
    wall_time wall_now) const
{
    restriction_end first{
        .reason = restriction::leaving, .remaining = duration::max()};
    std::set<upstream_id> only_limited;
    const auto set_first = [&](duration remaining)
    {
        if (remaining < first.remaining)
        {
            first = {restriction::limited, remaining};
        }
    };
    for (const auto& process : processes)
    {
        const state* const known = find(process);
        if (known != nullptr && known->leaving)
        {
            continue;
        }
        const bool is_paused = known != nullptr && now < known->paused_until;
        if (!is_paused && is_cold(process, now))
        {
            set_first(std::min(
                cold_limits_.next_share({process.id}, wall_now),
                cold_.at(process.id).until - now));
            continue;
        }
        if (!is_paused)
        {
            only_limited.insert(process.id);
            continue;
        }
        if (known->paused_until - now < first.remaining)
        {
            first = {restriction::paused, known->paused_until - now};
        }
    }
    if (!only_limited.empty())
    {
        set_first(limits_.next_share(only_limited, wall_now));
    }
    if (first.reason == restriction::leaving)
    {
        first.remaining = options_.successor_delay;
    }
    return first;
}

void statement_record::erase(const upstream_process& process)
{
    limits_.erase(process);
    record_warm(process);
    const auto found = states_.find(process.id);
    if (found != states_.end() &&
        found->second.started_ms <= process.started_ms &&
        !found->second.leaving)
    {
        states_.erase(found);
    }
}

std::size_t statement_record::leaving_count() const noexcept
{
    return static_cast<std::size_t>(std::count_if(
        states_.begin(), states_.end(),
        [](const auto& entry) { return entry.second.leaving; }));
}

std::size_t statement_record::paused_count(mono_time now) const noexcept
{
    return static_cast<std::size_t>(std::count_if(
        states_.begin(), states_.end(),
        [&](const auto& entry) { return now < entry.second.paused_until; }));
}

} // namespace wagtailseam::upstream_statement
