// An HTTP/1.1 server based on Boost.Beast; a coroutine handles each request.
#ifndef WAGTAILSEAM_HTTP_SERVER_HPP
#define WAGTAILSEAM_HTTP_SERVER_HPP

#include "core/clock.hpp"
#include "core/result.hpp"
#include "http/body_budget.hpp"
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

/// A request and the means to send its response. Valid until the coroutine of
/// the handler ends.
class exchange
{
public:
    struct connection;

    exchange(connection& conn, request message);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    [[nodiscard]] const request& received_request() const noexcept
    {
        return request_;
    }
    /// Moves the request out; received_request() must not be used afterwards.
    [[nodiscard]] request release_request() noexcept
    {
        return std::move(request_);
    }

    /// Sends a complete response. @errors caller_gone
    asio::awaitable<result<void>> send(response message);

    /// Sends the header of a response whose body follows in calls of write():
    /// chunked unless the header has a content_length. @errors caller_gone
    asio::awaitable<result<void>> begin_stream(response header);
    /// Sends a part of the body. Returns when the socket has accepted it, so a
    /// slow caller exerts back pressure. @errors caller_gone
    asio::awaitable<result<void>> write(std::string_view part);
    /// Ends the body. @errors caller_gone
    /// @pre content_length bytes were written, if the header has that field
    asio::awaitable<result<void>> end_stream();

    /// Closes the connection, so that the caller does not mistake a partial
    /// response for a complete one.
    void abort() noexcept;

    /// Returns whether the caller has not closed its side of the connection.
    /// Unlike the callback below, this does not wait for a turn in the
    /// io_context, and so also shows what has happened since the last one.
    [[nodiscard]] bool is_caller_connected();
    /// Registers a callback that runs at most once, when the caller closes its
    /// side of the connection before the handler ends.
    void on_caller_disconnect(std::function<void()> callback);

    [[nodiscard]] bool response_started() const noexcept
    {
        return response_started_;
    }
    [[nodiscard]] bool keep_alive() const noexcept;

private:
    /// Converts the result of a write; a failure disables keep-alive.
    result<void> write_result(boost::system::error_code error) noexcept;

    connection& conn_;
    request request_;
    bool response_started_ = false;
    const bool is_head_request_;
    /// Whether the response has a body. What is written is dropped otherwise.
    bool has_body_ = true;
    bool chunked_ = false;
    /// Shared with the pending wait for a disconnect; emptied by the
    /// destructor.
    std::shared_ptr<std::function<void()>> disconnect_callback_;
};

using handler = std::function<asio::awaitable<void>(exchange&)>;

/// Limits on the size and the duration of requests.
struct server_limits
{
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    /// From the first byte of a request to the end of its headers.
    duration header_timeout = std::chrono::seconds(30);
    /// Time to wait for the first byte of a request, and for its body.
    duration idle_timeout = std::chrono::seconds(75);
};

/// A connection that the server closed because no request arrived in time.
struct idle_closure
{
    /// Time since the connection became idle. Exceeds the limit if the process
    /// was not able to run the handler of the timer.
    duration idle;
    duration limit;
    /// Bytes that had arrived and were not read.
    std::size_t unread_bytes = 0;
};

/// Why the server ended an unfinished request or closed a connection.
enum class eviction_reason : std::uint8_t
{
    /// The bodies of all requests exceed their memory.
    body_memory,
    /// Another connection was accepted at the limit.
    connection_limit,
};

[[nodiscard]] std::string_view name(eviction_reason reason) noexcept;

/// A connection that the server closed in favour of others.
struct eviction
{
    eviction_reason reason = eviction_reason::body_memory;
    /// Memory of the unfinished request.
    std::size_t request_bytes = 0;
    /// Time since bytes last arrived.
    duration silence{};
};

struct server_options
{
    /// Address to listen on; port 0 selects a free port.
    address listen;
    server_limits limits;
    /// Added to the time limits of requests: a slow link delays bytes that a
    /// caller sent in time.
    duration late_arrival_allowance = std::chrono::seconds(5);
    /// Called after an idle connection was closed; may be empty.
    std::function<void(const idle_closure&)> on_idle_closure;
    /// Called after an eviction; may be empty.
    std::function<void(const eviction&)> on_eviction;
    body_budget_options body_budget;
    /// At this number the connection from which no bytes have arrived for
    /// longest is closed in favour of a new one, unless its request is being
    /// handled.
    std::size_t max_connections = 20'000;
    /// A connection is closed when a write does not complete in this time.
    duration write_timeout = std::chrono::seconds(30);
};

/// Serves requests until stopped. Not thread-safe: all members must be called
/// from the thread that runs the executor.
class server
{
public:
    /// Starts to listen. @throws boost::system::system_error when this fails
    server(
        const asio::any_io_executor& executor, const server_options& options,
        handler request_handler);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Sets the limits for requests that begin afterwards. The budget for
    /// bodies has room for several of the largest size, whatever its options.
    void set_limits(const server_limits& limits);

    /// Closes each connection after its next response. New connections are
    /// still accepted.
    void disable_keep_alive();

    /// Stops accepting connections and closes idle ones. Requests of which a
    /// part has arrived are served; their connections are closed afterwards.
    void stop_accepting();

    /// Returns the number of requests received in part or not answered yet.
    [[nodiscard]] std::size_t active_exchanges() const noexcept;
    /// Returns the port that the server listens on.
    [[nodiscard]] std::uint16_t port() const noexcept;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace wagtailseam::http

#endif
