// Events and commands of the admission controller.
#ifndef WAGTAILSEAM_ADMISSION_EVENTS_HPP
#define WAGTAILSEAM_ADMISSION_EVENTS_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/result_code.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <variant>

namespace wagtailseam::admission
{

/// Orders the requests of one workspace. Across workspaces, only background
/// requests differ: they wait for all others. A workspace therefore gains
/// nothing over others by a high priority.
enum class priority : std::uint8_t
{
    background,
    normal,
    urgent,
};

/// A request arrived and waits for admission.
struct request_arrived
{
    request_id request;
    workspace_id workspace;
    priority priority_level = priority::normal;
    mono_time deadline;
    /// Estimated time from dispatch to the first token.
    duration expected_time_to_first_token{};
    /// Estimated tokens of the prompt and the response; charged to the share.
    token_count cost;
};

/// A dispatched request produced its first token.
struct first_token_received
{
    request_id request;
    /// Time since dispatch.
    duration elapsed{};
    /// Estimated time on an idle upstream; zero if unknown.
    duration idle_estimate{};
};

enum class request_outcome : std::uint8_t
{
    succeeded,
    /// Every upstream tried refused the request as busy.
    busy,
    failed,
};

/// A dispatched request and all its retries ended.
struct request_finished
{
    request_id request;
    request_outcome outcome = request_outcome::succeeded;
    /// Tokens used; the excess over the estimate is charged to the share.
    token_count cost;
};

/// The caller cancelled or disconnected. The request may be queued, in flight
/// or unknown.
struct request_cancelled
{
    request_id request;
};

/// Periodic timer event, about every 100 ms.
struct tick
{
};

/// The configured weights changed. A workspace without an entry has weight 1.
struct weights_changed
{
    /// Each weight is greater than 0.
    std::map<workspace_id, double> weights;
};

/// The upstreams reported how many requests the pool can run concurrently.
struct capacity_changed
{
    std::size_t slots = 0;
};

using admission_event = std::variant<
    request_arrived, first_token_received, request_finished, request_cancelled,
    tick, weights_changed, capacity_changed>;

/// Dispatches the request to an upstream.
struct dispatch
{
    request_id request;
    duration queue_time{};
    /// Whether the workspace exceeds its share; the engine then runs the
    /// request with a low priority.
    bool over_share = false;
};

/// Refuses the request, which was not executed.
struct refuse
{
    request_id request;
    result_code code = result_code::ok;
    /// Identifier of the violated limit, for metrics and the response.
    std::string_view reason;
    /// Delay after which the caller may retry.
    duration retry_after{};
};

using admission_command = std::variant<dispatch, refuse>;

} // namespace wagtailseam::admission

#endif
