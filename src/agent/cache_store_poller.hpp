// Polls the cache stores that this agent watches for all gateways.
#ifndef WAGTAILSEAM_AGENT_CACHE_STORE_POLLER_HPP
#define WAGTAILSEAM_AGENT_CACHE_STORE_POLLER_HPP

#include "cache_relay/notice.hpp"
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

/// Not thread-safe; runs until the io_context stops and must live as long.
class cache_store_poller
{
public:
    using send_function = std::function<void(const std::string& datagram)>;

    /// @param send passes a datagram to every gateway
    cache_store_poller(asio::io_context& context, send_function send);
    cache_store_poller(const cache_store_poller&) = delete;
    cache_store_poller& operator=(const cache_store_poller&) = delete;

    /// Watches these stores from now on, and no others.
    void use(const std::vector<serving::cache_store>& stores);

private:
    /// Where the next poll of a store continues.
    struct position
    {
        serving::store_epoch epoch;
        std::uint64_t next = 0;
    };

    asio::awaitable<void> watch(serving::cache_store store);
    asio::awaitable<bool> poll(const serving::cache_store& store, position& at);
    void tell(const cache_relay::notice& news);

    asio::io_context& context_;
    http::client http_;
    send_function send_;
    std::set<http::address> wanted_;
    /// Stores with a loop; a loop ends when its store is not wanted any more.
    std::set<http::address> watched_;
};

} // namespace wagtailseam::agent

#endif
