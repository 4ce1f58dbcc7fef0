// Upkeep of the load balancer's list of upstreams.
#include "serving/load_balancer.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wagtailseam::serving
{

void load_balancer::set_services(std::set<service_id> services)
{
    named_services_ = std::move(services);
    for (const auto& [address, ids] : upstreams_by_address_)
    {
        (void)update_superseded(address);
    }
}

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
            (void)update_superseded(state.entry.address);
        }
    }
    return ended;
}

std::vector<upstream> load_balancer::upsert(const upstream& listed)
{
    std::vector<upstream> ended;
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
    const bool is_other_process = state.entry.started_ms != listed.started_ms ||
                                  state.entry.address != listed.address;
    if (is_other_process)
    {
        state.is_disproved = false;
        state.own_speed = upstream_speed::speed_estimate{};
        state.load.speed.reset();
    }
    if (state.entry.address != listed.address)
    {
        forget_address(listed.id, state.entry.address);
        upstreams_by_address_[listed.address].insert(listed.id);
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
    auto superseded = update_superseded(listed.address);
    std::erase_if(
        superseded,
        [&](const upstream& entry) { return entry.id == listed.id; });
    std::move(superseded.begin(), superseded.end(), std::back_inserter(ended));
    return ended;
}

bool load_balancer::counts(const upstream_state& state) const
{
    return !state.removed_at && !state.is_disproved &&
           (!named_services_ || named_services_->contains(state.entry.service));
}

std::vector<upstream> load_balancer::update_superseded(
    const http::address& address)
{
    const auto& ids = upstreams_by_address_[address];
    std::uint64_t last_start = 0;
    for (const auto& id : ids)
    {
        const auto& state = upstreams_.at(id);
        if (counts(state))
        {
            last_start = std::max(last_start, state.entry.started_ms);
        }
    }
    std::vector<upstream> superseded;
    for (const auto& id : ids)
    {
        auto& state = upstreams_.at(id);
        const bool was_superseded = std::exchange(
            state.is_superseded, state.entry.started_ms < last_start);
        if (state.is_superseded && !was_superseded)
        {
            superseded.push_back(state.entry);
        }
    }
    return superseded;
}

void load_balancer::forget_address(
    const upstream_id& id, const http::address& address)
{
    const auto found = upstreams_by_address_.find(address);
    if (found == upstreams_by_address_.end())
    {
        return;
    }
    found->second.erase(id);
    (void)update_superseded(address);
    if (found->second.empty())
    {
        upstreams_by_address_.erase(found);
    }
}

void load_balancer::record_running(const upstream_process& process)
{
    const auto running = upstreams_.find(process.id);
    if (running == upstreams_.end() ||
        running->second.entry.started_ms != process.started_ms)
    {
        return;
    }
    const auto& address = running->second.entry.address;
    for (const auto& id : upstreams_by_address_[address])
    {
        auto& state = upstreams_.at(id);
        if (state.entry.started_ms > process.started_ms)
        {
            state.is_disproved = true;
        }
    }
    (void)update_superseded(address);
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
        (void)update_superseded(removed->address);
    }
    for (auto next = upstreams_.begin(); next != upstreams_.end();)
    {
        const auto entry = next++;
        const auto& state = entry->second;
        if (state.removed_at && state.in_flight == 0 && now > *state.removed_at)
        {
            forget_address(entry->first, state.entry.address);
            upstreams_.erase(entry);
        }
    }
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

bool load_balancer::lists(const upstream_process& process) const
{
    const auto found = upstreams_.find(process.id);
    return found != upstreams_.end() && !found->second.removed_at &&
           found->second.entry.started_ms == process.started_ms;
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
        const bool listed = !state.is_superseded && !state.is_disproved &&
                            (!state.removed_at || now < *state.removed_at);
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
