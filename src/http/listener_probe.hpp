// Checks whether a server listens on its port.
#ifndef WAGTAILSEAM_HTTP_LISTENER_PROBE_HPP
#define WAGTAILSEAM_HTTP_LISTENER_PROBE_HPP

#include "core/clock.hpp"
#include "http/message.hpp"

#include <boost/asio/awaitable.hpp>

namespace wagtailseam::http
{

/// Enough for a round trip between data centres.
inline constexpr std::chrono::milliseconds listener_probe_timeout{50};

/// Opens and closes a connection to a server.
/// @return true if the connection was refused, so that no process listens on
///         the port; false if it was accepted or nothing answered in time
boost::asio::awaitable<bool> is_port_closed(
    address server, duration timeout = listener_probe_timeout);

} // namespace wagtailseam::http

#endif
