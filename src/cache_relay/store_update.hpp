// Datagrams in which agents forward the changes of a cache store to gateways.
// A store serves few concurrent polls, so a few agents poll it for all
// gateways.
#ifndef WAGTAILSEAM_CACHE_RELAY_STORE_UPDATE_HPP
#define WAGTAILSEAM_CACHE_RELAY_STORE_UPDATE_HPP

#include "core/result.hpp"
#include "serving/cache_view.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailseam::cache_relay
{

/// Maximum size of a datagram in bytes, below the usual MTU.
inline constexpr std::size_t max_datagram_bytes = 1400;

struct store_update
{
    serving::service_id store;
    /// Whether the sender has lost the connection to the store; `answer` is
    /// then empty.
    bool unreachable = false;
    serving::cache_changes answer;
};

/// Encodes a store's answer to a poll into one or more datagrams.
///
/// Each datagram begins at the change number at which the previous one ends, so
/// the receiver detects a lost one. An answer with a gap is encoded without
/// changes; gateways that miss some poll the store themselves.
[[nodiscard]] std::vector<std::string> encode(const store_update& update);

/// Returns whether a datagram is a store update; does not validate its content.
[[nodiscard]] bool is_store_update(std::string_view datagram) noexcept;

/// @errors malformed_message
[[nodiscard]] result<store_update> decode(std::string_view datagram);

} // namespace wagtailseam::cache_relay

#endif
