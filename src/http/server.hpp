// An HTTP/1.1 server on Boost.Beast; each request is handled by a coroutine.
#ifndef WAGTAILSEAM_HTTP_SERVER_HPP
#define WAGTAILSEAM_HTTP_SERVER_HPP

#include "core/clock.hpp"
#include "core/result.hpp"
#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace wagtailseam::http
{

namespace asio = boost::asio;

/// One request on a connection and the way to answer it. Lives until the
/// handler's coroutine ends.
class exchange
{
public:
    struct connection;

    exchange(connection& link, request asked);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    [[nodiscard]] const request& received_request() const noexcept
    {
        return request_;
    }
    /// Hands the request over, with its body; received_request() is empty
    /// afterwards.
    [[nodiscard]] request release_request() noexcept
    {
        return std::move(request_);
    }

    /// Sends a whole answer. @errors caller_gone
    asio::awaitable<result<void>> send(response answer);

    /// Sends the head of an answer whose body follows in parts: in chunks, or
    /// as they are when the head names a content_length.
    asio::awaitable<result<void>> begin_stream(response head);
    /// Sends a part of the body; returns when the socket has taken it, so a
    /// slow reader slows the sender. @errors caller_gone
    asio::awaitable<result<void>> write(std::string_view part);
    /// Ends the body. @pre as many bytes as content_length named were written
    asio::awaitable<result<void>> end_stream();

    /// Breaks the connection off, so that an answer that has begun cannot be
    /// taken for a whole one.
    void abort() noexcept;

    /// Calls back once when the caller closes its side before the answer
    /// ends. Not called after the handler has ended.
    void on_caller_disconnect(std::function<void()> callback);

    [[nodiscard]] bool response_started() const noexcept
    {
        return response_started_;
    }
    [[nodiscard]] bool keep_alive() const noexcept;

private:
    /// Notes the end of a write.
    result<void> written(boost::system::error_code failed) noexcept;

    connection& link_;
    request request_;
    bool response_started_ = false;
    bool chunked_ = false;
    std::shared_ptr<std::function<void()>> gone_callback_;
};

using handler = std::function<asio::awaitable<void>(exchange&)>;

/// What a client may send, and how long it may take.
struct server_limits
{
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    /// From the first byte of a request to the end of its headers.
    duration header_timeout = std::chrono::seconds(30);
    /// An idle connection, or one whose body stalls, is closed after this
    /// time.
    duration idle_timeout = std::chrono::seconds(75);
};

struct server_options
{
    /// Where to listen, "host:port"; port 0 takes a free one.
    address listen;
    server_limits limits;
    std::size_t max_connections = 20'000;
    /// A write that does not progress for this time breaks the connection.
    duration write_timeout = std::chrono::seconds(30);
};

/// Listens and serves until stopped. Not thread-safe: one io_context.
class server
{
public:
    /// @throws boost::system::system_error when it cannot listen.
    server(
        const asio::any_io_executor& executor, const server_options& options,
        handler serve);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Limits of requests that begin from now on.
    void set_limits(const server_limits& limits);

    /// Every answer from now on closes its connection; new connections are
    /// still accepted.
    void disable_keep_alive();

    /// Accepts no more connections and closes idle ones; exchanges in
    /// progress go on, and their connections close after the answer.
    void stop_accepting();

    /// Returns the number of exchanges in progress.
    [[nodiscard]] std::size_t active_exchanges() const noexcept;
    /// Returns the port it listens on.
    [[nodiscard]] std::uint16_t port() const noexcept;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace wagtailseam::http

#endif
