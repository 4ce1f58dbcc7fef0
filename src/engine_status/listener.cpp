// The row of a listener.
#include "engine_status/listener.hpp"

#include "telemetry/event_log.hpp"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string_view>

namespace wagtailseam::engine_status
{
namespace
{

namespace asio = boost::asio;

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds retry_pause{1000};

/// Stands between address and role.
constexpr char separator = ' ';
constexpr std::string_view gateway_text = "gateway";
constexpr std::string_view agent_text = "agent";

} // namespace

std::string encode_listener(const listener& row)
{
    return row.address.value() + separator +
           std::string(
               row.role == listener_role::gateway ? gateway_text : agent_text);
}

std::optional<listener> decode_listener(const std::string& text)
{
    const auto at = text.find(separator);
    if (at == std::string::npos)
    {
        return std::nullopt;
    }
    const std::string_view role = std::string_view(text).substr(at + 1);
    if (role != gateway_text && role != agent_text)
    {
        return std::nullopt;
    }
    return listener{
        .address = http::address{text.substr(0, at)},
        .role = role == gateway_text ? listener_role::gateway
                                     : listener_role::agent};
}

asio::awaitable<void> register_listener(
    platform::row_store_client& store, vm_id vm, listener row)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;)
    {
        const auto written = co_await store.put(
            listener_table, vm.value(), encode_listener(row));
        if (written)
        {
            telemetry::event("listener_announced").with("address", row.address);
            co_return;
        }
        timer.expires_after(retry_pause);
        co_await timer.async_wait(completion);
    }
}

} // namespace wagtailseam::engine_status
