// What one attempt at an upstream asks for: which upstreams fit a request, and
// the message to the chosen one with its weights and its cache plan.
#ifndef WAGTAILSEAM_GATEWAY_DISPATCH_PLAN_HPP
#define WAGTAILSEAM_GATEWAY_DISPATCH_PLAN_HPP

#include "gateway/shared_state.hpp"
#include "http/message.hpp"
#include "serving/call.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace wagtailseam::gateway
{

/// A caller's request whose route and workspace are known.
struct accepted_request
{
    mono_time received;
    mono_time deadline;
    serving::call call;
    /// Keeps route and workspace alive when the configuration changes.
    std::shared_ptr<const serving::route_table> routes;
    const serving::route* route = nullptr;
    /// Null on routes that are open to all.
    const serving::workspace* workspace = nullptr;
    serving::service_id service;

    [[nodiscard]] duration time_left() const
    {
        return deadline - monotonic_clock::now();
    }
};

/// Returns what an upstream for the request must fit.
/// @param tried upstreams that are not asked again
/// @param may_be_refused whether long queues are a reason not to be served
[[nodiscard]] serving::upstream_query query_for(
    const shared_state& known, const accepted_request& asked,
    const std::set<upstream_id>& tried, bool may_be_refused);

/// What is told of a message to an upstream.
struct dispatch_facts
{
    /// Weights that the upstream is expected to run, and the operator's.
    std::optional<weight_version> weights;
    std::optional<weight_version> named_weights;
    std::size_t fetched_parts = 0;
    std::size_t saved_parts = 0;
};

struct planned_dispatch
{
    http::request message;
    dispatch_facts facts;
    /// Until the upstream has read the prompt, once it turns to it.
    duration reading{};
    /// The store that most of the fetched tokens come from.
    std::optional<http::address> fetched_from;
};

/// Plans the message to an upstream.
/// @param resume_after id of the last event that the caller has, may be empty
[[nodiscard]] planned_dispatch plan_dispatch(
    shared_state& known, const accepted_request& asked,
    const serving::chosen_upstream& target, const std::string& resume_after);

} // namespace wagtailseam::gateway

#endif
