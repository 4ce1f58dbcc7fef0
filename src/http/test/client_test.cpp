// Tests of the HTTP client against a server that sends scripted bytes.
#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>

namespace wagtailseam::http
{
namespace
{

using tcp = asio::ip::tcp;
using std::chrono::seconds;

/// Runs a loopback server that sends predefined responses.
class client_fixture : public testing::Test
{
protected:
    client_fixture()
        : acceptor_(
              context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
    }

    [[nodiscard]] address server_address() const
    {
        return address{
            "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())};
    }

    /// Accepts one connection and sends the responses on it in order.
    /// @param read_requests whether to read a request before each response
    void serve(std::vector<std::string> responses, bool read_requests = true)
    {
        asio::co_spawn(
            context_, serve_connection(std::move(responses), read_requests),
            asio::detached);
    }

    asio::awaitable<void> serve_connection(
        std::vector<std::string> responses, bool read_requests)
    {
        auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
        ++accepted_connections_;
        std::array<char, 65536> bytes{};
        for (const auto& response_text : responses)
        {
            if (read_requests)
            {
                co_await socket.async_read_some(
                    asio::buffer(bytes), asio::use_awaitable);
            }
            co_await asio::async_write(
                socket, asio::buffer(response_text), asio::use_awaitable);
        }
        // Keeps the connection open until the test ends.
        sockets_.push_back(std::move(socket));
    }

    [[nodiscard]] static request make_request(const std::string& id)
    {
        request message;
        message.headers.emplace_back("Id", id);
        return message;
    }

    [[nodiscard]] static std::string make_response(
        const std::string& id, const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\nId: " + id +
               "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    /// Returns the body of the response, or a text that names the failure.
    asio::awaitable<std::string> fetch_body(
        request message, open_options options)
    {
        options.timeout = seconds(5);
        options.correlation_header = "Id";
        auto opened = co_await client_.open(
            server_address(), std::move(message), std::move(options));
        if (!opened)
        {
            co_return "error " + std::string(name(opened.error().code));
        }
        auto stream = std::move(opened).value();
        std::string body;
        for (;;)
        {
            const auto part = co_await stream.read(seconds(5));
            if (!part)
            {
                co_return "broken";
            }
            if (part.value().empty())
            {
                co_return body;
            }
            body += part.value();
        }
    }

    /// Sends two requests in sequence and returns both bodies.
    asio::awaitable<std::string> fetch_two_bodies()
    {
        auto first = make_request("1");
        auto second = make_request("2");
        open_options first_options;
        open_options second_options;
        const auto first_body =
            co_await fetch_body(std::move(first), std::move(first_options));
        const auto second_body =
            co_await fetch_body(std::move(second), std::move(second_options));
        co_return first_body + " " + second_body;
    }

    /// Runs the coroutine to its end and returns its result.
    template <class T>
    T run(asio::awaitable<T> coroutine)
    {
        std::optional<T> outcome;
        asio::co_spawn(
            context_, std::move(coroutine),
            [&](std::exception_ptr, T value)
            {
                outcome = std::move(value);
                context_.stop();
            });
        context_.restart();
        context_.run();
        return std::move(outcome).value();
    }

    asio::io_context context_{1};
    tcp::acceptor acceptor_;
    std::vector<tcp::socket> sockets_;
    int accepted_connections_ = 0;
    client client_{context_.get_executor()};
};

TEST_F(client_fixture, late_response_to_earlier_request_is_discarded)
{
    serve(
        {make_response("1", "first"),
         make_response("1", "again") + make_response("2", "second")});
    EXPECT_EQ(run(fetch_two_bodies()), "first second");
    EXPECT_EQ(accepted_connections_, 1);
}

/// Guards against an exception that leaves the caller's state half updated.
TEST_F(client_fixture, request_that_is_no_http_message_is_not_sent)
{
    const auto open = [this]() -> asio::awaitable<void>
    {
        request message;
        message.method = "TRACE";
        message.target = "/";
        message.body = "text";
        bool is_written = false;
        open_options options{
            .timeout = seconds(1), .before_write = [&] { is_written = true; }};
        const auto opened = co_await client_.open(
            server_address(), std::move(message), std::move(options));
        EXPECT_FALSE(opened.has_value());
        EXPECT_EQ(opened.error().code, result_code::malformed_message);
        EXPECT_FALSE(is_written);
    };
    asio::co_spawn(context_, open(), asio::detached);
    context_.run_for(seconds(1));
}

TEST_F(client_fixture, connection_with_unexpected_bytes_is_not_reused)
{
    serve({make_response("1", "first") + "HTTP/1.1 200 OK\r\nId: 1\r\n"});
    serve({make_response("2", "second")});
    EXPECT_EQ(run(fetch_two_bodies()), "first second");
    EXPECT_EQ(accepted_connections_, 2);
}

/// Guards against an idle connection that stays open while its server sends
/// bytes without end, or after its server closed it.
TEST_F(client_fixture, idle_connection_with_unexpected_bytes_or_end_is_closed)
{
    for (const std::string unexpected : {"x", ""})
    {
        bool closed_by_client = false;
        auto serve_and_wait = [&]() -> asio::awaitable<void>
        {
            auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
            std::array<char, 4096> bytes{};
            co_await socket.async_read_some(
                asio::buffer(bytes), asio::use_awaitable);
            const auto text = make_response("1", "first");
            co_await asio::async_write(
                socket, asio::buffer(text), asio::use_awaitable);
            asio::steady_timer timer(context_, std::chrono::milliseconds(20));
            co_await timer.async_wait(asio::use_awaitable);
            co_await asio::async_write(
                socket, asio::buffer(unexpected), asio::use_awaitable);
            if (unexpected.empty())
            {
                socket.shutdown(tcp::socket::shutdown_send);
            }
            try
            {
                co_await socket.async_read_some(
                    asio::buffer(bytes), asio::use_awaitable);
            }
            catch (const boost::system::system_error&)
            {
                closed_by_client = true;
            }
        };
        asio::co_spawn(context_, serve_and_wait(), asio::detached);
        EXPECT_EQ(run(fetch_body(make_request("1"), {})), "first");
        context_.restart();
        context_.run_for(std::chrono::milliseconds(100));
        EXPECT_TRUE(closed_by_client) << '"' << unexpected << '"';
    }
}

TEST_F(client_fixture, force_new_connection_does_not_reuse_connection)
{
    serve({make_response("1", "first")});
    serve({make_response("2", "second")});
    auto fetch_both = [this]() -> asio::awaitable<std::string>
    {
        auto first = make_request("1");
        auto second = make_request("2");
        open_options first_options;
        open_options second_options{.force_new_connection = true};
        (void)co_await fetch_body(std::move(first), std::move(first_options));
        co_return co_await fetch_body(
            std::move(second), std::move(second_options));
    };
    EXPECT_EQ(run(fetch_both()), "second");
    EXPECT_EQ(accepted_connections_, 2);
}

TEST_F(client_fixture, response_sent_before_large_body_is_read_is_received)
{
    serve({make_response("1", "early")}, false);
    auto message = make_request("1");
    message.method = "POST";
    // Exceeds the socket buffers while the server does not read.
    message.body.assign(std::size_t{64} * 1024 * 1024, 'x');
    open_options options;
    EXPECT_EQ(run(fetch_body(std::move(message), std::move(options))), "early");
}

TEST_F(client_fixture, interim_response_is_skipped)
{
    serve({"HTTP/1.1 100 Continue\r\n\r\n" + make_response("1", "final")});
    EXPECT_EQ(run(fetch_body(make_request("1"), {})), "final");
}

TEST_F(client_fixture, truncated_response_is_reported_as_broken)
{
    auto send_truncated_response = [this]() -> asio::awaitable<void>
    {
        auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
        const std::string text =
            "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf";
        co_await asio::async_write(
            socket, asio::buffer(text), asio::use_awaitable);
        std::array<char, 4096> bytes{};
        co_await socket.async_read_some(
            asio::buffer(bytes), asio::use_awaitable);
    };
    asio::co_spawn(context_, send_truncated_response(), asio::detached);
    EXPECT_EQ(run(fetch_body(make_request("1"), {})), "broken");
}

TEST_F(client_fixture, cancelled_request_fails_while_server_does_not_respond)
{
    serve({}, false);
    open_options options{
        .cancellation = std::make_shared<cancellation_handle>()};
    const auto cancellation = options.cancellation;
    asio::steady_timer timer(context_, std::chrono::milliseconds(50));
    timer.async_wait([cancellation](auto) { cancellation->cancel(); });
    EXPECT_EQ(
        run(fetch_body(make_request("1"), std::move(options))),
        "error stream_broken");
}

TEST_F(client_fixture, closed_port_is_unreachable_and_nothing_is_sent)
{
    acceptor_.listen();
    const auto port = acceptor_.local_endpoint().port();
    acceptor_.close();
    bool write_started = false;
    auto attempt = [&]() -> asio::awaitable<std::string>
    {
        auto message = make_request("1");
        open_options options{.timeout = seconds(5), .before_write = [&] {
                                 write_started = true;
                             }};
        auto opened = co_await client_.open(
            address{"127.0.0.1:" + std::to_string(port)}, std::move(message),
            std::move(options));
        co_return opened ? "opened" : std::string(name(opened.error().code));
    };
    EXPECT_EQ(run(attempt()), "upstream_unreachable");
    EXPECT_FALSE(write_started);
}

// A process that is short of processor time gets few turns in its io_context.
TEST_F(client_fixture, large_body_is_read_in_few_turns)
{
    constexpr std::size_t body_bytes = std::size_t{256} * 1024;
    constexpr std::size_t buffer_bytes = std::size_t{64} * 1024;
    serve(
        {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n" +
         std::string(body_bytes, 'x')});
    std::size_t parts = 0;
    std::size_t received = 0;
    asio::co_spawn(
        context_,
        [&]() -> asio::awaitable<void>
        {
            client reader(
                context_.get_executor(), {.read_buffer_bytes = buffer_bytes});
            auto opened = co_await reader.open(
                server_address(), make_request("a"), seconds(5));
            asio::steady_timer arrival(context_, std::chrono::milliseconds(50));
            co_await arrival.async_wait(asio::use_awaitable);
            for (bool ended = !opened; !ended;)
            {
                const auto part = co_await opened.value().read(seconds(5));
                ended = !part || part.value().empty();
                received += ended ? 0 : part.value().size();
                parts += ended ? 0U : 1U;
            }
            context_.stop();
        },
        asio::detached);
    context_.run_for(seconds(10));
    EXPECT_EQ(received, body_bytes);
    // The first part only fills the rest of the buffer that held the header.
    EXPECT_LE(parts, 2 * body_bytes / buffer_bytes + 1);
}

} // namespace
} // namespace wagtailseam::http
