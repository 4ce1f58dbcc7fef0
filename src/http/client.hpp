// An HTTP/1.1 client with a connection pool, based on Boost.Beast.
#ifndef WAGTAILSEAM_HTTP_CLIENT_HPP
#define WAGTAILSEAM_HTTP_CLIENT_HPP

#include "core/clock.hpp"
#include "core/result.hpp"
#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>

namespace wagtailseam::http
{

namespace asio = boost::asio;

/// Read buffer for streams and other short parts.
inline constexpr std::size_t small_read_buffer_bytes = std::size_t{4} * 1024;

struct client_options
{
    duration connect_timeout = std::chrono::milliseconds(500);
    /// Limit per server address.
    std::size_t max_idle_connections = 64;
    /// Connections that were idle for longer are not reused.
    duration max_idle_time = std::chrono::seconds(60);
    /// Value of the TCP_USER_TIMEOUT socket option: how long sent data may stay
    /// unacknowledged before the connection is closed. Zero leaves the system
    /// default.
    duration tcp_user_timeout{};
    std::size_t max_header_bytes = std::size_t{8} * 1024;
    /// Longest part of a body that is read at once. Each part waits for its
    /// turn in the io_context, which is long if the process is short of
    /// processor time.
    std::size_t read_buffer_bytes = small_read_buffer_bytes;
    /// A longer body, or a header that announces one, fails the request.
    std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
};

struct pooled_connection;

/// Cancels a request, whichever operation it is waiting for.
class cancellation_handle
{
public:
    /// Closes the connection of a request in progress, which makes it fail. A
    /// request that has not been sent yet is not sent.
    void cancel() noexcept;
    [[nodiscard]] bool cancelled() const noexcept { return cancelled_; }
    /// Returns whether bytes or the end of the connection have arrived that
    /// this process has not read yet.
    [[nodiscard]] bool has_unread_input() const;

private:
    friend class client;

    bool cancelled_ = false;
    /// The connection of the request; null until one is established.
    std::weak_ptr<pooled_connection> connection_;
};

struct open_options
{
    /// Time to send the request and to receive the response header.
    duration timeout{};
    /// Overrides the connect timeout of the client unless it is zero.
    duration connect_timeout{};
    /// Does not reuse a pooled connection. The server may have closed it
    /// unnoticed, and then it is unknown whether the request was processed.
    bool force_new_connection = false;
    /// Name of a header field that the server copies from the request to the
    /// response. A response with another value, or with none on a reused
    /// connection, belongs to an earlier request and is discarded. A connection
    /// is not reused for a value that was sent on it recently. Empty disables
    /// these checks.
    std::string correlation_header;
    /// Called once the connection is established, before the first byte is
    /// written; may be empty.
    std::function<void()> before_write;
    /// May be null.
    std::shared_ptr<cancellation_handle> cancellation;
};

/// A response whose body is read incrementally.
class response_stream
{
public:
    struct state;

    explicit response_stream(std::unique_ptr<state> initial_state);
    ~response_stream();
    response_stream(response_stream&& other) noexcept;
    response_stream& operator=(response_stream&& other) noexcept;
    response_stream(const response_stream&) = delete;
    response_stream& operator=(const response_stream&) = delete;

    /// Returns the status and the header fields; the body is empty.
    [[nodiscard]] const response& head() const noexcept;

    [[nodiscard]] body_framing framing() const noexcept;

    /// Returns when the connection that carries the response was established.
    [[nodiscard]] mono_time connected_at() const noexcept;

    /// Returns the next part of the body, or an empty view at its end. The view
    /// is valid until the next call.
    /// @param timeout the call fails if it is not positive, also if data is
    ///        available
    /// @errors stream_broken; also if only the end of the connection marks the
    ///         end of the body, and it came before the server had received the
    ///         whole request, or by an error
    asio::awaitable<result<std::string_view>> read(duration timeout);

    /// Closes the connection; a pending read fails with stream_broken.
    void close() noexcept;

private:
    std::unique_ptr<state> state_;
};

/// Reads the rest of a response. @return its header and whole body
/// @param max_bytes a longer body is given up; the limit of the client holds
/// too
/// @errors stream_broken: the body broke off, is too long or did not end in
/// time
asio::awaitable<result<response>> read_to_end(
    response_stream stream, duration timeout,
    std::size_t max_bytes = std::numeric_limits<std::size_t>::max());

/// Sends requests over pooled connections. Not thread-safe. Waits for the end
/// of idle connections, so an io_context does not run out of work while there
/// are any.
class client
{
public:
    explicit client(
        const asio::any_io_executor& executor,
        const client_options& options = {});
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sends a request and reads the whole response within the timeout.
    /// @errors malformed_message: it cannot be encoded; nothing was sent.
    ///         upstream_unreachable: no connection; nothing was sent.
    ///         stream_broken: the server may have received the request.
    /// @param cancellation may be null
    asio::awaitable<result<response>> fetch(
        address server, request message, duration timeout,
        std::shared_ptr<cancellation_handle> cancellation = nullptr);

    /// Sends a request and returns after the response header was received. A
    /// response may arrive before the request is written completely; its
    /// connection is not reused unless the write has ended by then.
    /// @errors as fetch
    asio::awaitable<result<response_stream>> open(
        address server, request message, open_options options);
    /// @copydoc open
    asio::awaitable<result<response_stream>> open(
        address server, request message, duration timeout,
        std::function<void()> before_write = {});

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace wagtailseam::http

#endif
