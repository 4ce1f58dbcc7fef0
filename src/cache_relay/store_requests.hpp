// Reads what a cache store says of itself, for gateways and agents alike.
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

/// Polls a store for its changes beyond a number; it holds the answer back for
/// the wait at most while there is none.
/// @errors those of http::client::fetch; upstream_refused: another status than
/// 200; malformed_json, which leaves a log line
boost::asio::awaitable<result<serving::cache_changes>> read_changes(
    http::client& http, const serving::cache_store& store, std::uint64_t after,
    duration wait, duration timeout);

/// Reads the list of all that a store holds, which stalls it for a while.
/// @errors those of http::client::fetch; malformed_json
boost::asio::awaitable<result<serving::cache_content>> read_content(
    http::client& http, const serving::cache_store& store, duration timeout);

} // namespace wagtailseam::cache_relay

#endif
