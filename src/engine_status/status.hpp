// The word of an agent to all gateways about its engine, sent several times a
// second in datagrams. A lost one is made up by the next.
#ifndef WAGTAILSEAM_ENGINE_STATUS_STATUS_HPP
#define WAGTAILSEAM_ENGINE_STATUS_STATUS_HPP

#include "core/result.hpp"
#include "serving/upstream.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailseam::engine_status
{

/// Longer datagrams are not sent.
inline constexpr std::size_t max_datagram_bytes = 1400;

struct status
{
    upstream_id upstream;
    /// Counts an agent's datagrams; starts anew with each of its lives.
    std::uint64_t sequence_number = 0;
    /// Names the agent's life.
    std::uint64_t incarnation = 0;
    /// Requests whose prompt is not read yet, queued ones included.
    std::uint32_t prompts_waiting = 0;
    /// Requests that make tokens.
    std::uint32_t running = 0;
    /// Takes no request until it has loaded weights.
    bool loading = false;
    std::map<model_id, weight_version> weights;
    /// What gateways claim to have there: all of them but the receiver, whose
    /// own claim may have changed meanwhile. Nothing when none speaks.
    std::optional<serving::unread_work> prefill_of_other_gateways;

    friend bool operator==(const status&, const status&) = default;
};

/// Returns a datagram of some ten bytes for each field.
[[nodiscard]] std::string encode(const status& said);

/// @errors malformed_message
[[nodiscard]] result<status> decode_status(std::string_view datagram);

} // namespace wagtailseam::engine_status

#endif
