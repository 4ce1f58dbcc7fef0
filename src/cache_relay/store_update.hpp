// News of a cache store that an agent passes on to gateways in datagrams. A
// store answers few polls at once, so a few agents poll it for all gateways.
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

/// Longer datagrams are not sent: below the usual MTU.
inline constexpr std::size_t max_datagram = 1400;

struct store_update
{
    serving::service_id store;
    /// The sender cannot reach the store any more; `answer` is empty then.
    bool unreachable = false;
    serving::cache_changes answer;
};

/// Returns datagrams that together hold a store's answer: each continues where
/// the one before ends, so a lost one is noticed. A gap is not passed on: the
/// store_update then holds no changes, and gateways that lack some ask
/// themselves.
[[nodiscard]] std::vector<std::string> encode(const store_update& update);

/// Whether a datagram holds a store_update, whatever its content.
[[nodiscard]] bool is_store_update(std::string_view datagram) noexcept;

/// @errors malformed_message
[[nodiscard]] result<store_update> decode(std::string_view datagram);

} // namespace wagtailseam::cache_relay

#endif
