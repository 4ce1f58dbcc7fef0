// Parsing of IP addresses with ports.
#include "http/endpoint.hpp"

#include <charconv>

namespace wagtailseam::http
{

result<boost::asio::ip::tcp::endpoint> parse_endpoint(const address& text)
{
    const std::string& whole = text.value();
    const auto colon = whole.rfind(':');
    if (colon == std::string::npos)
    {
        return fail(result_code::out_of_range, "no port in " + whole);
    }
    boost::system::error_code failed;
    const auto host =
        boost::asio::ip::make_address(whole.substr(0, colon), failed);
    std::uint16_t port = 0;
    const char* const last = whole.data() + whole.size();
    const auto parsed = std::from_chars(whole.data() + colon + 1, last, port);
    if (failed || parsed.ec != std::errc{} || parsed.ptr != last)
    {
        return fail(result_code::out_of_range, "not IP:port: " + whole);
    }
    return boost::asio::ip::tcp::endpoint(host, port);
}

} // namespace wagtailseam::http
