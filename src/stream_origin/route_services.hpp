// Which services may have begun the streams of a path, when routes are added,
// removed, split or moved while their streams run.
#ifndef WAGTAILSEAM_STREAM_ORIGIN_ROUTE_SERVICES_HPP
#define WAGTAILSEAM_STREAM_ORIGIN_ROUTE_SERVICES_HPP

#include "core/clock.hpp"
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

struct route_services_options
{
    /// Time for which a replaced configuration counts: callers resume a stream
    /// for 15 s, and gateways apply a configuration within some seconds of each
    /// other.
    duration memory = std::chrono::seconds(20);
};

/// A stream without a record must have begun at a service that every gateway
/// can name. So the streams of a path are recorded while it has several
/// services, and for some time after its services changed. Not thread-safe.
/// Complexity: linear in the number of routes of a host, times that of the
/// replaced configurations.
class route_services
{
public:
    explicit route_services(const route_services_options& options = {})
        : options_(options)
    {
    }

    /// Applies a configuration. Complexity: linear in its routes, times their
    /// logarithm.
    void set(const std::vector<serving::route>& routes, mono_time now);

    /// Returns whether a stream that the service began has to be recorded.
    [[nodiscard]] bool needs_record(
        const stream_target& target, const serving::service_id& begun_by,
        mono_time now) const;
    /// Returns the services that may have begun a stream without a record; if
    /// such a stream should have one, all services of the path.
    [[nodiscard]] service_set candidates(
        const stream_target& target, mono_time now) const;

private:
    struct routed_prefix
    {
        std::string prefix;
        /// Empty if the route's streams cannot be resumed.
        service_set services;

        friend bool operator==(const routed_prefix&, const routed_prefix&) =
            default;
    };
    /// The routes of a configuration by host, with the longest prefixes first.
    using route_map = std::map<std::string, std::vector<routed_prefix>>;
    struct replaced_routes
    {
        route_map routes;
        mono_time replaced_at;
    };

    [[nodiscard]] static route_map make_map(
        const std::vector<serving::route>& routes);
    [[nodiscard]] static service_set find(
        const route_map& routes, const stream_target& target);
    [[nodiscard]] bool is_recent(
        const replaced_routes& replaced, mono_time now) const
    {
        return now - replaced.replaced_at < options_.memory;
    }

    route_services_options options_;
    route_map current_;
    /// In order of replaced_at. Consecutive ones differ.
    std::vector<replaced_routes> replaced_;
};

} // namespace wagtailseam::stream_origin

#endif
