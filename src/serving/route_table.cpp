// Lookup by host and path prefix, and by API key.
#include "serving/route_table.hpp"

#include "core/digest.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <numeric>
#include <set>

namespace wagtailseam::serving
{
namespace
{

// Differ, so that no name of a workspace equals a digest.
constexpr const char* isolated_prefix = "i.";
constexpr const char* shared_prefix = "s.";

/// Returns the scope of the workspaces that are not isolated.
cache_scope make_shared_scope(const std::vector<workspace>& workspaces)
{
    std::set<workspace_id> isolated;
    for (const auto& each : workspaces)
    {
        if (each.isolated)
        {
            isolated.insert(each.id);
        }
    }
    if (isolated.empty())
    {
        return {};
    }
    sha256_stream hash;
    for (const auto& id : isolated)
    {
        hash.update(std::to_string(id.value().size()) + ':' + id.value());
    }
    constexpr std::size_t digits = 32;
    return cache_scope{shared_prefix + hash.value().hex().substr(0, digits)};
}

} // namespace

route_table::route_table(configuration config)
    : config_(std::move(config)),
      shared_scope_(make_shared_scope(config_.workspaces))
{
    for (std::size_t index = 0; index < config_.routes.size(); ++index)
    {
        by_host_[config_.routes[index].host].push_back(index);
    }
    for (auto& [host, routes] : by_host_)
    {
        std::sort(
            routes.begin(), routes.end(),
            [&](std::size_t left, std::size_t right)
            {
                return config_.routes[left].path_prefix.size() >
                       config_.routes[right].path_prefix.size();
            });
    }
    for (std::size_t index = 0; index < config_.workspaces.size(); ++index)
    {
        if (!config_.workspaces[index].isolated)
        {
            shared_workspaces_.insert(config_.workspaces[index].id);
        }
        for (const auto& key : config_.workspaces[index].keys)
        {
            by_key_.emplace(key, index);
        }
    }
}

const route* route_table::find_route(
    std::string_view host, std::string_view path) const
{
    const auto host_routes = by_host_.find(std::string(host));
    if (host_routes == by_host_.end())
    {
        return nullptr;
    }
    for (const std::size_t index : host_routes->second)
    {
        if (path.starts_with(config_.routes[index].path_prefix))
        {
            return &config_.routes[index];
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

cache_scope route_table::scope_of(const workspace_id& id) const
{
    const bool is_shared =
        id.value().empty() || shared_workspaces_.contains(id);
    return is_shared ? shared_scope_
                     : cache_scope{isolated_prefix + id.value()};
}

const service_id& draw_service(const route& route, random_source& random)
{
    BOOST_ASSERT(!route.services.empty());
    const double total_weight = std::accumulate(
        route.services.begin(), route.services.end(), 0.0,
        [](double sum, const weighted_service& share)
        { return sum + share.weight; });
    double remaining = random.unit() * total_weight;
    for (const auto& share : route.services)
    {
        remaining -= share.weight;
        if (remaining < 0)
        {
            return share.service;
        }
    }
    return route.services.back().service;
}

} // namespace wagtailseam::serving
