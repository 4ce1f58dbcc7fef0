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
    std::size_t max_idle = 64;
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
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

    /// Sends a request and returns once the head of its answer is there.
    /// @param before_write called when a connection is there and the first
    ///        byte is about to leave; may be empty
    /// @errors as fetch
    asio::awaitable<result<response_stream>> open(
        address to, request asked, duration timeout,
        std::function<void()> before_write = {});

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace wagtailseam::http

#endif
