// Polls the cache stores assigned to this agent and forwards their changes to
// all gateways.
#ifndef WAGTAILSEAM_AGENT_CACHE_STORE_POLLER_HPP
#define WAGTAILSEAM_AGENT_CACHE_STORE_POLLER_HPP

#include "cache_relay/store_update.hpp"
#include "http/client.hpp"
#include "serving/configuration.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <set>
#include <vector>

namespace wagtailseam::agent
{

namespace asio = boost::asio;

/// Runs one polling coroutine per store. Not thread-safe; must outlive the
/// run of the io_context.
class cache_store_poller
{
public:
    using send_function = std::function<void(const std::string& datagram)>;

    /// @param send sends a datagram to every gateway
    cache_store_poller(asio::io_context& context, send_function send);
    cache_store_poller(const cache_store_poller&) = delete;
    cache_store_poller& operator=(const cache_store_poller&) = delete;

    /// Replaces the set of polled stores.
    void set_stores(const std::vector<serving::cache_store>& stores);

private:
    /// Where the next poll of a store continues.
    struct poll_position
    {
        serving::store_epoch epoch;
        std::uint64_t next = 0;
    };

    asio::awaitable<void> run_poll_loop(serving::cache_store store);
    /// @return whether the store answered
    asio::awaitable<bool> poll(
        const serving::cache_store& store, poll_position& position);
    void send_update(const cache_relay::store_update& update);

    asio::io_context& context_;
    http::client http_;
    send_function send_;
    std::set<http::address> assigned_;
    /// Stores with a running poll loop; a loop ends after its store is removed
    /// from assigned_.
    std::set<http::address> polled_;
};

} // namespace wagtailseam::agent

#endif
