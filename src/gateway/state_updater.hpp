// Keeps a gateway's shared_state up to date: the operator's table, the list of
// upstreams, and the contents of the cache stores.
#ifndef WAGTAILSEAM_GATEWAY_STATE_UPDATER_HPP
#define WAGTAILSEAM_GATEWAY_STATE_UPDATER_HPP

#include "gateway/shared_state.hpp"
#include "http/client.hpp"
#include "platform/row_store_client.hpp"
#include "platform/table_watcher.hpp"
#include "runtime/program.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace wagtailseam::gateway
{

namespace asio = boost::asio;
using serving::service_id;

/// Follows the platform's tables and the cache stores until the io_context
/// stops.
class feeds
{
public:
    /// @param configured called when another configuration is in force
    feeds(
        asio::io_context& context, shared_state& known,
        std::function<void()> configured);
    void start();

private:
    asio::awaitable<void> hear_agents();
    void take_status(
        std::string_view datagram, const asio::ip::udp::endpoint& from);
    /// Tells an engine's agent what this gateway has there.
    void claim_unread(const upstream_id& id);
    asio::awaitable<void> repeat_claims();
    void take_notice(std::string_view datagram);
    /// Reads from a store itself what notices did not tell.
    asio::awaitable<void> catch_up(serving::cache_store store);
    /// Whether agents pass on what a store says.
    [[nodiscard]] bool is_relayed(const service_id& store) const;
    asio::awaitable<void> follow_cache(service_id name);
    asio::awaitable<bool> poll_cache(
        const serving::cache_store& store, duration wait);
    asio::awaitable<bool> list_cache(const serving::cache_store& store);
    asio::awaitable<void> pause(duration time);

    void take_operator_rows(const platform::row_set& rows);
    void take_upstream_rows(const platform::row_set& rows, bool whole_table);
    void take_configuration(serving::configuration read);
    void take_weight_target(const serving::weight_target& read);
    [[nodiscard]] duration missing_grace() const;

    asio::io_context& context_;
    shared_state& known_;
    std::function<void()> configured_;
    platform::row_store_client store_;
    platform::table_watcher operator_table_;
    platform::table_watcher upstream_table_;
    asio::ip::udp::socket agents_;
    http::client caches_;
    /// Life and number of the last datagram about an engine.
    std::map<upstream_id, std::pair<std::uint64_t, std::uint64_t>> last_words_;
    /// Where the agents of engines take claims.
    std::map<upstream_id, asio::ip::udp::endpoint> agent_of_;
    std::uint64_t life_ = runtime::random_incarnation();
    std::uint64_t claims_ = 0;
    /// The stores of the configuration; each has a coroutine.
    std::map<service_id, serving::cache_store> followed_;
    /// When an agent last passed on a word of a store.
    std::map<service_id, mono_time> relayed_;
    std::set<service_id> catching_up_;
    mono_time begun_ = monotonic_clock::now();
    bool first_operator_read_ = true;
};

} // namespace wagtailseam::gateway

#endif
