// A single attempt to connect.
#include "http/listener_probe.hpp"

#include "http/endpoint.hpp"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace wagtailseam::http
{

namespace asio = boost::asio;

asio::awaitable<bool> is_port_closed(address server, duration timeout)
{
    const auto endpoint = parse_endpoint(server);
    if (!endpoint)
    {
        co_return false;
    }
    // Shared with the handler of the timer, which may run after this coroutine.
    const auto socket = std::make_shared<asio::ip::tcp::socket>(
        co_await asio::this_coro::executor);
    asio::steady_timer timer(socket->get_executor(), timeout);
    timer.async_wait(
        [socket](const boost::system::error_code& ec)
        {
            if (!ec)
            {
                boost::system::error_code ignored;
                socket->close(ignored);
            }
        });
    const auto [error] = co_await socket->async_connect(
        endpoint.value(), asio::experimental::as_tuple(asio::use_awaitable));
    timer.cancel();
    co_return error == asio::error::connection_refused ||
        error == asio::error::connection_reset;
}

} // namespace wagtailseam::http
