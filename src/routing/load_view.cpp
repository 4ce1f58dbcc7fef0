// Implements the estimate of the upstreams' queues.
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

constexpr std::size_t max_sent_prompts = 256;

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
    loads_[slot].report.prefill_rate = settings_.initial_rate;
    ++present_count_;
}

void load_view::remove(upstream_slot slot)
{
    auto& load = loads_.at(slot);
    if (!load.present)
    {
        return;
    }
    total_outstanding_ -= load.outstanding;
    --present_count_;
    load = upstream_load{};
}

void load_view::store_report(
    upstream_slot slot, const load_report& report, mono_time measured_at)
{
    auto& load = loads_.at(slot);
    if (!load.present || (load.has_report && measured_at < load.measured_at))
    {
        return;
    }
    load.report = report;
    load.measured_at = measured_at;
    load.has_report = true;
    std::erase_if(
        load.sent_since, [&](const sent_prompt& prompt)
        { return prompt.sent_at < measured_at; });
}

void load_view::record_dispatch(
    upstream_slot slot, token_count computed, std::size_t priority,
    mono_time now)
{
    auto& load = loads_.at(slot);
    BOOST_ASSERT(load.present);
    const auto level = std::min(priority, priority_levels - 1);
    const auto tokens = static_cast<double>(computed.value());
    if (load.sent_since.size() < max_sent_prompts)
    {
        load.sent_since.push_back({now, tokens, level});
    }
    else
    {
        load.sent_since.back().tokens += tokens;
        load.sent_since.back().sent_at = now;
    }
    ++load.outstanding;
    ++total_outstanding_;
}

void load_view::record_prefill_end(upstream_slot slot)
{
    auto& load = loads_.at(slot);
    if (load.outstanding > 0)
    {
        --load.outstanding;
        --total_outstanding_;
    }
}

double load_view::remaining_tokens(
    const upstream_load& load, std::size_t priority, mono_time now) const
{
    double queued = 0.0;
    for (std::size_t level = 0; level <= priority; ++level)
    {
        queued += static_cast<double>(load.report.queued[level].value());
    }
    const auto age = duration_to_seconds(now - load.measured_at);
    return std::max(0.0, queued - age * load.report.prefill_rate.value());
}

double load_view::mean_remaining_tokens(
    std::size_t priority, mono_time now) const
{
    double sum = 0.0;
    for (const auto& load : loads_)
    {
        sum += load.has_report ? remaining_tokens(load, priority, now) : 0.0;
    }
    return present_count_ == 0 ? 0.0
                               : sum / static_cast<double>(present_count_);
}

duration load_view::queue_wait(
    upstream_slot slot, std::size_t priority, mono_time now) const
{
    const auto& load = loads_.at(slot);
    const auto level = std::min(priority, priority_levels - 1);
    double tokens = mean_remaining_tokens(level, now);
    if (load.has_report)
    {
        const auto age = duration_to_seconds(now - load.measured_at) /
                         duration_to_seconds(settings_.report_half_life);
        const auto report_weight = std::exp2(-std::max(0.0, age));
        tokens = report_weight * remaining_tokens(load, level, now) +
                 (1.0 - report_weight) * tokens;
    }
    for (const auto& prompt : load.sent_since)
    {
        tokens += prompt.priority <= level ? prompt.tokens : 0.0;
    }
    return link::seconds_to_duration(tokens / prefill_rate(slot).value());
}

token_rate load_view::prefill_rate(upstream_slot slot) const
{
    return loads_.at(slot).report.prefill_rate;
}

duration load_view::report_age(upstream_slot slot, mono_time now) const
{
    const auto& load = loads_.at(slot);
    return load.has_report ? now - load.measured_at : duration::max();
}

bool load_view::below_outstanding_limit(upstream_slot slot) const
{
    const auto& load = loads_.at(slot);
    if (!load.present)
    {
        return false;
    }
    const auto mean =
        static_cast<double>(total_outstanding_) /
        static_cast<double>(std::max<std::size_t>(1, present_count_));
    const auto limit = std::max(
        static_cast<double>(settings_.min_outstanding_limit),
        settings_.mean_factor * mean);
    return static_cast<double>(load.outstanding) < limit;
}

std::uint32_t load_view::outstanding(upstream_slot slot) const
{
    return loads_.at(slot).outstanding;
}

} // namespace wagtailseam::routing
