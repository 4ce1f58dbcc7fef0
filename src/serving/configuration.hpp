// The configuration in force as the serving path uses it.
#ifndef WAGTAILSEAM_SERVING_CONFIGURATION_HPP
#define WAGTAILSEAM_SERVING_CONFIGURATION_HPP

#include "core/clock.hpp"
#include "http/message.hpp"
#include "serving/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wagtailseam::serving
{

/// What a request of a route is, which decides whether it may be repeated.
enum class route_kind : std::uint8_t
{
    idempotent,
    non_idempotent,
    /// Answered by a series of events.
    streaming,
};

struct weighted_service
{
    service_id service;
    /// Share of the route's requests, against the sum of the weights.
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
    /// Longest time that a caller is kept waiting for the end of its answer.
    duration timeout = std::chrono::seconds(30);
    /// Time to the answer, or to its first event, that callers expect.
    duration latency_target = std::chrono::seconds(1);
    /// Longest pause between events that callers expect.
    duration max_event_gap = std::chrono::seconds(1);
    /// 0 is the most important.
    std::uint32_t priority = 0;
    /// Never empty.
    std::vector<weighted_service> services;
    /// Upstreams that one request may run on.
    std::uint32_t max_attempts = 1;
    /// Needs no key.
    bool is_public = false;
    /// A broken stream may go on at another upstream.
    bool resumable = false;

    /// Whether a request that may have run can be sent once more.
    [[nodiscard]] bool retryable() const noexcept
    {
        return kind == route_kind::idempotent ||
               (kind == route_kind::streaming && resumable);
    }
};

/// A store of kept cache, outside the engines.
struct cache_store
{
    service_id service;
    http::address address;
    data_centre_id data_centre;
    token_count capacity;
    /// Bytes a second of its link.
    byte_rate link_rate{1.0};
};

struct workspace
{
    workspace_id id;
    std::vector<std::string> keys;
    /// Goes before the route's.
    std::optional<std::uint32_t> priority;
    /// Shares no cached part with other workspaces.
    bool isolated = false;
};

/// What a caller may send, and how long it may take.
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
    std::vector<cache_store> stores;
    std::vector<workspace> workspaces;
    request_limits limits;
};

/// Weights that an operator named for a model; all upstreams of the model are
/// brought to them.
struct weight_target
{
    model_id model;
    weight_version version;
};

} // namespace wagtailseam::serving

#endif
