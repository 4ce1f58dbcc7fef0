// Status of an engine, which its agent sends to all gateways in datagrams,
// several times a second. Each datagram is complete, so the next one makes up
// for a lost one.
#ifndef WAGTAILSEAM_ENGINE_STATUS_STATUS_HPP
#define WAGTAILSEAM_ENGINE_STATUS_STATUS_HPP

#include "core/result.hpp"
#include "serving/upstream.hpp"
#include "upstream_speed/speed_estimate.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailseam::engine_status
{

/// Maximum size of a datagram in bytes.
inline constexpr std::size_t max_datagram_bytes = 1400;

struct status
{
    upstream_id upstream;
    /// Increases with each datagram; restarts with each incarnation.
    std::uint64_t sequence_number = 0;
    /// Identifies one run of the agent process.
    std::uint64_t incarnation = 0;
    /// Requests whose prefill is not complete, including queued requests.
    std::uint32_t prompts_waiting = 0;
    /// Requests that are generating tokens.
    std::uint32_t running = 0;
    serving::engine_memory memory;
    /// The engine is loading weights and accepts no requests.
    bool loading = false;
    std::map<model_id, weight_version> weights;
    /// Pending prefill according to the reports of all gateways except the
    /// receiver, which knows its own more recently. Not set if the agent has no
    /// valid report from any gateway.
    std::optional<serving::pending_prefill> prefill_of_other_gateways;
    /// According to all gateways. Not set if too few responses were measured.
    std::optional<upstream_speed::measured_speed> speed;

    friend bool operator==(const status&, const status&) = default;
};

/// Encodes a status as a datagram of some ten bytes per field.
[[nodiscard]] std::string encode(const status& value);

/// @errors malformed_message
[[nodiscard]] result<status> decode_status(std::string_view datagram);

} // namespace wagtailseam::engine_status

#endif
