// The row of a listener.
#include "engine_status/listener.hpp"

#include "telemetry/event_log.hpp"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wagtailseam::engine_status
{
namespace
{

namespace asio = boost::asio;

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds retry_pause{1000};

} // namespace

asio::awaitable<void> announce_listener(
    platform::store_client& store, vm_id vm, std::string ip, std::uint16_t port)
{
    const std::string address = ip + ":" + std::to_string(port);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;)
    {
        const auto written =
            co_await store.put(listener_table, vm.value(), address);
        if (written)
        {
            telemetry::event("listener_announced").with("address", address);
            co_return;
        }
        timer.expires_after(retry_pause);
        co_await timer.async_wait(completion);
    }
}

} // namespace wagtailseam::engine_status
