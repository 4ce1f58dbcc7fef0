// Learned speeds of upstreams.
#include "serving/load_balancer.hpp"

namespace wagtailseam::serving
{

std::optional<double> load_balancer::time_ratio(
    const upstream_state& state, mono_time now) const
{
    // An agent knows the measurements of all gateways.
    if (state.load_updated)
    {
        return is_load_known(state, now) ? state.load.time_ratio : std::nullopt;
    }
    return state.own_speed.ratio(now);
}

upstream_speed::speed_scale load_balancer::make_speed_scale(
    const service_id& service, mono_time now) const
{
    std::vector<double> ratios;
    for (const auto& [id, state] : upstreams_)
    {
        const auto ratio = state.entry.service == service
                               ? time_ratio(state, now)
                               : std::nullopt;
        if (ratio && !is_draining_or_removed(state, now))
        {
            ratios.push_back(*ratio);
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
    auto& state = found->second;
    const upstream_speed::measured_times times{
        .responses = 1, .observed = observed, .expected = expected};
    state.own_speed.add(times, now);
    state.measured.responses += times.responses;
    state.measured.observed += times.observed;
    state.measured.expected += times.expected;
}

upstream_speed::measured_times load_balancer::measured_times(
    const upstream_id& id) const
{
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? upstream_speed::measured_times{}
                                     : found->second.measured;
}

std::map<upstream_id, double> load_balancer::uneven_upstreams(
    mono_time now) const
{
    std::map<service_id, upstream_speed::speed_scale> scales;
    std::map<upstream_id, double> uneven;
    for (const auto& [id, state] : upstreams_)
    {
        const auto ratio = time_ratio(state, now);
        if (!ratio)
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
        const double slowness = scale->second.slowness(ratio);
        if (slowness != 1)
        {
            uneven.emplace(id, slowness);
        }
    }
    return uneven;
}

} // namespace wagtailseam::serving
