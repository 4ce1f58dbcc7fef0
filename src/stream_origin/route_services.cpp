// History of the services of each path.
#include "stream_origin/route_services.hpp"

#include <algorithm>
#include <utility>

namespace wagtailseam::stream_origin
{

service_set services_of(const serving::route& route)
{
    service_set services;
    for (const auto& share : route.services)
    {
        if (share.weight > 0)
        {
            services.insert(share.service);
        }
    }
    return services;
}

route_services::route_map route_services::make_map(
    const std::vector<serving::route>& routes)
{
    route_map map;
    for (const auto& route : routes)
    {
        map[route.host].push_back(
            {.prefix = route.path_prefix,
             .services = route.is_resumable_stream() ? services_of(route)
                                                     : service_set{}});
    }
    for (auto& [host, prefixes] : map)
    {
        std::sort(
            prefixes.begin(), prefixes.end(),
            [](const routed_prefix& left, const routed_prefix& right)
            {
                return std::pair(right.prefix.size(), left.prefix) <
                       std::pair(left.prefix.size(), right.prefix);
            });
    }
    return map;
}

service_set route_services::find(
    const route_map& routes, const stream_target& target)
{
    const auto host = routes.find(target.host);
    if (host == routes.end())
    {
        return {};
    }
    const auto& prefixes = host->second;
    const auto found = std::find_if(
        prefixes.begin(), prefixes.end(),
        [&](const routed_prefix& routed)
        { return target.path.starts_with(routed.prefix); });
    return found == prefixes.end() ? service_set{} : found->services;
}

void route_services::set(
    const std::vector<serving::route>& routes, mono_time now)
{
    auto next = make_map(routes);
    if (next != current_ && !current_.empty())
    {
        replaced_.push_back({std::move(current_), now});
    }
    current_ = std::move(next);
    std::erase_if(
        replaced_, [&](const replaced_routes& replaced)
        { return !is_recent(replaced, now); });
}

bool route_services::needs_record(
    const stream_target& target, const serving::service_id& begun_by,
    mono_time now) const
{
    const service_set only{begun_by};
    // A configuration without a service for the path began no streams there.
    const auto began_elsewhere = [&](const replaced_routes& replaced)
    {
        const auto services = find(replaced.routes, target);
        return is_recent(replaced, now) && !services.empty() &&
               services != only;
    };
    return find(current_, target) != only ||
           std::any_of(replaced_.begin(), replaced_.end(), began_elsewhere);
}

service_set route_services::candidates(
    const stream_target& target, mono_time now) const
{
    const auto current = find(current_, target);
    service_set single;
    if (current.size() == 1)
    {
        single = current;
    }
    for (const auto& replaced : replaced_)
    {
        const auto services = is_recent(replaced, now)
                                  ? find(replaced.routes, target)
                                  : service_set{};
        if (services.size() == 1)
        {
            single.insert(*services.begin());
        }
    }
    return single.empty() ? current : single;
}

} // namespace wagtailseam::stream_origin
