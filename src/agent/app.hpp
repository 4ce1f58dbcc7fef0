// The process beside an engine: gives it its orders, and sweeps cache stores.
#ifndef WAGTAILSEAM_AGENT_APP_HPP
#define WAGTAILSEAM_AGENT_APP_HPP

#include "agent/cache_store_poller.hpp"
#include "agent/cache_sweep_scheduler.hpp"
#include "agent/weight_load_scheduler.hpp"
#include "engine_status/listener.hpp"
#include "engine_status/prefill_report.hpp"
#include "engine_status/status.hpp"
#include "http/client.hpp"
#include "platform/settings_file.hpp"
#include "platform/table_watcher.hpp"
#include "serving/upstream.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailseam::agent
{

namespace asio = boost::asio;

/// Runs until stopped. Not thread-safe: one io_context.
class app
{
public:
    app(asio::io_context& context, platform::process_settings settings);
    app(const app&) = delete;
    app& operator=(const app&) = delete;

    void stop();

private:
    asio::awaitable<void> take_fencing_number();
    asio::awaitable<void> watch_engine();
    asio::awaitable<bool> read_engine();
    asio::awaitable<void> give_order(due_order order);
    asio::awaitable<void> sweep_stores();
    asio::awaitable<void> sweep(cache_sweep_scheduler::due_sweep due);
    asio::awaitable<void> hear_agents();

    void take_operator_rows(const platform::row_set& rows);
    void take_weight_target(
        const serving::weight_target& target, std::string_view source);
    void take_listener_rows(const platform::row_set& rows, bool whole_table);
    asio::awaitable<void> read_engine_list();
    void find_place();
    [[nodiscard]] std::vector<upstream_id> engine_ids() const;
    void tell_others(bool loading);
    void send(const std::string& datagram, engine_status::listener_role to);
    void send(
        const std::string& datagram, const asio::ip::udp::endpoint& address);
    /// Tells every gateway of the engine and of what the others have there.
    void send_to_gateways();
    void take_claim(std::string_view datagram);
    /// Tells gateways soon, gathering the claims that come until then.
    void tell_unread_soon();
    /// Shares the watching of the cache stores among the engines' agents.
    void watch_stores();

    asio::io_context& context_;
    platform::process_settings settings_;
    platform::row_store_client store_;
    platform::table_watcher operator_table_;
    platform::table_watcher listener_table_;
    http::client http_;
    asio::ip::udp::socket words_;
    weight_load_scheduler turns_;
    cache_sweep_scheduler sweep_;
    cache_store_poller watch_;
    std::vector<serving::cache_store> cache_stores_;
    config_number configuration_;
    /// Whether the operator's table was read once.
    bool operator_read_ = false;
    /// The upstreams of this engine's service.
    std::map<upstream_id, serving::upstream> engines_;
    /// This engine; empty while it is not listed.
    upstream_id self_;
    engine_state engine_;
    bool engine_known_ = false;
    mono_time next_list_read_;
    struct known_listener
    {
        asio::ip::udp::endpoint address;
        engine_status::listener_role role;
    };
    /// Where others take words on this engine, by their VMs.
    std::map<std::string, known_listener> listeners_;
    /// The last word, sent again when nothing changes.
    engine_status::status word_;
    mono_time word_sent_;
    mono_time agents_told_;
    engine_status::prefill_report_table claims_;
    asio::steady_timer unread_timer_;
    bool unread_to_tell_ = false;
    mono_time load_logged_;
    /// An order was given and its end was not seen.
    bool order_pending_ = false;
    /// Nothing before the store gave one; no order is given without it.
    std::optional<fencing_number> fencing_;
};

} // namespace wagtailseam::agent

#endif
