// Learned speeds of upstreams.
#include "serving/load_balancer.hpp"

#include <algorithm>

namespace wagtailseam::serving
{

std::optional<upstream_speed::measured_speed> load_balancer::known_speed(
    const upstream_state& state, mono_time now) const
{
    // An agent knows the measurements of all gateways.
    if (!state.load_updated)
    {
        return state.own_speed.speed(now);
    }
    auto speed = is_load_known(state, now) ? state.load.speed : std::nullopt;
    if (speed)
    {
        speed->age += now - *state.load_updated;
    }
    return speed;
}

upstream_speed::speed_scale load_balancer::make_speed_scale(
    const service_id& service, mono_time now) const
{
    std::vector<double> ratios;
    for (const auto& [id, state] : upstreams_)
    {
        const auto speed = state.entry.service == service
                               ? known_speed(state, now)
                               : std::nullopt;
        if (speed && !is_draining_or_removed(state, now))
        {
            ratios.push_back(speed->ratio);
        }
    }
    return upstream_speed::speed_scale(std::move(ratios));
}

void load_balancer::record_first_byte(
    const upstream_id& id, duration observed, duration expected, mono_time now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
    {
        return;
    }
    const auto times = upstream_speed::make_measurement(observed, expected);
    found->second.own_speed.add(times, now);
    if (measured_.size() < options_.max_measured || measured_.contains(id))
    {
        measured_[id] += times;
    }
}

duration load_balancer::excess_time(
    const upstream_state& state, double slowness, mono_time now) const
{
    const auto max_us = static_cast<double>(options_.max_service_time.count());
    const auto mean = state.own_speed.mean_time(now);
    const double usual_us =
        mean ? std::min(max_us, static_cast<double>(mean->count()) / slowness)
             : max_us;
    return duration(static_cast<duration::rep>(usual_us * (slowness - 1)));
}

upstream_speed::measured_times load_balancer::measured_times(
    const upstream_id& id) const
{
    const auto found = measured_.find(id);
    return found == measured_.end() ? upstream_speed::measured_times{}
                                    : found->second;
}

std::map<upstream_id, double> load_balancer::uneven_upstreams(
    mono_time now) const
{
    std::map<service_id, upstream_speed::speed_scale> scales;
    std::map<upstream_id, double> uneven;
    for (const auto& [id, state] : upstreams_)
    {
        const auto speed = known_speed(state, now);
        if (!speed)
        {
            continue;
        }
        const auto& service = state.entry.service;
        auto scale = scales.find(service);
        if (scale == scales.end())
        {
            scale =
                scales.emplace(service, make_speed_scale(service, now)).first;
        }
        // Ignores the age. Otherwise the log would alternate between slow and
        // recovered for an upstream that is avoided.
        const double slowness = scale->second.slowness(
            upstream_speed::measured_speed{.ratio = speed->ratio});
        if (slowness != 1)
        {
            uneven.emplace(id, slowness);
        }
    }
    return uneven;
}

} // namespace wagtailseam::serving
