// A server that stops while a request is on its way on an idle connection.
#include "http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <string>

namespace wagtailseam::http
{
namespace
{

using asio::ip::tcp;
using std::chrono::milliseconds;

class stopping_server_fixture : public testing::Test
{
protected:
    asio::awaitable<void> serve(exchange& served)
    {
        served.on_caller_disconnect([this] { ++disconnects_; });
        asio::steady_timer timer(context_, milliseconds(20));
        co_await timer.async_wait(asio::use_awaitable);
        response empty;
        (void)co_await served.send(std::move(empty));
    }

    void send_request()
    {
        const std::string text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        asio::write(caller_, asio::buffer(text));
    }

    /// Runs the server for a while, then returns what the caller received.
    std::string receive()
    {
        context_.run_for(milliseconds(200));
        std::array<char, 4096> bytes{};
        boost::system::error_code error;
        caller_.non_blocking(true);
        const auto size = caller_.read_some(asio::buffer(bytes), error);
        return {bytes.data(), size};
    }

    asio::io_context context_{1};
    server server_{
        context_.get_executor(),
        {.listen = address{"127.0.0.1:0"}},
        [this](exchange& served) { return serve(served); }};
    tcp::socket caller_{context_};
    int disconnects_ = 0;
};

/// The server closes its receiving side, which looks like the caller's end of
/// the connection.
TEST_F(
    stopping_server_fixture,
    request_received_before_the_stop_is_answered_and_not_taken_for_abandoned)
{
    caller_.connect({asio::ip::address_v4::loopback(), server_.port()});
    send_request();
    EXPECT_TRUE(receive().starts_with("HTTP/1.1 200"));
    send_request();
    server_.stop_accepting();
    EXPECT_TRUE(receive().starts_with("HTTP/1.1 200"));
    EXPECT_EQ(disconnects_, 0);
}

TEST_F(stopping_server_fixture, caller_that_leaves_is_noticed)
{
    caller_.connect({asio::ip::address_v4::loopback(), server_.port()});
    send_request();
    caller_.shutdown(tcp::socket::shutdown_send);
    (void)receive();
    EXPECT_EQ(disconnects_, 1);
}

} // namespace
} // namespace wagtailseam::http
