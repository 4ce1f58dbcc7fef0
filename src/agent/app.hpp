// The agent process beside one engine: publishes the engine's status, orders
// weight loads, polls cache stores and frees replaced weights in them.
#ifndef WAGTAILSEAM_AGENT_APP_HPP
#define WAGTAILSEAM_AGENT_APP_HPP

#include "agent/cache_store_poller.hpp"
#include "agent/cache_sweep_scheduler.hpp"
#include "agent/weight_load_scheduler.hpp"
#include "engine_status/listener.hpp"
#include "engine_status/listener_directory.hpp"
#include "engine_status/prefill_report.hpp"
#include "engine_status/status.hpp"
#include "http/client.hpp"
#include "platform/settings_file.hpp"
#include "platform/table_watcher.hpp"
#include "serving/upstream.hpp"
#include "stream_origin/noted_origins.hpp"

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

/// Starts the agent's loops on an io_context that one thread runs. Not
/// thread-safe.
class app
{
public:
    /// @throws std::runtime_error the settings name no engine on this VM
    app(asio::io_context& context, platform::process_settings settings);
    app(const app&) = delete;
    app& operator=(const app&) = delete;

    /// Stops the io_context.
    void stop();

private:
    /// Writes this agent's row until the store accepts it; the row's version
    /// becomes the fencing number.
    asio::awaitable<void> acquire_fencing_number();
    asio::awaitable<void> poll_engine();
    /// @return whether the engine answered with a valid report
    asio::awaitable<bool> read_engine_report();
    asio::awaitable<void> send_order(due_order order);
    asio::awaitable<void> run_sweeps();
    asio::awaitable<void> sweep_store(cache_sweep_scheduler::due_sweep due);
    asio::awaitable<void> receive_datagrams();

    void apply_operator_rows(const platform::row_set& rows);
    void apply_weight_target(
        const serving::weight_target& target, std::string_view source);
    asio::awaitable<void> refresh_engine_list();
    /// Looks up this engine's id and passes the engines to the schedulers.
    void update_own_id();
    [[nodiscard]] std::vector<upstream_id> engine_ids() const;
    /// Sends the engine's status if it changed or is due for repetition.
    void publish_status(bool loading);
    void send(const std::string& datagram, engine_status::listener_role role);
    void send(
        const std::string& datagram, const asio::ip::udp::endpoint& address);
    /// Sends each gateway the engine's status with the pending prefill work
    /// that the other gateways report for it.
    void send_status_to_gateways();
    void handle_prefill_report(std::string_view datagram);
    void handle_origin_note(std::string_view datagram);
    void answer_origin_question(
        std::string_view datagram, const asio::ip::udp::endpoint& gateway);
    /// Sends the status to gateways after a short delay, so that one update
    /// covers all prefill reports that arrive within it.
    void schedule_prefill_update();
    /// Polls the cache stores for which this agent ranks high enough.
    void update_polled_stores();

    asio::io_context& context_;
    platform::process_settings settings_;
    platform::row_store_client row_store_;
    platform::table_watcher operator_table_;
    platform::table_watcher listener_table_;
    http::client http_;
    asio::ip::udp::socket socket_;
    weight_load_scheduler load_scheduler_;
    cache_sweep_scheduler sweep_scheduler_;
    cache_store_poller store_poller_;
    std::vector<serving::cache_store> cache_stores_;
    config_number configuration_number_;
    /// Whether the operator's table has been read since the start.
    bool operator_table_read_ = false;
    /// The upstreams of this engine's service.
    std::map<upstream_id, serving::upstream> engines_;
    /// The id of this engine; empty while it is not listed.
    upstream_id own_id_;
    engine_state engine_;
    bool engine_reachable_ = false;
    mono_time next_list_refresh_;
    /// Receivers of this engine's status.
    engine_status::listener_directory listeners_;
    /// The status that was sent last.
    engine_status::status status_;
    mono_time status_sent_at_;
    mono_time agents_updated_at_;
    engine_status::prefill_report_table prefill_reports_;
    upstream_speed::speed_collector speed_;
    /// Streams of any upstream that gateways noted here.
    stream_origin::noted_origins noted_origins_;
    asio::steady_timer prefill_update_timer_;
    bool prefill_update_pending_ = false;
    mono_time load_logged_at_;
    /// An order was sent and the engine does not run its weights yet.
    bool order_pending_ = false;
    /// Empty until the store has assigned one; no order is sent without it.
    std::optional<fencing_number> fencing_;
};

} // namespace wagtailseam::agent

#endif
