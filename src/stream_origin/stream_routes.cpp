// Lookup of services by host and path prefix.
#include "stream_origin/stream_routes.hpp"

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
    if (services.empty() && !route.services.empty())
    {
        // serving::draw_service() draws the last one.
        services.insert(route.services.back().service);
    }
    return services;
}

stream_routes make_stream_routes(const std::vector<serving::route>& routes)
{
    stream_routes by_host;
    for (const auto& route : routes)
    {
        by_host[route.host].push_back(
            {.prefix = route.path_prefix,
             .services = route.is_resumable_stream() ? services_of(route)
                                                     : service_set{}});
    }
    for (auto& [host, prefixes] : by_host)
    {
        std::sort(
            prefixes.begin(), prefixes.end(),
            [](const routed_prefix& left, const routed_prefix& right)
            {
                return std::pair(right.prefix.size(), left.prefix) <
                       std::pair(left.prefix.size(), right.prefix);
            });
        const auto all = prefixes;
        std::erase_if(
            prefixes,
            [&](const routed_prefix& each)
            {
                return each.services.empty() &&
                       std::none_of(
                           all.begin(), all.end(),
                           [&](const routed_prefix& other) {
                               return !other.services.empty() &&
                                      each.prefix.starts_with(other.prefix);
                           });
            });
    }
    std::erase_if(
        by_host, [](const auto& entry) { return entry.second.empty(); });
    return by_host;
}

service_set find_services(
    const stream_routes& routes, const stream_target& target)
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

} // namespace wagtailseam::stream_origin
