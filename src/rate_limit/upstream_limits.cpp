// Knowledge of limits and the assignment of requests to gateways.
#include "rate_limit/upstream_limits.hpp"

#include "routing/rendezvous.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>
#include <string>

namespace wagtailseam::rate_limit
{
namespace
{

constexpr duration slot_time = std::chrono::seconds(1);
/// Higher limits are no restriction.
constexpr request_rate max_rate{1e9};
/// The multiples of this irrational number are evenly distributed modulo 1, so
/// that the slots with one request more are.
constexpr double golden_ratio = 0.61803398874989485;

/// Returns a hash in [0, 1).
double unit_hash(const upstream_id& id)
{
    constexpr int mantissa_bits = 53;
    return static_cast<double>(
               routing::stable_hash(id.value()) >> (64 - mantissa_bits)) /
           static_cast<double>(1ULL << mantissa_bits);
}

} // namespace

upstream_limits::upstream_limits(const upstream_limits_options& options)
    : options_(options)
{
    BOOST_ASSERT(options.min_rate.value() > 0);
    BOOST_ASSERT(options.max_upstreams >= 1);
}

upstream_limits::state* upstream_limits::touch(const upstream_process& process)
{
    const auto found = limits_.find(process.id);
    if (found == limits_.end())
    {
        if (limits_.size() >= options_.max_upstreams)
        {
            return nullptr;
        }
        state& added = limits_[process.id];
        added.started_ms = process.started_ms;
        return &added;
    }
    state& known = found->second;
    if (process.started_ms < known.started_ms)
    {
        return nullptr;
    }
    if (process.started_ms > known.started_ms)
    {
        known = state{};
        known.started_ms = process.started_ms;
    }
    return &known;
}

limit_change upstream_limits::set_rate(
    state& known, const std::optional<request_rate>& rate) const
{
    const auto previous = std::exchange(known.rate, rate);
    if (previous.has_value() != rate.has_value())
    {
        return limit_change::notable;
    }
    const bool is_notable =
        rate && std::abs(rate->value() - previous->value()) >
                    options_.notable_change * previous->value();
    return is_notable ? limit_change::notable : limit_change::none;
}

limit_change upstream_limits::record_response(
    const upstream_process& process, const limit_statement& statement,
    mono_time sent_at, mono_time now)
{
    if (std::holds_alternative<no_limit>(statement) &&
        !limits_.contains(process.id))
    {
        return limit_change::none;
    }
    state* const known = touch(process);
    if (known == nullptr)
    {
        return limit_change::none;
    }
    if (std::holds_alternative<unreadable_limit>(statement))
    {
        known->stated_at = now;
        return std::exchange(known->unreadable, true)
                   ? limit_change::none
                   : limit_change::unreadable;
    }
    if (const auto* const rate = std::get_if<request_rate>(&statement))
    {
        known->unreadable = false;
        known->stated_at = now;
        return set_rate(*known, *rate);
    }
    if (sent_at < known->stated_at)
    {
        return limit_change::none;
    }
    known->unreadable = false;
    known->stated_at = now;
    return set_rate(*known, std::nullopt);
}

limit_change upstream_limits::merge(const limit_report& report, mono_time now)
{
    state* const known = touch(report.process);
    const auto stated_at = now - std::max(report.age, duration::zero());
    if (known == nullptr || stated_at <= known->stated_at)
    {
        return limit_change::none;
    }
    known->stated_at = stated_at;
    return set_rate(*known, report.rate);
}

std::optional<limit_report> upstream_limits::find(
    const upstream_id& id, mono_time now) const
{
    const auto found = limits_.find(id);
    if (found == limits_.end())
    {
        return std::nullopt;
    }
    const state& known = found->second;
    return limit_report{
        .process = {id, known.started_ms},
        .rate = known.rate,
        .age = now - known.stated_at};
}

void upstream_limits::erase(const upstream_process& process)
{
    const auto found = limits_.find(process.id);
    if (found != limits_.end() &&
        found->second.started_ms <= process.started_ms)
    {
        limits_.erase(found);
    }
}

upstream_limits::slot_number upstream_limits::slot_at(wall_time now) noexcept
{
    return now.time_since_epoch() / slot_time;
}

std::uint64_t upstream_limits::share(
    const upstream_id& id, request_rate rate, slot_number slot) const
{
    if (!position_)
    {
        return 0;
    }
    const double allowed =
        std::clamp(rate.value(), options_.min_rate.value(), max_rate.value());
    const double whole = std::floor(allowed);
    const double sequence =
        unit_hash(id) + static_cast<double>(slot) * golden_ratio;
    const bool one_more = sequence - std::floor(sequence) < allowed - whole;
    const auto requests =
        static_cast<std::uint64_t>(whole) + (one_more ? 1U : 0U);
    const std::uint64_t first =
        routing::stable_hash(id.value() + '/' + std::to_string(slot)) %
        position_->size;
    const std::uint64_t rank =
        (position_->index + position_->size - first) % position_->size;
    return requests / position_->size +
           (rank < requests % position_->size ? 1U : 0U);
}

std::set<upstream_id> upstream_limits::exhausted(wall_time now) const
{
    std::set<upstream_id> ids;
    const auto slot = slot_at(now);
    for (const auto& [id, known] : limits_)
    {
        const auto used = known.used_slot == slot ? known.used : 0;
        if (known.rate && used >= share(id, *known.rate, slot))
        {
            ids.insert(id);
        }
    }
    return ids;
}

void upstream_limits::record_request(const upstream_id& id, wall_time now)
{
    const auto found = limits_.find(id);
    if (found == limits_.end())
    {
        return;
    }
    state& known = found->second;
    const auto slot = slot_at(now);
    if (std::exchange(known.used_slot, slot) != slot)
    {
        known.used = 0;
    }
    ++known.used;
}

duration upstream_limits::next_share(
    const std::set<upstream_id>& upstreams, wall_time now) const
{
    const auto current = slot_at(now);
    for (auto slot = current + 1; slot <= current + max_lookahead / slot_time;
         ++slot)
    {
        const bool may_send = std::any_of(
            upstreams.begin(), upstreams.end(),
            [&](const upstream_id& id)
            {
                const auto found = limits_.find(id);
                return found != limits_.end() && found->second.rate &&
                       share(id, *found->second.rate, slot) > 0;
            });
        if (may_send)
        {
            return wall_time(slot_time * slot) - now;
        }
    }
    return max_lookahead;
}

} // namespace wagtailseam::rate_limit
