// Look-ups by host, prefix and key.
#include "serving/route_table.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <numeric>

namespace wagtailseam::serving
{

route_table::route_table(configuration in_force) : config_(std::move(in_force))
{
    for (std::size_t at = 0; at < config_.routes.size(); ++at)
    {
        by_host_[config_.routes[at].host].push_back(at);
    }
    for (auto& [host, routes] : by_host_)
    {
        std::sort(
            routes.begin(), routes.end(),
            [&](std::size_t a, std::size_t b)
            {
                return config_.routes[a].path_prefix.size() >
                       config_.routes[b].path_prefix.size();
            });
    }
    for (std::size_t at = 0; at < config_.workspaces.size(); ++at)
    {
        for (const auto& key : config_.workspaces[at].keys)
        {
            by_key_.emplace(key, at);
        }
    }
}

const route* route_table::find_route(
    std::string_view host, std::string_view path) const
{
    const auto routes = by_host_.find(std::string(host));
    if (routes == by_host_.end())
    {
        return nullptr;
    }
    for (const std::size_t at : routes->second)
    {
        if (path.starts_with(config_.routes[at].path_prefix))
        {
            return &config_.routes[at];
        }
    }
    return nullptr;
}

const workspace* route_table::find_workspace(const std::string& key) const
{
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr
                                  : &config_.workspaces[found->second];
}

const service_id& draw_service(const route& from, random_source& random)
{
    BOOST_ASSERT(!from.services.empty());
    const double sum = std::accumulate(
        from.services.begin(), from.services.end(), 0.0,
        [](double total, const weighted_service& share)
        { return total + share.weight; });
    double left = random.unit() * sum;
    for (const auto& share : from.services)
    {
        left -= share.weight;
        if (left < 0)
        {
            return share.service;
        }
    }
    return from.services.back().service;
}

} // namespace wagtailseam::serving
