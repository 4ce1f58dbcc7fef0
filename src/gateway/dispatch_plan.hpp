// Plans an attempt: the query for suitable upstreams, and the message to the
// selected one with its weight version and cache plan.
#ifndef WAGTAILSEAM_GATEWAY_DISPATCH_PLAN_HPP
#define WAGTAILSEAM_GATEWAY_DISPATCH_PLAN_HPP

#include "gateway/shared_state.hpp"
#include "http/message.hpp"
#include "quarantine/crash_record_cache.hpp"
#include "serving/call.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace wagtailseam::gateway
{

/// A caller's request with its resolved route and workspace.
struct accepted_request
{
    mono_time received;
    mono_time deadline;
    serving::call call;
    /// Owns `route` and `workspace`, also after a configuration change.
    std::shared_ptr<const serving::route_table> routes;
    const serving::route* route = nullptr;
    /// Null on public routes.
    const serving::workspace* workspace = nullptr;
    serving::service_id service;
    serving::allowed_data_centres data_centres;

    [[nodiscard]] duration time_left() const
    {
        return deadline - monotonic_clock::now();
    }
    /// Returns the fingerprints of the request and of the shared parts of its
    /// prompt, which are computed once.
    [[nodiscard]] const quarantine::request_content& content() const;

private:
    mutable std::optional<quarantine::request_content> content_;
};

/// Looks up route and workspace of a request in its configuration, and the data
/// centres that may process it.
/// @pre request.routes is not null
/// @errors unknown_route, missing_credentials, unknown_caller_key
[[nodiscard]] result<void> find_route(
    const shared_state& state, accepted_request& request);

/// Returns the load balancer query for a request of which no stream began.
/// @param tried upstreams to exclude
/// @param limit_queue_length whether to exclude upstreams with long queues
[[nodiscard]] serving::upstream_query make_upstream_query(
    const shared_state& state, const accepted_request& request,
    const std::set<upstream_id>& tried, bool limit_queue_length);

/// Returns why the load balancer found no upstream.
/// @pre selection is no chosen_upstream
[[nodiscard]] result_code refusal_code(
    const shared_state& state, const accepted_request& request,
    const serving::choice& selection);

/// Data about a dispatch for the log.
struct dispatch_summary
{
    /// Version that the upstream is expected to run.
    std::optional<weight_version> weights;
    /// Version that the operator requested.
    std::optional<weight_version> target_weights;
    std::size_t fetched_parts = 0;
    std::size_t saved_parts = 0;
};

struct planned_dispatch
{
    http::request message;
    dispatch_summary summary;
    /// Estimated prefill time, without the time in the queue.
    duration prefill_time{};
    /// The store that holds most of the tokens to fetch.
    std::optional<http::address> main_cache_source;
};

/// Returns whether the cached parts of a weight version are certain not to have
/// been freed in the cache stores.
[[nodiscard]] bool can_fetch_cached_parts(
    const shared_state& state, const model_id& model, weight_version weights,
    mono_time now);

/// Plans the message to an upstream.
/// @param resume_after id of the last event that the caller received; empty if
/// there is none
[[nodiscard]] planned_dispatch plan_dispatch(
    shared_state& state, const accepted_request& request,
    const serving::chosen_upstream& target, const std::string& resume_after);

} // namespace wagtailseam::gateway

#endif
