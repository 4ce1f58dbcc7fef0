// Explains which upstream a request would be sent to now, and why.
#ifndef WAGTAILSEAM_GATEWAY_PLACEMENT_REPORT_HPP
#define WAGTAILSEAM_GATEWAY_PLACEMENT_REPORT_HPP

#include "gateway/shared_state.hpp"
#include "http/message.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace wagtailseam::gateway
{

/// Path at the metrics address. Its query is the path of the request to
/// explain, whose headers are those of the message.
inline constexpr std::string_view placement_path = "/placement";

/// Assesses the upstreams for a new request as the first attempt would. Sends
/// nothing, takes no share of a limit and changes no state. Without the body, a
/// quarantine of the whole request is not found, only that of a prompt part. A
/// request that resumes a stream is assessed as a new one.
/// Complexity: linear in the number of upstreams.
/// @param received a message to placement_path
[[nodiscard]] nlohmann::json explain_placement(
    const shared_state& state, http::request received);

} // namespace wagtailseam::gateway

#endif
