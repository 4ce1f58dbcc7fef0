// Encodes, decodes and writes the rows of listeners.
#include "engine_status/listener.hpp"

#include "core/random_source.hpp"
#include "runtime/program.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <string_view>

namespace wagtailseam::engine_status
{
namespace
{

namespace asio = boost::asio;
using nlohmann::json;

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds retry_interval{1000};
/// Spreads the writes of all processes after the store was restored. Other
/// processes keep the addresses that they know.
constexpr duration max_rewrite_delay = std::chrono::seconds(10);

/// Separates the address from the role.
constexpr char separator = ' ';
constexpr std::string_view gateway_role_name = "gateway";
constexpr std::string_view agent_role_name = "agent";

/// First byte of a greeting; no other datagram type between these processes
/// begins with it.
constexpr char greeting_type_byte = 'H';

} // namespace

std::string encode_listener(const listener& entry)
{
    return entry.address.value() + separator +
           std::string(
               entry.role == listener_role::gateway ? gateway_role_name
                                                    : agent_role_name);
}

std::optional<listener> decode_listener(const std::string& text)
{
    const auto separator_pos = text.find(separator);
    if (separator_pos == std::string::npos)
    {
        return std::nullopt;
    }
    const std::string_view role =
        std::string_view(text).substr(separator_pos + 1);
    if (role != gateway_role_name && role != agent_role_name)
    {
        return std::nullopt;
    }
    return listener{
        .address = http::address{text.substr(0, separator_pos)},
        .role = role == gateway_role_name ? listener_role::gateway
                                          : listener_role::agent};
}

std::string encode_greeting(const vm_id& vm, const listener& own)
{
    std::string datagram(1, greeting_type_byte);
    json::to_msgpack(json::array({vm.value(), encode_listener(own)}), datagram);
    return datagram;
}

bool is_greeting(std::string_view datagram) noexcept
{
    return datagram.starts_with(greeting_type_byte);
}

result<std::pair<vm_id, listener>> decode_greeting(std::string_view datagram)
{
    if (!is_greeting(datagram))
    {
        return fail(
            result_code::malformed_message, "datagram is not a greeting");
    }
    const auto fields = json::from_msgpack(datagram.substr(1), true, false);
    if (!fields.is_array() || fields.size() != 2 || !fields[0].is_string() ||
        !fields[1].is_string())
    {
        return fail(
            result_code::malformed_message,
            "greeting lacks a process or its listener");
    }
    const auto announced = decode_listener(fields[1].get<std::string>());
    if (!announced)
    {
        return fail(
            result_code::malformed_message,
            "greeting names no listener: " + fields[1].get<std::string>());
    }
    return std::pair(vm_id(fields[0].get<std::string>()), *announced);
}

asio::awaitable<void> register_listener(
    platform::row_store_client& store, vm_id vm, listener entry)
{
    const auto timer = std::make_shared<asio::steady_timer>(
        co_await asio::this_coro::executor);
    store.on_restored([timer] { timer->cancel(); });
    random_source random(runtime::random_incarnation());
    for (;;)
    {
        const auto written = co_await store.put(
            listener_table, vm.value(), encode_listener(entry));
        if (!written)
        {
            timer->expires_after(retry_interval);
            co_await timer->async_wait(completion);
            continue;
        }
        telemetry::event("listener_announced").with("address", entry.address);
        if (written.value().era == store.era())
        {
            timer->expires_at(asio::steady_timer::time_point::max());
            co_await timer->async_wait(completion);
        }
        asio::steady_timer delay(
            timer->get_executor(),
            duration(static_cast<duration::rep>(random.below(
                static_cast<std::uint64_t>(max_rewrite_delay.count())))));
        co_await delay.async_wait(completion);
    }
}

} // namespace wagtailseam::engine_status
