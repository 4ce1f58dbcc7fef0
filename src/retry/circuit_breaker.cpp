// State transitions of the circuit breaker.
#include "retry/circuit_breaker.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>

namespace wagtailseam::retry
{

circuit_breaker::circuit_breaker(const circuit_breaker_options& options)
    : options_(options)
{
    BOOST_ASSERT(options.failure_threshold >= 1);
    BOOST_ASSERT(options.max_concurrent_probes >= 1);
}

void circuit_breaker::transition_to(circuit_state next)
{
    state_ = next;
    ++generation_;
}

void circuit_breaker::open(random_source& random, mono_time now)
{
    constexpr std::uint32_t max_doublings = 10;
    const std::uint32_t doublings = std::min(open_count_, max_doublings);
    const duration backoff = options_.initial_open_time * (1LL << doublings);
    const duration max_wait = std::min(options_.max_open_time, backoff);
    // Randomizes half of the time, so that processes do not probe in step.
    const double half_wait = static_cast<double>(max_wait.count()) / 2;
    const duration wait(std::llround(half_wait * (1 + random.unit())));
    ++open_count_;
    transition_to(circuit_open{now + wait});
}

bool circuit_breaker::would_permit(mono_time now) const
{
    const auto probe_timed_out = [&](const circuit_half_open& half_open)
    { return now - half_open.last_probe_started >= options_.probe_timeout; };
    return std::visit(
        overloaded{
            [](const circuit_closed&) { return true; },
            [&](const circuit_open& open) { return now >= open.until; },
            [&](const circuit_half_open& half_open)
            {
                return half_open.active_probes <
                           options_.max_concurrent_probes ||
                       probe_timed_out(half_open);
            }},
        state_);
}

std::optional<circuit_permit> circuit_breaker::acquire(mono_time now)
{
    if (!would_permit(now))
    {
        return std::nullopt;
    }
    if (std::holds_alternative<circuit_open>(state_))
    {
        transition_to(circuit_half_open{});
    }
    if (auto* const half_open = std::get_if<circuit_half_open>(&state_))
    {
        if (half_open->active_probes >= options_.max_concurrent_probes)
        {
            // The active probes timed out. The new generation makes
            // record_outcome() ignore their late outcomes.
            transition_to(circuit_half_open{});
        }
        ++half_open->active_probes;
        half_open->last_probe_started = now;
    }
    return circuit_permit{generation_};
}

void circuit_breaker::on_success()
{
    if (auto* const closed = std::get_if<circuit_closed>(&state_))
    {
        closed->consecutive_failures = 0;
        return;
    }
    auto& half_open = std::get<circuit_half_open>(state_);
    ++half_open.consecutive_successes;
    if (half_open.consecutive_successes >= options_.successes_to_close)
    {
        open_count_ = 0;
        transition_to(circuit_closed{});
    }
}

void circuit_breaker::record_outcome(
    circuit_permit permit, attempt_outcome outcome, random_source& random,
    mono_time now)
{
    if (permit.generation != generation_)
    {
        return;
    }
    if (auto* const half_open = std::get_if<circuit_half_open>(&state_))
    {
        BOOST_ASSERT(half_open->active_probes > 0);
        --half_open->active_probes;
    }
    if (outcome == attempt_outcome::success)
    {
        on_success();
    }
    if (outcome != attempt_outcome::failure)
    {
        return;
    }
    auto* const closed = std::get_if<circuit_closed>(&state_);
    if (closed != nullptr &&
        ++closed->consecutive_failures < options_.failure_threshold)
    {
        return;
    }
    open(random, now);
}

void circuit_breaker::open_for(duration retry_after, mono_time now)
{
    const mono_time until = now + std::min(retry_after, options_.max_open_time);
    const auto* const open = std::get_if<circuit_open>(&state_);
    if (open == nullptr || open->until < until)
    {
        transition_to(circuit_open{until});
    }
}

duration circuit_breaker::retry_after(mono_time now) const
{
    const auto* const open = std::get_if<circuit_open>(&state_);
    if (open == nullptr)
    {
        return duration{};
    }
    return std::max(duration{}, open->until - now);
}

circuit_breaker_set::circuit_breaker_set(
    const circuit_breaker_options& options, std::size_t max_upstreams)
    : options_(options), max_upstreams_(max_upstreams)
{
}

circuit_breaker* circuit_breaker_set::find_or_create(const upstream_id& id)
{
    const auto found = breakers_.find(id);
    if (found != breakers_.end())
    {
        return &found->second;
    }
    if (breakers_.size() >= max_upstreams_)
    {
        return nullptr;
    }
    return &breakers_.emplace(id, circuit_breaker(options_)).first->second;
}

bool circuit_breaker_set::would_permit(
    const upstream_id& id, mono_time now) const
{
    const auto found = breakers_.find(id);
    return found == breakers_.end() || found->second.would_permit(now);
}

std::optional<circuit_permit> circuit_breaker_set::acquire(
    const upstream_id& id, mono_time now)
{
    circuit_breaker* const found = find_or_create(id);
    return found == nullptr ? circuit_permit{} : found->acquire(now);
}

bool circuit_breaker_set::record_outcome(
    const upstream_id& id, circuit_permit permit, attempt_outcome outcome,
    random_source& random, mono_time now)
{
    const auto found = breakers_.find(id);
    if (found == breakers_.end())
    {
        return false;
    }
    const bool was_open =
        std::holds_alternative<circuit_open>(found->second.state());
    found->second.record_outcome(permit, outcome, random, now);
    return !was_open &&
           std::holds_alternative<circuit_open>(found->second.state());
}

void circuit_breaker_set::open_for(
    const upstream_id& id, duration retry_after, mono_time now)
{
    if (circuit_breaker* const found = find_or_create(id))
    {
        found->open_for(retry_after, now);
    }
}

duration circuit_breaker_set::retry_after(
    const upstream_id& id, mono_time now) const
{
    const auto found = breakers_.find(id);
    return found == breakers_.end() ? duration{}
                                    : found->second.retry_after(now);
}

void circuit_breaker_set::remove(const upstream_id& id)
{
    breakers_.erase(id);
}

} // namespace wagtailseam::retry
