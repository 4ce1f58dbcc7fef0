// The services of resumable streams by path, as one configuration routes them.
#ifndef WAGTAILSEAM_STREAM_ORIGIN_STREAM_ROUTES_HPP
#define WAGTAILSEAM_STREAM_ORIGIN_STREAM_ROUTES_HPP

#include "serving/configuration.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace wagtailseam::stream_origin
{

/// Where a stream was requested. The prefix of its route is no substitute: a
/// later configuration may route a part of the prefix to other services.
struct stream_target
{
    std::string host;
    /// Without the query.
    std::string path;

    friend bool operator==(const stream_target&, const stream_target&) =
        default;
};

using service_set = std::set<serving::service_id>;

/// Returns the services to which a route sends requests.
[[nodiscard]] service_set services_of(const serving::route& route);

struct routed_prefix
{
    std::string prefix;
    /// Empty if the route's streams cannot be resumed.
    service_set services;

    friend bool operator==(const routed_prefix&, const routed_prefix&) =
        default;
};

/// Routes by host. @invariant the prefixes of a host are in descending order of
/// their lengths
using stream_routes = std::map<std::string, std::vector<routed_prefix>>;

/// Returns the routes of resumable streams, and those that take a part of their
/// paths. Other changes of a configuration leave them equal.
/// Complexity: quadratic in the number of routes of a host
[[nodiscard]] stream_routes make_stream_routes(
    const std::vector<serving::route>& routes);

/// Returns the services that may begin resumable streams of a path. Complexity:
/// linear in the number of routes of the host
[[nodiscard]] service_set find_services(
    const stream_routes& routes, const stream_target& target);

} // namespace wagtailseam::stream_origin

#endif
