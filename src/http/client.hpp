// An HTTP/1.1 client with kept connections on Boost.Beast.
#ifndef WAGTAILSEAM_HTTP_CLIENT_HPP
#define WAGTAILSEAM_HTTP_CLIENT_HPP

#include "core/clock.hpp"
#include "core/result.hpp"
#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace wagtailseam::http
{

namespace asio = boost::asio;

struct client_options
{
    duration connect_timeout = std::chrono::milliseconds(500);
    /// Idle connections kept for each address.
    std::size_t max_idle_connections = 64;
    /// A connection that was idle for longer is not used again.
    duration max_idle_time = std::chrono::seconds(60);
    /// Breaks a connection whose bytes are not acknowledged for this time
    /// (TCP_USER_TIMEOUT); zero leaves it to the operating system.
    duration tcp_user_timeout{};
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
};

/// Ends a call from outside, whatever it waits for.
class cancellation_handle
{
public:
    /// The call fails soon. A call that has not begun will not begin.
    void cancel() noexcept;
    [[nodiscard]] bool cancelled() const noexcept { return cancelled_; }

private:
    friend class client;

    bool cancelled_ = false;
    /// Closes the call's connection; empty while there is none.
    std::function<void()> close_;
};

struct open_options
{
    /// Until the head of the answer is there.
    duration timeout{};
    /// Zero: that of the client.
    duration connect_timeout{};
    /// Never on a connection that served an earlier request: such a one may
    /// have been closed unnoticed, and then the request's fate is unknown.
    bool force_new_connection = false;
    /// A header that the server repeats in its answer. An answer with another
    /// value belongs to an earlier request and is dropped. Empty: none.
    std::string correlation_header;
    /// Called when a connection is there and the first byte is about to
    /// leave; may be empty.
    std::function<void()> before_write;
    /// May be empty.
    std::shared_ptr<cancellation_handle> cancellation;
};

/// The body of an answer, read in parts.
class response_stream
{
public:
    struct state;

    explicit response_stream(std::unique_ptr<state> opened);
    ~response_stream();
    response_stream(response_stream&& other) noexcept;
    response_stream& operator=(response_stream&& other) noexcept;
    response_stream(const response_stream&) = delete;
    response_stream& operator=(const response_stream&) = delete;

    /// Returns the answer's status and headers; its body is empty.
    [[nodiscard]] const response& head() const noexcept;

    /// Returns the next bytes of the body, none at its end. The view lives
    /// until the next call. @errors stream_broken
    asio::awaitable<result<std::string_view>> read(duration timeout);

    /// Breaks the connection; a pending read ends with stream_broken.
    void close() noexcept;

private:
    std::unique_ptr<state> state_;
};

/// Sends requests; connections are kept and used again. Not thread-safe.
class client
{
public:
    explicit client(
        const asio::any_io_executor& executor,
        const client_options& options = {});
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sends a request and reads the whole answer.
    /// @errors upstream_unreachable: no connection, so nothing was sent.
    ///         stream_broken: the request may have been received.
    asio::awaitable<result<response>> fetch(
        address to, request asked, duration timeout);

    /// Sends a request and returns once the head of its answer is there. An
    /// answer that comes before the request is sent whole is returned too;
    /// its connection is not used again.
    /// @errors as fetch
    asio::awaitable<result<response_stream>> open(
        address to, request asked, open_options how);
    /// @copydoc open
    asio::awaitable<result<response_stream>> open(
        address to, request asked, duration timeout,
        std::function<void()> before_write = {});

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace wagtailseam::http

#endif
