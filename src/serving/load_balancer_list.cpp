// Upkeep of the load balancer's list of upstreams.
#include "serving/load_balancer.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wagtailseam::serving
{

std::vector<upstream> load_balancer::replace(
    const std::vector<upstream>& listed, duration grace, mono_time now)
{
    std::set<upstream_id> listed_ids;
    std::vector<upstream> ended;
    for (const auto& entry : listed)
    {
        listed_ids.insert(entry.id);
        auto predecessors = upsert(entry);
        std::move(
            predecessors.begin(), predecessors.end(),
            std::back_inserter(ended));
    }
    for (auto& [id, state] : upstreams_)
    {
        if (!listed_ids.contains(id) && !state.removed_at)
        {
            state.removed_at = now + grace;
        }
    }
    return ended;
}

std::vector<upstream> load_balancer::upsert(const upstream& listed)
{
    auto ended = remove_predecessors(listed);
    if (departed_.erase(listed.id) > 0)
    {
        std::erase(departure_order_, listed.id);
    }
    auto& state = upstreams_[listed.id];
    if (state.entry.started_ms != 0 &&
        state.entry.started_ms < listed.started_ms)
    {
        ended.push_back(state.entry);
    }
    // The list lags behind the reports of agents and upstreams; a weight
    // version never decreases.
    auto weights = std::move(state.entry.weights);
    // A process that drains never becomes ready again. A list that was restored
    // from an older copy may contain its earlier state.
    const bool same_process =
        listed.started_ms != 0 && state.entry.started_ms == listed.started_ms;
    const bool draining =
        listed.draining || (same_process && state.entry.draining);
    state.entry = listed;
    state.entry.draining = draining;
    for (const auto& [model, version] : weights)
    {
        auto& current = state.entry.weights[model];
        current = std::max(current, version);
    }
    state.removed_at.reset();
    if (has_successor(listed))
    {
        state.removed_at = mono_time{};
    }
    return ended;
}

bool load_balancer::has_successor(const upstream& listed) const
{
    return std::any_of(
        upstreams_.begin(), upstreams_.end(),
        [&](const auto& entry)
        {
            const auto& other = entry.second;
            return other.entry.address == listed.address &&
                   other.entry.started_ms > listed.started_ms &&
                   !other.removed_at;
        });
}

std::vector<upstream> load_balancer::remove_predecessors(const upstream& listed)
{
    std::vector<upstream> removed;
    for (auto& [id, other] : upstreams_)
    {
        const bool predecessor = id != listed.id &&
                                 other.entry.address == listed.address &&
                                 other.entry.started_ms < listed.started_ms;
        if (predecessor && other.removed_at != mono_time{})
        {
            other.removed_at = mono_time{};
            removed.push_back(other.entry);
        }
    }
    return removed;
}

std::optional<upstream> load_balancer::remove(
    const upstream_id& id, duration grace, mono_time now)
{
    std::optional<upstream> removed;
    const auto found = upstreams_.find(id);
    if (found != upstreams_.end() && !found->second.removed_at)
    {
        found->second.removed_at = now + grace;
        removed = found->second.entry;
    }
    std::erase_if(
        upstreams_,
        [&](const auto& entry)
        {
            const auto& state = entry.second;
            return state.removed_at && state.in_flight == 0 &&
                   now > *state.removed_at;
        });
    return removed;
}

void load_balancer::confirm_departure(const upstream_id& id)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
    {
        return;
    }
    const auto [position, is_new] =
        departed_.insert_or_assign(id, found->second.entry.started_ms);
    if (is_new)
    {
        departure_order_.push_back(id);
    }
    if (departure_order_.size() > options_.max_departed)
    {
        departed_.erase(departure_order_.front());
        departure_order_.pop_front();
    }
}

void load_balancer::remove_departed(std::vector<upstream>& listed) const
{
    std::erase_if(
        listed,
        [&](const upstream& entry)
        {
            const auto found = departed_.find(entry.id);
            return found != departed_.end() &&
                   found->second == entry.started_ms;
        });
}

bool load_balancer::lists_successor(const upstream_process& process) const
{
    const auto found = upstreams_.find(process.id);
    return found != upstreams_.end() &&
           found->second.entry.started_ms > process.started_ms;
}

std::set<software_version> load_balancer::software_versions(
    const service_id& service, mono_time now) const
{
    std::set<software_version> versions;
    for (const auto& [id, state] : upstreams_)
    {
        const bool listed = !state.removed_at || now < *state.removed_at;
        if (listed && state.entry.service == service)
        {
            versions.insert(state.entry.software);
        }
    }
    return versions;
}

bool load_balancer::serves_version(
    const service_id& service, const software_version& version,
    mono_time now) const
{
    return std::any_of(
        upstreams_.begin(), upstreams_.end(),
        [&](const auto& entry)
        {
            const auto& state = entry.second;
            return state.entry.service == service &&
                   state.entry.software == version &&
                   !is_draining_or_removed(state, now);
        });
}

} // namespace wagtailseam::serving
