// Whether and how long a connection of the HTTP client is reused.
#include "http/pooled_connection.hpp"

#include <algorithm>
#include <functional>
#include <linux/sockios.h>
#include <string>
#include <sys/ioctl.h>

namespace wagtailseam::http
{
namespace
{

/// Fraction of the server's Keep-Alive timeout for which the client reuses an
/// idle connection.
constexpr double keep_alive_fraction = 0.7;

using pending_error_option =
    asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR>;

/// Returns how many sent bytes the peer has not acknowledged; 0 if that is
/// unknown.
int unacknowledged_bytes(pooled_connection& conn)
{
    int bytes = 0;
    const auto socket = conn.stream.socket().native_handle();
    return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

/// Takes the error that the kernel has not reported yet.
boost::system::error_code take_pending_error(pooled_connection& conn)
{
    pending_error_option pending;
    boost::system::error_code error;
    conn.stream.socket().get_option(pending, error);
    return error ? error
                 : boost::system::error_code(
                       pending.value(), boost::system::system_category());
}

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
    const bool is_unread = error != asio::error::would_block;
    conn.failed =
        conn.failed || (error && is_unread && error != asio::error::eof);
    return is_unread;
}

result<void> check_end(pooled_connection& conn)
{
    // Also an error behind an ordinary end says that the server dropped a part
    // of the request.
    const auto pending = take_pending_error(conn);
    conn.failed = conn.failed || pending;
    if (conn.failed)
    {
        return fail(
            result_code::stream_broken,
            "an error ended the connection: " +
                (pending ? pending.message() : "reported before the end"));
    }
    if (!conn.write_complete)
    {
        return fail(
            result_code::stream_broken,
            "the connection ended while the request was being written");
    }
    // The end acknowledges all bytes that had arrived before it was sent.
    const int unacknowledged = unacknowledged_bytes(conn);
    if (unacknowledged > 0)
    {
        return fail(
            result_code::stream_broken,
            "the connection ended before the last " +
                std::to_string(unacknowledged) +
                " bytes of the request arrived");
    }
    return boost::outcome_v2::success();
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
