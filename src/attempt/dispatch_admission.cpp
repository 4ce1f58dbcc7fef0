// Handlers for dispatches and tombstones, and the removal of old records.
#include "attempt/dispatch_admission.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace wagtailseam::attempt
{

dispatch_admission::dispatch_admission(
    const dispatch_admission_options& options)
    : options_(options)
{
}

admission_command dispatch_admission::handle(
    const admission_event& event, sidecar_time now)
{
    remove_old_records(now);
    return std::visit(
        [this, now](const auto& known) { return on(known, now); }, event);
}

bool dispatch_admission::is_expired(
    sidecar_time valid_until, sidecar_time now) const noexcept
{
    return now > valid_until || valid_until <= tombstone_floor_;
}

result_code dispatch_admission::refusal_code(
    const dispatch_arrived& event, sidecar_time now) const
{
    if (is_expired(event.valid_until, now))
    {
        return result_code::dispatch_expired;
    }
    if (event.valid_until > now + options_.dispatch_validity)
    {
        // No clock reading published so far permits this valid_until.
        return result_code::malformed_message;
    }
    if (tombstones_.contains(event.attempt))
    {
        return result_code::tombstoned;
    }
    if (draining_)
    {
        return result_code::upstream_draining;
    }
    if (event.version != options_.version)
    {
        return result_code::weight_version_mismatch;
    }
    if (event.config < options_.config)
    {
        return result_code::stale_configuration;
    }
    if (begun_.size() >= options_.max_begun_records)
    {
        return result_code::upstream_busy;
    }
    return result_code::ok;
}

admission_command dispatch_admission::on(
    const dispatch_arrived& event, sidecar_time now)
{
    if (event.sidecar_incarnation != options_.sidecar_incarnation)
    {
        return refuse_dispatch{event.attempt, result_code::stale_incarnation};
    }
    if (begun_.contains(event.attempt))
    {
        return replay_response{event.attempt};
    }
    const result_code code = refusal_code(event, now);
    if (code != result_code::ok)
    {
        BOOST_ASSERT(is_not_run(code));
        return refuse_dispatch{event.attempt, code};
    }
    begun_.emplace(
        event.attempt, begun_record{.valid_until = event.valid_until});
    begun_by_age_.emplace(event.valid_until, event.attempt);
    options_.config = std::max(options_.config, event.config);
    ++running_;
    return begin_run{event.attempt};
}

admission_command dispatch_admission::on(
    const tombstone_arrived& event, sidecar_time now)
{
    if (event.sidecar_incarnation != options_.sidecar_incarnation)
    {
        // Another incarnation of the sidecar may have begun it.
        return answer_tombstone{
            event.attempt, cannot_tell{result_code::upstream_lost}};
    }
    const auto begun = begun_.find(event.attempt);
    if (begun != begun_.end())
    {
        return answer_tombstone{event.attempt, begun->second.state};
    }
    if (event.valid_until <= begun_floor_)
    {
        return answer_tombstone{event.attempt, cannot_tell{}};
    }
    if (!is_expired(event.valid_until, now))
    {
        store_tombstone(event);
    }
    return answer_tombstone{event.attempt, never_begun{}};
}

void dispatch_admission::store_tombstone(const tombstone_arrived& event)
{
    if (!tombstones_.emplace(event.attempt, event.valid_until).second)
    {
        return;
    }
    tombstones_by_age_.emplace(event.valid_until, event.attempt);
    if (tombstones_.size() > options_.max_tombstones)
    {
        const auto oldest = tombstones_by_age_.begin();
        tombstone_floor_ = std::max(tombstone_floor_, oldest->first);
        tombstones_.erase(oldest->second);
        tombstones_by_age_.erase(oldest);
    }
}

admission_command dispatch_admission::on(
    const run_finished& event, sidecar_time)
{
    const auto found = begun_.find(event.attempt);
    if (found == begun_.end() ||
        !std::holds_alternative<still_running>(found->second.state))
    {
        return no_action{};
    }
    end_run(found->second, has_finished{event.outcome});
    outcome_bytes_ += event.outcome.body.size();
    outcomes_by_age_.emplace(found->second.valid_until, event.attempt);
    drop_excess_outcomes();
    return no_action{};
}

admission_command dispatch_admission::on(const run_lost& event, sidecar_time)
{
    const auto found = begun_.find(event.attempt);
    if (found != begun_.end() &&
        std::holds_alternative<still_running>(found->second.state))
    {
        end_run(found->second, cannot_tell{result_code::upstream_lost});
    }
    return no_action{};
}

void dispatch_admission::end_run(begun_record& record, tombstone_answer state)
{
    BOOST_ASSERT(running_ > 0);
    --running_;
    record.state = std::move(state);
}

admission_command dispatch_admission::on(const drain_started&, sidecar_time)
{
    draining_ = true;
    return no_action{};
}

admission_command dispatch_admission::on(
    const weight_version_changed& event, sidecar_time)
{
    options_.version = event.version;
    return no_action{};
}

admission_command dispatch_admission::on(
    const config_learned& event, sidecar_time)
{
    options_.config = std::max(options_.config, event.config);
    return no_action{};
}

void dispatch_admission::drop_excess_outcomes()
{
    while (outcome_bytes_ > options_.max_outcome_bytes)
    {
        const auto oldest = outcomes_by_age_.begin();
        const auto found = begun_.find(oldest->second);
        BOOST_ASSERT(found != begun_.end());
        auto& ended = std::get<has_finished>(found->second.state);
        outcome_bytes_ -= ended.outcome->body.size();
        ended.outcome.reset();
        outcomes_by_age_.erase(oldest);
    }
}

void dispatch_admission::remove_old_records(sidecar_time now)
{
    remove_expired_tombstones(now);
    remove_old_begun_records(now);
}

void dispatch_admission::remove_expired_tombstones(sidecar_time now)
{
    while (!tombstones_by_age_.empty() &&
           tombstones_by_age_.begin()->first < now)
    {
        tombstones_.erase(tombstones_by_age_.begin()->second);
        tombstones_by_age_.erase(tombstones_by_age_.begin());
    }
}

void dispatch_admission::remove_old_begun_records(sidecar_time now)
{
    auto next = begun_by_age_.begin();
    while (next != begun_by_age_.end() &&
           next->first + options_.begun_record_retention < now)
    {
        const auto found = begun_.find(next->second);
        BOOST_ASSERT(found != begun_.end());
        if (std::holds_alternative<still_running>(found->second.state))
        {
            ++next;
            continue;
        }
        if (outcomes_by_age_.erase(*next) > 0)
        {
            const auto& ended = std::get<has_finished>(found->second.state);
            outcome_bytes_ -= ended.outcome->body.size();
        }
        begun_floor_ = std::max(begun_floor_, next->first);
        begun_.erase(found);
        next = begun_by_age_.erase(next);
    }
}

} // namespace wagtailseam::attempt
