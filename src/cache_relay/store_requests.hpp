// Requests with which gateways and agents read the content of a cache store.
#ifndef WAGTAILSEAM_CACHE_RELAY_STORE_REQUESTS_HPP
#define WAGTAILSEAM_CACHE_RELAY_STORE_REQUESTS_HPP

#include "core/clock.hpp"
#include "core/result.hpp"
#include "http/client.hpp"
#include "serving/cache_view.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace wagtailseam::cache_relay
{

/// Limit of a response of a cache store. A list has some 50 bytes for each of
/// its parts.
inline constexpr std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;

/// Polls a store for changes with a number greater than `after`. While there
/// are none, the store delays its answer for up to `wait`.
/// @errors those of http::client::fetch; upstream_refused for a status other
/// than 200; malformed_json, which is also logged
boost::asio::awaitable<result<serving::cache_changes>> read_changes(
    http::client& http, const serving::cache_store& store, std::uint64_t after,
    duration wait, duration timeout);

/// Reads the whole content of a store. The listing stalls the store for a
/// while.
/// @errors those of http::client::fetch; malformed_json
boost::asio::awaitable<result<serving::cache_content>> read_content(
    http::client& http, const serving::cache_store& store, duration timeout);

} // namespace wagtailseam::cache_relay

#endif
