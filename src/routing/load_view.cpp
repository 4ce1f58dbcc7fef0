// What an entry believes of the upstreams' queues.
#include "routing/load_view.hpp"

#include "link/observed_rate.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>

namespace wagtailseam::routing
{

namespace
{

using link::duration_to_seconds;

constexpr std::size_t sent_limit = 256;

} // namespace

load_view::load_view(const options& settings) : settings_(settings)
{
    BOOST_ASSERT(settings.report_half_life > duration::zero());
    BOOST_ASSERT(settings.initial_rate.value() > 0.0);
}

void load_view::add(upstream_slot slot)
{
    if (loads_.size() <= slot)
    {
        loads_.resize(slot + 1U);
    }
    remove(slot);
    loads_[slot].present = true;
    loads_[slot].last.prefill_rate = settings_.initial_rate;
    ++present_;
}

void load_view::remove(upstream_slot slot)
{
    auto& load = loads_.at(slot);
    if (!load.present)
    {
        return;
    }
    outstanding_ -= load.outstanding;
    --present_;
    load = upstream_load{};
}

void load_view::report(
    upstream_slot slot, const load_report& reported, mono_time taken)
{
    auto& load = loads_.at(slot);
    if (!load.present || (load.reported && taken < load.taken))
    {
        return;
    }
    load.last = reported;
    load.taken = taken;
    load.reported = true;
    std::erase_if(load.since, [&](const sent& s) { return s.when < taken; });
}

void load_view::dispatched(
    upstream_slot slot, token_count computed, std::size_t priority,
    mono_time now)
{
    auto& load = loads_.at(slot);
    BOOST_ASSERT(load.present);
    const auto level = std::min(priority, priority_levels - 1);
    const auto tokens = static_cast<double>(computed.value());
    if (load.since.size() < sent_limit)
    {
        load.since.push_back({now, tokens, level});
    }
    else
    {
        load.since.back().tokens += tokens;
        load.since.back().when = now;
    }
    ++load.outstanding;
    ++outstanding_;
}

void load_view::settled(upstream_slot slot)
{
    auto& load = loads_.at(slot);
    if (load.outstanding > 0)
    {
        --load.outstanding;
        --outstanding_;
    }
}

double load_view::drained_tokens(
    const upstream_load& load, std::size_t priority, mono_time now) const
{
    double queued = 0.0;
    for (std::size_t level = 0; level <= priority; ++level)
    {
        queued += static_cast<double>(load.last.queued[level].value());
    }
    const auto age = duration_to_seconds(now - load.taken);
    return std::max(0.0, queued - age * load.last.prefill_rate.value());
}

double load_view::mean_tokens(std::size_t priority, mono_time now) const
{
    double sum = 0.0;
    for (const auto& load : loads_)
    {
        sum += load.reported ? drained_tokens(load, priority, now) : 0.0;
    }
    return present_ == 0 ? 0.0 : sum / static_cast<double>(present_);
}

duration load_view::queue_wait(
    upstream_slot slot, std::size_t priority, mono_time now) const
{
    const auto& load = loads_.at(slot);
    const auto level = std::min(priority, priority_levels - 1);
    double tokens = mean_tokens(level, now);
    if (load.reported)
    {
        const auto age = duration_to_seconds(now - load.taken) /
                         duration_to_seconds(settings_.report_half_life);
        const auto trust = std::exp2(-std::max(0.0, age));
        tokens =
            trust * drained_tokens(load, level, now) + (1.0 - trust) * tokens;
    }
    for (const auto& own : load.since)
    {
        tokens += own.priority <= level ? own.tokens : 0.0;
    }
    return link::seconds_to_duration(tokens / prefill_rate(slot).value());
}

token_rate load_view::prefill_rate(upstream_slot slot) const
{
    return loads_.at(slot).last.prefill_rate;
}

duration load_view::report_age(upstream_slot slot, mono_time now) const
{
    const auto& load = loads_.at(slot);
    return load.reported ? now - load.taken : duration::max();
}

bool load_view::has_room(upstream_slot slot) const
{
    const auto& load = loads_.at(slot);
    if (!load.present)
    {
        return false;
    }
    const auto mean = static_cast<double>(outstanding_) /
                      static_cast<double>(std::max<std::size_t>(1, present_));
    const auto bound = std::max(
        static_cast<double>(settings_.floor), settings_.mean_factor * mean);
    return static_cast<double>(load.outstanding) < bound;
}

std::uint32_t load_view::outstanding(upstream_slot slot) const
{
    return loads_.at(slot).outstanding;
}

} // namespace wagtailseam::routing
