// What the admission core is told and what it answers.
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

/// Orders the requests of one workspace. Across workspaces only background
/// differs: it waits for all others, so that no workspace gains by claiming a
/// high priority.
enum class priority : std::uint8_t
{
    background,
    normal,
    urgent,
};

/// A request that wants to be dispatched.
struct arrival
{
    request_id request;
    workspace_id workspace;
    priority level = priority::normal;
    mono_time deadline;
    /// Estimated time from dispatch to the first token.
    duration expected_first_token{};
    /// Estimated tokens, prompt and answer; counts against the share.
    token_count cost;
};

/// A dispatched request showed its first token.
struct first_token
{
    request_id request;
    /// Time since its dispatch.
    duration elapsed{};
    /// Estimate for an idle upstream; zero when there is none.
    duration idle_estimate{};
};

enum class finish : std::uint8_t
{
    served,
    /// All upstreams tried refused as busy.
    busy,
    failed,
};

/// A dispatched request is over, its retries included.
struct finished
{
    request_id request;
    finish how = finish::served;
    /// Tokens it took; more than the estimate is charged to the share.
    token_count cost;
};

/// The caller left; the request may be queued, in flight or unknown.
struct cancelled
{
    request_id request;
};

/// Sent by the shell every 100 ms or so.
struct tick
{
};

/// Weights from the configuration; a workspace that is not named weighs 1.
struct weights_changed
{
    /// Each weight is above 0.
    std::map<workspace_id, double> weights;
};

/// The upstreams of the pool report how many requests they run at once.
struct capacity_changed
{
    std::size_t slots = 0;
};

using event = std::variant<
    arrival, first_token, finished, cancelled, tick, weights_changed,
    capacity_changed>;

/// Send the request to an upstream now.
struct dispatch
{
    request_id request;
    duration queued{};
    /// Its workspace uses more than its share now; the engine gets it with a
    /// low priority.
    bool over_share = false;
};

/// Give the final answer now; the request was not run.
struct refuse
{
    request_id request;
    result_code code = result_code::ok;
    /// Names the rule, for counters and the answer.
    std::string_view reason;
    /// When the caller may come back, from now.
    duration retry_after{};
};

using command = std::variant<dispatch, refuse>;

} // namespace wagtailseam::admission

#endif
