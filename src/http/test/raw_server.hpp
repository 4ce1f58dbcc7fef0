// A server that sends scripted bytes and ends its connections in scripted ways.
#ifndef WAGTAILSEAM_HTTP_TEST_RAW_SERVER_HPP
#define WAGTAILSEAM_HTTP_TEST_RAW_SERVER_HPP

#include "core/clock.hpp"
#include "http/message.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <string>
#include <utility>

namespace wagtailseam::http
{

namespace asio = boost::asio;

class raw_server
{
public:
    using tcp = asio::ip::tcp;
    /// Serves a connection; its socket is closed afterwards.
    using script = std::function<asio::awaitable<void>(tcp::socket&)>;

    static constexpr auto completion =
        asio::experimental::as_tuple(asio::use_awaitable);

    explicit raw_server(
        asio::io_context& context,
        const tcp::endpoint& endpoint = {asio::ip::address_v4::loopback(), 0})
        : acceptor_(context, endpoint)
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] address server_address() const
    {
        return address{
            "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())};
    }
    [[nodiscard]] int accepted_connections() const
    {
        return accepted_connections_;
    }

    /// Limits what the kernel takes from clients before the script reads it.
    void set_receive_buffer(int bytes)
    {
        acceptor_.set_option(tcp::socket::receive_buffer_size(bytes));
    }

    /// Serves the connections that are accepted from now on.
    void serve(script connection_script)
    {
        script_ = std::move(connection_script);
    }

    /// Ends as a process does: new connections are refused.
    void close() { acceptor_.close(); }

    /// Sends a text after the first bytes of a request, and keeps the
    /// connection open.
    void serve_text(std::string text)
    {
        serve(
            [text =
                 std::move(text)](tcp::socket& socket) -> asio::awaitable<void>
            {
                co_await read_some(socket);
                co_await write(socket, text);
                co_await read_to_end(socket);
            });
    }

    static asio::awaitable<void> read_some(tcp::socket& socket)
    {
        std::array<char, 1024> bytes{};
        (void)co_await socket.async_read_some(asio::buffer(bytes), completion);
    }

    static asio::awaitable<void> read_to_end(tcp::socket& socket)
    {
        std::array<char, 65536> bytes{};
        boost::system::error_code error;
        while (!error)
        {
            const auto [read_error, size] = co_await socket.async_read_some(
                asio::buffer(bytes), completion);
            error = read_error;
        }
    }

    static asio::awaitable<void> write(
        tcp::socket& socket, const std::string& text)
    {
        (void)co_await asio::async_write(
            socket, asio::buffer(text), completion);
    }

    static asio::awaitable<void> pause(duration time)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, time);
        (void)co_await timer.async_wait(completion);
    }

    static void reset(tcp::socket& socket)
    {
        socket.set_option(tcp::socket::linger(true, 0));
        socket.close();
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;)
        {
            auto [error, socket] = co_await acceptor_.async_accept(completion);
            if (error)
            {
                co_return;
            }
            ++accepted_connections_;
            asio::co_spawn(
                acceptor_.get_executor(),
                serve_connection(std::move(socket), script_), asio::detached);
        }
    }

    static asio::awaitable<void> serve_connection(
        tcp::socket socket, script connection_script)
    {
        co_await connection_script(socket);
    }

    tcp::acceptor acceptor_;
    script script_;
    int accepted_connections_ = 0;
};

} // namespace wagtailseam::http

#endif
