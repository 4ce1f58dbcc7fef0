// Reports a finished request: one log line, counters and latencies.
#ifndef WAGTAILSEAM_GATEWAY_REQUEST_RECORD_HPP
#define WAGTAILSEAM_GATEWAY_REQUEST_RECORD_HPP

#include "gateway/dispatch_plan.hpp"
#include "http/client.hpp"
#include "serving/load_balancer.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace wagtailseam::gateway
{

struct request_record
{
    unsigned status = 0;
    result_code code = result_code::ok;
    /// Messages sent to upstreams, whatever their outcome.
    std::uint32_t dispatches = 0;
    /// Dispatches that an upstream may have started to execute.
    std::uint32_t executions = 0;
    /// Name of the result of the last attempt.
    std::string last_result = "none";
    std::optional<upstream_id> last_upstream;
    /// Software version of the last upstream.
    serving::software_version last_software;
    std::optional<duration> first_byte;
    /// Framing of the last upstream's response; unset before its header.
    std::optional<http::body_framing> framing;
    /// Size of the incomplete event at the end of that response.
    std::size_t incomplete_event_bytes = 0;
    duration expected_wait{};
    /// Set if the request is quarantined.
    std::optional<quarantine::quarantined> quarantine;
    /// Upstreams that took no requests of this gateway because of their own
    /// statements, if that is why it was refused.
    std::set<upstream_process> restricted_upstreams;
    /// Set if it was refused because all queues were full.
    std::optional<serving::all_overloaded> overload;
    /// Data about the last dispatch.
    dispatch_summary dispatch;
};

/// Updates the metrics and writes the log line. Omits the lines of requests
/// that succeeded at the first attempt when their line budget is exhausted.
void record_request_end(
    shared_state& state, const accepted_request& request,
    const request_record& record);

} // namespace wagtailseam::gateway

#endif
