// One loop for each store watched.
#include "agent/cache_store_poller.hpp"

#include "cache_relay/store_calls.hpp"
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

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// A store holds a poll back for up to a second; gateways trust its last word
/// for 1.6 s.
constexpr std::chrono::milliseconds poll_wait{800};
constexpr std::chrono::milliseconds poll_timeout{1400};
/// Gathers changes, so that a busy store's go out in few datagrams.
constexpr std::chrono::milliseconds gather{150};
constexpr std::chrono::milliseconds connect_timeout{300};
constexpr std::chrono::milliseconds retry_pause{200};

} // namespace

cache_store_poller::cache_store_poller(
    asio::io_context& context, send_function send)
    : context_(context),
      http_(
          context.get_executor(),
          {.connect_timeout = connect_timeout, .max_idle = 1}),
      send_(std::move(send))
{
}

void cache_store_poller::use(const std::vector<serving::cache_store>& stores)
{
    wanted_.clear();
    for (const auto& store : stores)
    {
        wanted_.insert(store.address);
        if (watched_.insert(store.address).second)
        {
            telemetry::event("cache_watch_begun").with("store", store.service);
            asio::co_spawn(context_, watch(store), asio::detached);
        }
    }
}

void cache_store_poller::tell(const cache_relay::notice& news)
{
    for (const auto& datagram : cache_relay::encode(news))
    {
        send_(datagram);
    }
}

asio::awaitable<void> cache_store_poller::watch(serving::cache_store store)
{
    position at;
    bool reachable = true;
    asio::steady_timer timer(context_);
    while (wanted_.contains(store.address))
    {
        const bool answered = co_await poll(store, at);
        if (answered != reachable)
        {
            reachable = answered;
            telemetry::event(
                answered ? "cache_store_regained" : "cache_store_lost")
                .with("store", store.service)
                .with("address", store.address);
            if (!answered)
            {
                tell({.store = store.service, .unreachable = true, .said = {}});
            }
        }
        timer.expires_after(answered ? gather : retry_pause);
        co_await timer.async_wait(completion);
    }
    watched_.erase(store.address);
    telemetry::event("cache_watch_ended").with("store", store.service);
}

asio::awaitable<bool> cache_store_poller::poll(
    const serving::cache_store& store, position& at)
{
    auto read = co_await cache_relay::read_changes(
        http_, store, at.next, poll_wait, poll_timeout);
    if (!read)
    {
        co_return false;
    }
    auto& said = read.value();
    const bool other_life = at.epoch != said.epoch && at.next > 0;
    at.epoch = said.epoch;
    // The next poll tells another life from its beginning on.
    at.next = other_life ? 0 : said.next;
    tell({.store = store.service, .said = std::move(said)});
    co_return true;
}

} // namespace wagtailseam::agent
