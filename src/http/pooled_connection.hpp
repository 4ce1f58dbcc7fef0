// A connection of the HTTP client that may serve several requests in sequence.
#ifndef WAGTAILSEAM_HTTP_POOLED_CONNECTION_HPP
#define WAGTAILSEAM_HTTP_POOLED_CONNECTION_HPP

#include "core/clock.hpp"
#include "core/result.hpp"
#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core.hpp>

#include <array>
#include <cstddef>
#include <string_view>

namespace wagtailseam::http
{

namespace asio = boost::asio;

/// Limit of received bytes that are not parsed yet. It is above any limit of a
/// header, and ends a chunk header without end.
inline constexpr std::size_t max_buffered_bytes = std::size_t{64} * 1024;

/// The correlation values of the last requests on a connection, as hashes.
class correlation_history
{
public:
    void add(std::string_view value);
    /// Returns whether a request with this value was sent. True also if another
    /// value has the same hash.
    [[nodiscard]] bool contains(std::string_view value) const;

private:
    static constexpr std::size_t max_values = 64;

    /// A ring; its first `added_` elements are set.
    std::array<std::size_t, max_values> hashes_{};
    std::size_t added_ = 0;
};

struct pooled_connection
{
    explicit pooled_connection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{max_buffered_bytes};
    /// False while a request is being written, and after a failed write.
    bool write_complete = true;
    /// Whether an operation on the socket has reported an error. The kernel
    /// reports an error once; later reads see an ordinary end.
    bool failed = false;
    bool is_pooled = false;
    /// Whether an earlier request was sent on it.
    bool is_reused = false;
    correlation_history sent;
    /// When it was established, after a process had accepted it.
    mono_time connected_at;
    /// When the connection was returned to the pool.
    mono_time idle_since;
    /// How long it may stay in the pool.
    duration max_idle_time{};
};

/// Returns whether bytes or the end of the connection can be read.
[[nodiscard]] bool has_unread_input(pooled_connection& conn);

/// Checks that the end of the connection, which has been read, marks the end of
/// a response.
/// @errors stream_broken: the server has not received the whole request, or an
///         error ended the connection
[[nodiscard]] result<void> check_end(pooled_connection& conn);

/// Returns whether an idle connection can be reused. Pending bytes or an end of
/// stream mean that the server has closed it or sent unexpected data.
[[nodiscard]] bool is_usable(pooled_connection& idle);

/// Returns how long to reuse an idle connection: a fraction of the time for
/// which the server keeps it, at most `limit`.
[[nodiscard]] duration reuse_period(const response& header, duration limit);

} // namespace wagtailseam::http

#endif
