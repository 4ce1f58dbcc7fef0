// Assessment of all upstreams of a service, for explanations.
#include "serving/load_balancer.hpp"

namespace wagtailseam::serving
{

std::string_view name(exclusion reason) noexcept
{
    switch (reason)
    {
    case exclusion::none:
        return "none";
    case exclusion::leaving:
        return "leaving";
    case exclusion::loading_weights:
        return "loading_weights";
    case exclusion::paused:
        return "paused";
    case exclusion::already_tried:
        return "already_tried";
    case exclusion::evacuated:
        return "evacuated";
    case exclusion::other_region:
        return "other_region";
    case exclusion::other_software:
        return "other_software";
    case exclusion::replaced_process:
        return "replaced_process";
    case exclusion::older_weights:
        return "older_weights";
    case exclusion::restricted:
        return "restricted";
    case exclusion::no_memory:
        return "no_memory";
    case exclusion::queue_too_long:
        return "queue_too_long";
    }
    return "unknown";
}

std::vector<assessed_upstream> load_balancer::assess(
    const upstream_query& query, mono_time now) const
{
    const auto found = list_candidates(query, now);
    const auto speeds = make_speed_scale(query.service, now);
    // The candidates are in the order of the upstreams.
    auto next = found.candidates.begin();
    std::vector<assessed_upstream> assessed;
    for (const auto& [id, state] : upstreams_)
    {
        if (state.entry.service != query.service)
        {
            continue;
        }
        const bool is_candidate =
            next != found.candidates.end() && next->state == &state;
        const auto values =
            is_candidate ? *next++ : make_candidate(state, query, speeds, now);
        assessed.push_back(
            {.entry = state.entry,
             .excluded = find_exclusion(state, query, now),
             .expected_wait = values.expected_wait,
             .slowness = values.slowness,
             .cost = values.cost,
             .preferred = values.is_preferred,
             .in_flight = state.in_flight,
             .failure_share = decayed_failure_share(state, now),
             .load_age = state.load_updated
                             ? std::optional(now - *state.load_updated)
                             : std::nullopt});
    }
    return assessed;
}

} // namespace wagtailseam::serving
