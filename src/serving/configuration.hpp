// The active configuration, decoded for the serving path.
#ifndef WAGTAILSEAM_SERVING_CONFIGURATION_HPP
#define WAGTAILSEAM_SERVING_CONFIGURATION_HPP

#include "core/clock.hpp"
#include "http/message.hpp"
#include "rate_limit/limit_statement.hpp"
#include "serving/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wagtailseam::serving
{

/// Kind of a route's requests; determines whether they may be retried.
enum class route_kind : std::uint8_t
{
    idempotent,
    non_idempotent,
    /// Answered by a stream of server-sent events.
    streaming,
};

struct weighted_service
{
    service_id service;
    /// Share of the route's requests, relative to the sum of all weights.
    double weight = 1.0;
};

struct route
{
    std::string name;
    /// Lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    /// Maximum time from a request's arrival to the end of its answer.
    duration timeout = std::chrono::seconds(30);
    /// Target time to the answer, or to the first event of a stream.
    duration latency_target = std::chrono::seconds(1);
    /// Target for the longest pause between two events of a stream.
    duration max_event_gap = std::chrono::seconds(1);
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    /// @invariant not empty
    std::vector<weighted_service> services;
    /// Maximum number of upstreams on which one request runs.
    std::uint32_t max_attempts = 1;
    /// Whether requests need no API key.
    bool is_public = false;
    /// Whether another upstream may resume a broken stream.
    bool resumable = false;
    /// Regions that may process its requests; empty: all.
    std::set<region_id> allowed_regions;

    [[nodiscard]] bool is_resumable_stream() const noexcept
    {
        return kind == route_kind::streaming && resumable;
    }
    /// Returns whether a request that an upstream may have run can be sent
    /// again.
    [[nodiscard]] bool retryable() const noexcept
    {
        return kind == route_kind::idempotent || is_resumable_stream();
    }
};

/// A store that keeps cached prompt parts outside the engines.
struct cache_store
{
    service_id service;
    http::address address;
    data_centre_id data_centre;
    token_count capacity;
    /// Bandwidth of the store's link in bytes per second.
    byte_rate link_rate{1.0};
};

/// How an upstream of a service accepts requests after its start.
struct cold_start
{
    /// Time from the start of a process during which it is cold.
    duration time{};
    /// Requests that a cold process accepts, from all gateways together.
    rate_limit::request_rate rate;
};

struct workspace
{
    workspace_id id;
    std::vector<std::string> keys;
    /// Overrides the route's priority.
    std::optional<std::uint32_t> priority;
    /// Whether the workspace shares no cached part with others.
    bool isolated = false;
    /// Regions that may process its requests; empty: all. The regions of the
    /// route apply as well.
    std::set<region_id> allowed_regions;
};

/// Data centres that may process a request; nullopt: all.
using allowed_data_centres = std::optional<std::set<data_centre_id>>;

/// Returns the data centres in regions that both the route and the workspace
/// allow. One whose region is unknown is not allowed if there is a restriction.
/// @param workspace null for requests without credentials
[[nodiscard]] allowed_data_centres find_allowed_data_centres(
    const route& route, const workspace* workspace,
    const std::map<data_centre_id, region_id>& regions);

/// Returns the cache scope of requests that only some data centres may process,
/// so that no other request moves their cached parts elsewhere.
[[nodiscard]] cache_scope restrict_scope(
    const cache_scope& scope, const allowed_data_centres& allowed);

/// Returns whether a data centre may process a request.
[[nodiscard]] inline bool allows(
    const allowed_data_centres& allowed, const data_centre_id& data_centre)
{
    return !allowed || allowed->contains(data_centre);
}

/// Size and time limits for receiving a request.
struct request_limits
{
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

struct configuration
{
    config_number number;
    std::vector<route> routes;
    /// All services that it names, also those without a route.
    std::set<service_id> services;
    /// Services whose upstreams are cold after their start.
    std::map<service_id, cold_start> cold_starts;
    std::vector<cache_store> stores;
    std::vector<workspace> workspaces;
    request_limits limits;
};

/// Weight version that an operator set for a model; all upstreams of the model
/// switch to it.
struct weight_target
{
    model_id model;
    weight_version version;
};

/// The operator wants no new requests at the upstreams of a data centre.
struct evacuation
{
    data_centre_id data_centre;
    /// False once the operator has ended it.
    bool active = true;
};

} // namespace wagtailseam::serving

#endif
