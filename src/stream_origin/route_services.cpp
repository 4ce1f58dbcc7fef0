// History of the services of each route.
#include "stream_origin/route_services.hpp"

#include <algorithm>
#include <utility>

namespace wagtailseam::stream_origin
{
namespace
{

std::set<serving::service_id> services_of(const serving::route& route)
{
    std::set<serving::service_id> services;
    for (const auto& share : route.services)
    {
        services.insert(share.service);
    }
    return services;
}

} // namespace

route_key key_of(const serving::route& route)
{
    return route_key{route.host + route.path_prefix};
}

void route_services::set(
    const std::vector<serving::route>& routes, mono_time now)
{
    std::map<route_key, service_set> next;
    for (const auto& route : routes)
    {
        if (route.is_resumable_stream())
        {
            next.insert_or_assign(key_of(route), services_of(route));
        }
    }
    for (const auto& [key, services] : next)
    {
        routes_[key];
    }
    for (auto& [key, known] : routes_)
    {
        const auto found = next.find(key);
        auto services = found == next.end() ? service_set{} : found->second;
        if (services != known.current && !known.current.empty())
        {
            known.earlier.push_back({known.current, now});
        }
        known.current = std::move(services);
        std::erase_if(
            known.earlier, [&](const replaced_services& earlier)
            { return !is_recent(earlier, now); });
    }
    std::erase_if(
        routes_,
        [](const auto& route) {
            return route.second.current.empty() && route.second.earlier.empty();
        });
}

bool route_services::needs_record(
    const route_key& route, const serving::service_id& begun_by,
    mono_time now) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end())
    {
        return true;
    }
    const auto& [current, earlier] = found->second;
    return current != service_set{begun_by} ||
           std::any_of(
               earlier.begin(), earlier.end(),
               [&](const replaced_services& services)
               { return is_recent(services, now); });
}

std::set<serving::service_id> route_services::candidates(
    const serving::route& route, mono_time now) const
{
    const auto current = services_of(route);
    service_set single;
    if (current.size() == 1)
    {
        single = current;
    }
    const auto found = routes_.find(key_of(route));
    if (found != routes_.end())
    {
        for (const auto& earlier : found->second.earlier)
        {
            if (earlier.services.size() == 1 && is_recent(earlier, now))
            {
                single.insert(*earlier.services.begin());
            }
        }
    }
    return single.empty() ? current : single;
}

bool route_services::is_replaced(
    const serving::route& route, const serving::service_id& service,
    mono_time now) const
{
    const auto found = routes_.find(key_of(route));
    return found != routes_.end() && !found->second.current.contains(service) &&
           std::any_of(
               found->second.earlier.begin(), found->second.earlier.end(),
               [&](const replaced_services& earlier) {
                   return is_recent(earlier, now) &&
                          earlier.services.contains(service);
               });
}

} // namespace wagtailseam::stream_origin
