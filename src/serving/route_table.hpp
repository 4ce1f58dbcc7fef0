// Looks up the route and the workspace of a request in a configuration.
#ifndef WAGTAILSEAM_SERVING_ROUTE_TABLE_HPP
#define WAGTAILSEAM_SERVING_ROUTE_TABLE_HPP

#include "core/random_source.hpp"
#include "serving/configuration.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wagtailseam::serving
{

/// A configuration with indexes by host and by API key. Immutable.
class route_table
{
public:
    explicit route_table(configuration config);

    [[nodiscard]] const configuration& config() const noexcept
    {
        return config_;
    }

    /// Returns the route of the host whose prefix of the path is the longest,
    /// null if no route matches.
    /// Complexity: linear in the number of the host's routes.
    [[nodiscard]] const route* find_route(
        std::string_view host, std::string_view path) const;

    /// Returns the workspace that owns the API key, null for an unknown key.
    [[nodiscard]] const workspace* find_workspace(const std::string& key) const;

    /// Returns the cache scope of a workspace. Those that are not isolated
    /// share a scope that names the isolated ones, so that parts which a
    /// workspace cached before it became isolated are not used after that. It
    /// depends on the configuration only: all gateways use the same.
    /// @param id empty for requests without credentials
    [[nodiscard]] cache_scope scope_of(const workspace_id& id) const;

private:
    configuration config_;
    /// Indices into config_.routes by host, the longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    /// Indices into config_.workspaces by API key.
    std::unordered_map<std::string, std::size_t> by_key_;
    /// Of the workspaces that are not isolated.
    cache_scope shared_scope_;
    std::unordered_set<workspace_id> shared_workspaces_;
};

/// Picks one of a route's services at random, in proportion to their weights.
/// @pre the route has a service
[[nodiscard]] const service_id& draw_service(
    const route& route, random_source& random);

} // namespace wagtailseam::serving

#endif
