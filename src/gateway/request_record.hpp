// What is told of a request at its end: one log line, counters, latencies.
#ifndef WAGTAILSEAM_GATEWAY_REQUEST_RECORD_HPP
#define WAGTAILSEAM_GATEWAY_REQUEST_RECORD_HPP

#include "gateway/dispatch_plan.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace wagtailseam::gateway
{

struct request_record
{
    unsigned status = 0;
    result_code code = result_code::ok;
    /// Messages that left, whatever became of them.
    std::uint32_t sent = 0;
    /// Upstreams that may have begun to run it.
    std::uint32_t runs = 0;
    /// How the last attempt ended.
    std::string last_end = "none";
    std::optional<upstream_id> last_upstream;
    std::optional<duration> first_byte;
    duration expected_wait{};
    /// Of the last message.
    dispatch_facts dispatch;
};

/// Writes the line, but for requests served at once beyond their budget of
/// lines, and counts.
void tell(
    shared_state& known, const accepted_request& asked,
    const request_record& record);

} // namespace wagtailseam::gateway

#endif
