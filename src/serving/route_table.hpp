// Finds the route and the workspace of a request in one configuration.
#ifndef WAGTAILSEAM_SERVING_ROUTE_TABLE_HPP
#define WAGTAILSEAM_SERVING_ROUTE_TABLE_HPP

#include "core/random_source.hpp"
#include "serving/configuration.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wagtailseam::serving
{

/// A configuration with its look-ups. Immutable.
class route_table
{
public:
    explicit route_table(configuration in_force);

    [[nodiscard]] const configuration& config() const noexcept
    {
        return config_;
    }

    /// Returns the route of the host with the longest prefix that begins the
    /// path, null when there is none.
    /// Complexity: linear in the host's routes.
    [[nodiscard]] const route* find_route(
        std::string_view host, std::string_view path) const;

    /// Returns the workspace that holds the key, null for an unknown key.
    [[nodiscard]] const workspace* find_workspace(const std::string& key) const;

private:
    configuration config_;
    /// Routes of each host, the longest prefix first; indices into config_.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    std::unordered_map<std::string, std::size_t> by_key_;
};

/// Draws one of a route's services by weight.
/// @pre the route names a service
[[nodiscard]] const service_id& draw_service(
    const route& from, random_source& random);

} // namespace wagtailseam::serving

#endif
