// Reads "host:port" addresses for the sockets of this slice.
#ifndef WAGTAILSEAM_HTTP_ENDPOINT_HPP
#define WAGTAILSEAM_HTTP_ENDPOINT_HPP

#include "core/result.hpp"
#include "http/message.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace wagtailseam::http
{

/// Reads an address; host must be an IP number. @errors out_of_range
[[nodiscard]] result<boost::asio::ip::tcp::endpoint> parse_endpoint(
    const address& text);

} // namespace wagtailseam::http

#endif
