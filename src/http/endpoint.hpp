// Conversion of "host:port" addresses to Asio endpoints.
#ifndef WAGTAILSEAM_HTTP_ENDPOINT_HPP
#define WAGTAILSEAM_HTTP_ENDPOINT_HPP

#include "core/result.hpp"
#include "http/message.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace wagtailseam::http
{

/// Parses an address whose host is an IP address; names are not resolved.
/// @errors out_of_range
[[nodiscard]] result<boost::asio::ip::tcp::endpoint> parse_endpoint(
    const address& text);

} // namespace wagtailseam::http

#endif
