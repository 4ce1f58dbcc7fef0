// Parsing of IP addresses with ports.
#include "http/endpoint.hpp"

#include <charconv>

namespace wagtailseam::http
{

result<boost::asio::ip::tcp::endpoint> parse_endpoint(const address& text)
{
    const std::string& input = text.value();
    const auto colon = input.rfind(':');
    // make_address() reads up to the first NUL.
    if (colon == std::string::npos || input.find('\0') != std::string::npos)
    {
        return fail(
            result_code::out_of_range,
            "address has no port or contains a NUL: " + input);
    }
    boost::system::error_code error;
    const auto host =
        boost::asio::ip::make_address(input.substr(0, colon), error);
    std::uint16_t port = 0;
    const char* const last = input.data() + input.size();
    const auto parsed = std::from_chars(input.data() + colon + 1, last, port);
    if (error || parsed.ec != std::errc{} || parsed.ptr != last)
    {
        return fail(
            result_code::out_of_range,
            "address is not of the form IP:port: " + input);
    }
    return boost::asio::ip::tcp::endpoint(host, port);
}

} // namespace wagtailseam::http
