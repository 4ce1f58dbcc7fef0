// Whether and how long a connection of the HTTP client is reused.
#include "http/pooled_connection.hpp"

#include <algorithm>
#include <functional>

namespace wagtailseam::http
{
namespace
{

/// Fraction of the server's Keep-Alive timeout for which the client reuses an
/// idle connection.
constexpr double keep_alive_fraction = 0.7;

} // namespace

void correlation_history::add(std::string_view value)
{
    hashes_.at(added_ % max_values) = std::hash<std::string_view>{}(value);
    ++added_;
}

bool correlation_history::contains(std::string_view value) const
{
    const auto end = hashes_.begin() +
                     static_cast<std::ptrdiff_t>(std::min(added_, max_values));
    return std::find(
               hashes_.begin(), end, std::hash<std::string_view>{}(value)) !=
           end;
}

bool has_unread_input(pooled_connection& conn)
{
    char byte = 0;
    boost::system::error_code error;
    auto& socket = conn.stream.socket();
    socket.non_blocking(true, error);
    socket.receive(
        asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

bool is_usable(pooled_connection& idle)
{
    return monotonic_clock::now() - idle.idle_since <= idle.max_idle_time &&
           !has_unread_input(idle);
}

duration reuse_period(const response& header, duration limit)
{
    const auto timeout = keep_alive_timeout(header);
    return timeout ? std::min(
                         limit, std::chrono::duration_cast<duration>(
                                    *timeout * keep_alive_fraction))
                   : limit;
}

} // namespace wagtailseam::http
