// One polling coroutine for each assigned store.
#include "agent/cache_store_poller.hpp"

#include "cache_relay/store_requests.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wagtailseam::agent
{
namespace
{

constexpr auto completion_token =
    asio::experimental::as_tuple(asio::use_awaitable);

/// A store holds a long poll for at most one second; gateways consider its
/// last update valid for 1.6 s.
constexpr std::chrono::milliseconds poll_wait{800};
constexpr std::chrono::milliseconds poll_timeout{1400};
/// Pause between polls, so that the changes of a busy store fit into few
/// datagrams.
constexpr std::chrono::milliseconds batch_delay{150};
constexpr std::chrono::milliseconds connect_timeout{300};
constexpr std::chrono::milliseconds retry_delay{200};

} // namespace

cache_store_poller::cache_store_poller(
    asio::io_context& context, send_function send)
    : context_(context),
      http_(
          context.get_executor(),
          {.connect_timeout = connect_timeout,
           .max_idle_connections = 1,
           .max_body_bytes = cache_relay::max_response_bytes}),
      send_(std::move(send))
{
}

void cache_store_poller::set_stores(
    const std::vector<serving::cache_store>& stores)
{
    assigned_.clear();
    for (const auto& store : stores)
    {
        assigned_.insert(store.address);
        if (polled_.insert(store.address).second)
        {
            telemetry::event("cache_watch_begun").with("store", store.service);
            asio::co_spawn(context_, run_poll_loop(store), asio::detached);
        }
    }
}

void cache_store_poller::send_update(const cache_relay::store_update& update)
{
    for (const auto& datagram : cache_relay::encode(update))
    {
        send_(datagram);
    }
}

asio::awaitable<void> cache_store_poller::run_poll_loop(
    serving::cache_store store)
{
    poll_position position;
    bool reachable = true;
    asio::steady_timer timer(context_);
    while (assigned_.contains(store.address))
    {
        const bool answered = co_await poll(store, position);
        if (answered != reachable)
        {
            reachable = answered;
            telemetry::event(
                answered ? "cache_store_regained" : "cache_store_lost")
                .with("store", store.service)
                .with("address", store.address);
            if (!answered)
            {
                send_update(
                    {.store = store.service,
                     .unreachable = true,
                     .answer = {}});
            }
        }
        timer.expires_after(answered ? batch_delay : retry_delay);
        co_await timer.async_wait(completion_token);
    }
    polled_.erase(store.address);
    telemetry::event("cache_watch_ended").with("store", store.service);
}

asio::awaitable<bool> cache_store_poller::poll(
    const serving::cache_store& store, poll_position& position)
{
    auto changes = co_await cache_relay::read_changes(
        http_, store, position.next, poll_wait, poll_timeout);
    if (!changes)
    {
        co_return false;
    }
    auto& answer = changes.value();
    const bool store_restarted =
        position.epoch != answer.epoch && position.next > 0;
    position.epoch = answer.epoch;
    // After a restart of the store the next poll reads all of its changes.
    position.next = store_restarted ? 0 : answer.next_cursor;
    send_update({.store = store.service, .answer = std::move(answer)});
    co_return true;
}

} // namespace wagtailseam::agent
