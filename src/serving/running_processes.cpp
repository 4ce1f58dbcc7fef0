// Bookkeeping of the latest known process of each upstream.
#include "serving/running_processes.hpp"

#include <algorithm>

namespace wagtailseam::serving
{

void running_processes::confirm(
    const upstream& listed, std::uint64_t started_ms, mono_time ran_at)
{
    auto& known = processes_[listed.id];
    if (known.address != listed.address || started_ms > known.started_ms)
    {
        known = {
            .address = listed.address,
            .started_ms = started_ms,
            .ran_at = ran_at};
    }
    else if (started_ms == known.started_ms)
    {
        known.ran_at = std::max(known.ran_at, ran_at);
    }
}

void running_processes::record_response(
    const upstream& listed, mono_time connected_at, mono_time sent_at)
{
    if (leads_to(listed, connected_at))
    {
        confirm(listed, listed.started_ms, sent_at);
    }
}

void running_processes::erase(const upstream_id& id)
{
    processes_.erase(id);
}

const running_processes::known_process* running_processes::find(
    const upstream& listed) const
{
    const auto found = processes_.find(listed.id);
    return found != processes_.end() && found->second.address == listed.address
               ? &found->second
               : nullptr;
}

bool running_processes::leads_to(
    const upstream& listed, mono_time connected_at) const
{
    const auto* const known = find(listed);
    return known != nullptr && known->started_ms == listed.started_ms &&
           known->ran_at >= connected_at;
}

bool running_processes::is_replaced(const upstream& listed) const
{
    const auto* const known = find(listed);
    return known != nullptr && known->started_ms > listed.started_ms;
}

} // namespace wagtailseam::serving
