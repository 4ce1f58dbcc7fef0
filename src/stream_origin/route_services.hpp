// Which services may have begun the streams of a route, when routes are split
// or moved while their streams run.
#ifndef WAGTAILSEAM_STREAM_ORIGIN_ROUTE_SERVICES_HPP
#define WAGTAILSEAM_STREAM_ORIGIN_ROUTE_SERVICES_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "serving/configuration.hpp"

#include <map>
#include <set>
#include <vector>

namespace wagtailseam::stream_origin
{

/// Identifies a route across configurations: its host and path prefix.
using route_key = strong_id<struct route_key_tag>;

[[nodiscard]] route_key key_of(const serving::route& route);

struct route_services_options
{
    /// Time for which a replaced configuration counts: callers resume a stream
    /// for 15 s, and gateways apply a configuration within some seconds of each
    /// other.
    duration memory = std::chrono::seconds(20);
};

/// A stream without a record must have begun at a service that every gateway
/// can name. So the streams of a route are recorded while it has several
/// services, and for some time after its services changed. Not thread-safe.
/// Complexity: logarithmic in the number of routes, unless stated otherwise.
class route_services
{
public:
    explicit route_services(const route_services_options& options = {})
        : options_(options)
    {
    }

    /// Applies a configuration. Complexity: linear in its routes.
    void set(const std::vector<serving::route>& routes, mono_time now);

    /// Returns whether a stream that the service began has to be recorded.
    [[nodiscard]] bool needs_record(
        const route_key& route, const serving::service_id& begun_by,
        mono_time now) const;
    /// Returns the services that may have begun a stream without a record; if
    /// such a stream should have one, all services of the route.
    [[nodiscard]] std::set<serving::service_id> candidates(
        const serving::route& route, mono_time now) const;
    /// Returns whether a recent configuration allowed the service and the
    /// current one does not.
    [[nodiscard]] bool is_replaced(
        const serving::route& route, const serving::service_id& service,
        mono_time now) const;

private:
    using service_set = std::set<serving::service_id>;
    struct replaced_services
    {
        service_set services;
        mono_time replaced_at;
    };
    struct entry
    {
        service_set current;
        /// In order of replaced_at.
        std::vector<replaced_services> earlier;
    };

    [[nodiscard]] bool is_recent(
        const replaced_services& earlier, mono_time now) const
    {
        return now - earlier.replaced_at < options_.memory;
    }

    route_services_options options_;
    /// Routes of the current configuration, and those that it lacks until their
    /// services are forgotten.
    std::map<route_key, entry> routes_;
};

} // namespace wagtailseam::stream_origin

#endif
