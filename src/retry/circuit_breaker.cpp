// Transitions of the circuit breaker.
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
    BOOST_ASSERT(options.max_probes >= 1);
}

void circuit_breaker::enter(circuit_state next)
{
    state_ = next;
    ++generation_;
}

void circuit_breaker::open(random_source& random, mono_time now)
{
    constexpr std::uint32_t max_doublings = 10;
    const std::uint32_t doublings = std::min(openings_, max_doublings);
    const duration grown = options_.open_base * (1LL << doublings);
    const duration bound = std::min(options_.open_cap, grown);
    // Half fixed, half random: entries do not probe at the same moment.
    const double half = static_cast<double>(bound.count()) / 2;
    const duration wait(std::llround(half * (1 + random.unit())));
    ++openings_;
    enter(circuit_open{now + wait});
}

bool circuit_breaker::would_permit(mono_time now) const
{
    const auto probe_lapsed = [&](const circuit_half_open& half)
    { return now - half.last_probe >= options_.probe_timeout; };
    return std::visit(
        overloaded{
            [](const circuit_closed&) { return true; },
            [&](const circuit_open& open) { return now >= open.until; },
            [&](const circuit_half_open& half) {
                return half.probes_in_flight < options_.max_probes ||
                       probe_lapsed(half);
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
        enter(circuit_half_open{});
    }
    if (auto* const half = std::get_if<circuit_half_open>(&state_))
    {
        if (half->probes_in_flight >= options_.max_probes)
        {
            // The reports of these probes are overdue; late ones are ignored.
            enter(circuit_half_open{});
        }
        ++half->probes_in_flight;
        half->last_probe = now;
    }
    return circuit_permit{generation_};
}

void circuit_breaker::on_success()
{
    if (auto* const closed = std::get_if<circuit_closed>(&state_))
    {
        closed->failures_in_row = 0;
        return;
    }
    auto& half = std::get<circuit_half_open>(state_);
    ++half.successes_in_row;
    if (half.successes_in_row >= options_.successes_to_close)
    {
        openings_ = 0;
        enter(circuit_closed{});
    }
}

void circuit_breaker::report(
    circuit_permit permit, attempt_outcome outcome, random_source& random,
    mono_time now)
{
    if (permit.generation != generation_)
    {
        return;
    }
    if (auto* const half = std::get_if<circuit_half_open>(&state_))
    {
        BOOST_ASSERT(half->probes_in_flight > 0);
        --half->probes_in_flight;
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
        ++closed->failures_in_row < options_.failure_threshold)
    {
        return;
    }
    open(random, now);
}

void circuit_breaker::open_for(duration retry_after, mono_time now)
{
    const mono_time until = now + std::min(retry_after, options_.open_cap);
    const auto* const open = std::get_if<circuit_open>(&state_);
    if (open == nullptr || open->until < until)
    {
        enter(circuit_open{until});
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

circuit_breaker* circuit_breaker_set::find_or_make(const upstream_id& id)
{
    const auto found = circuits_.find(id);
    if (found != circuits_.end())
    {
        return &found->second;
    }
    if (circuits_.size() >= max_upstreams_)
    {
        return nullptr;
    }
    return &circuits_.emplace(id, circuit_breaker(options_)).first->second;
}

bool circuit_breaker_set::would_permit(
    const upstream_id& id, mono_time now) const
{
    const auto found = circuits_.find(id);
    return found == circuits_.end() || found->second.would_permit(now);
}

std::optional<circuit_permit> circuit_breaker_set::acquire(
    const upstream_id& id, mono_time now)
{
    circuit_breaker* const found = find_or_make(id);
    return found == nullptr ? circuit_permit{} : found->acquire(now);
}

bool circuit_breaker_set::report(
    const upstream_id& id, circuit_permit permit, attempt_outcome outcome,
    random_source& random, mono_time now)
{
    const auto found = circuits_.find(id);
    if (found == circuits_.end())
    {
        return false;
    }
    const bool was_open =
        std::holds_alternative<circuit_open>(found->second.state());
    found->second.report(permit, outcome, random, now);
    return !was_open &&
           std::holds_alternative<circuit_open>(found->second.state());
}

void circuit_breaker_set::open_for(
    const upstream_id& id, duration retry_after, mono_time now)
{
    if (circuit_breaker* const found = find_or_make(id))
    {
        found->open_for(retry_after, now);
    }
}

duration circuit_breaker_set::retry_after(
    const upstream_id& id, mono_time now) const
{
    const auto found = circuits_.find(id);
    return found == circuits_.end() ? duration{}
                                    : found->second.retry_after(now);
}

void circuit_breaker_set::forget(const upstream_id& id)
{
    circuits_.erase(id);
}

} // namespace wagtailseam::retry
