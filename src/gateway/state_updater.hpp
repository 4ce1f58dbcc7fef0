// Keeps the shared state of a gateway up to date: the operator's table, the
// list of upstreams, and the contents of the cache stores.
#ifndef WAGTAILSEAM_GATEWAY_STATE_UPDATER_HPP
#define WAGTAILSEAM_GATEWAY_STATE_UPDATER_HPP

#include "gateway/configuration_check.hpp"
#include "gateway/origin_note_sync.hpp"
#include "gateway/peer_directory.hpp"
#include "gateway/presence_sync.hpp"
#include "gateway/quarantine_sync.hpp"
#include "gateway/shared_state.hpp"
#include "gateway/statement_sync.hpp"
#include "gateway/stream_origin_sync.hpp"
#include "gateway/trial_claims.hpp"
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
#include <vector>

namespace wagtailseam::gateway
{

namespace asio = boost::asio;
using serving::service_id;

/// Follows the platform's tables, the agents' datagrams and the cache stores
/// until the io_context stops. Not thread-safe.
class state_updater
{
public:
    /// @param on_new_configuration called after a new configuration was applied
    state_updater(
        asio::io_context& context, shared_state& state,
        std::function<void()> on_new_configuration);
    void start();

private:
    asio::awaitable<void> receive_datagrams();
    void handle_status(
        std::string_view datagram, const asio::ip::udp::endpoint& sender);
    /// Reports this gateway's pending prefill at an engine to its agent.
    void send_prefill_report(const upstream_id& id);
    asio::awaitable<void> renew_prefill_reports();
    /// Logs which upstreams have become slower than the others of their
    /// service, and which no longer are.
    void log_slow_upstreams();
    void handle_store_update(std::string_view datagram);
    /// @param delay from the time at which a handler was due to its start
    void record_handler_delay(duration delay);
    void send_datagram(
        const std::string& datagram, const asio::ip::udp::endpoint& receiver);
    /// Polls a store for changes that relayed updates did not contain.
    asio::awaitable<void> resync_store(serving::cache_store store);
    /// Returns whether agents relay the updates of a store to this gateway.
    /// True while a recently started gateway may not have been discovered yet.
    [[nodiscard]] bool receives_relayed_updates(const service_id& store) const;
    asio::awaitable<void> follow_store(service_id name);
    asio::awaitable<bool> poll_store(
        const serving::cache_store& store, duration wait);
    asio::awaitable<bool> read_store_content(const serving::cache_store& store);
    asio::awaitable<void> sleep_for(duration time);

    /// Decodes large rows on the worker's thread.
    /// @param read_began when the read of the rows began
    asio::awaitable<void> apply_operator_rows(
        platform::row_set rows, mono_time read_began);
    void apply_evacuations(
        const platform::row_set& rows, platform::row_scope scope);
    struct cold_entry
    {
        upstream_process process;
        service_id service;
        mono_time until;
    };

    /// Limits the requests to an upstream if its entry says that it is cold, or
    /// if it is new and its entry does not say.
    void apply_cold_start(
        const serving::upstream& entry, platform::row_scope scope);
    void limit_cold(const cold_entry& entry);
    void apply_upstream_rows(
        const platform::row_set& rows, platform::row_scope scope);
    void remove_upstream(const upstream_id& id);
    /// Finds out whether an upstream that was removed from the list has ended
    /// or leaves as planned.
    asio::awaitable<void> classify_removal(serving::upstream removed);
    /// @param restored whether the list was read after the store was restored
    void replace_upstreams(
        std::vector<serving::upstream> listed, bool restored);
    /// Handles the processes that a change of the list shows to have ended.
    void handle_ended_processes(const std::vector<serving::upstream>& ended);
    /// Finds out whether an upstream runs although a later one is listed at its
    /// address.
    asio::awaitable<void> check_superseded(serving::upstream entry);
    void record_process_end(const upstream_process& process);
    /// @param received_at time at which decoding began
    void apply_configuration(
        std::shared_ptr<const serving::route_table> received,
        mono_time received_at);
    /// @param at_startup whether the first read of the table contained it
    void apply_weight_target(
        const serving::weight_target& received, bool at_startup);
    /// Returns the current or last outage as each table shows it. A long poll
    /// of one may outlast an outage that the other one meets.
    [[nodiscard]] std::vector<serving::store_outage> last_outages(
        mono_time now) const;
    /// Returns how long upstreams that are no longer listed remain in use.
    [[nodiscard]] serving::removal_grace make_removal_grace() const;

    asio::io_context& context_;
    shared_state& state_;
    std::function<void()> on_new_configuration_;
    platform::row_store_client row_store_;
    platform::table_watcher operator_table_;
    configuration_check configuration_check_;
    platform::table_watcher upstream_table_;
    asio::ip::udp::socket agent_socket_;
    peer_directory peers_;
    presence_sync presence_sync_;
    quarantine_sync quarantine_sync_;
    statement_sync statement_sync_;
    trial_claims trial_claims_;
    stream_origin_sync stream_origin_sync_;
    origin_note_sync origin_note_sync_;
    http::client cache_store_client_;
    /// Agent incarnation and sequence number of the last status of each engine.
    std::map<upstream_id, std::pair<std::uint64_t, std::uint64_t>> last_status_;
    /// Addresses at which the engines' agents receive prefill reports.
    std::map<upstream_id, asio::ip::udp::endpoint> agent_endpoints_;
    std::uint64_t incarnation_ = runtime::random_incarnation();
    std::uint64_t report_sequence_number_ = 0;
    /// Stores of the current configuration. A follow_store() coroutine runs for
    /// each.
    std::map<service_id, serving::cache_store> followed_stores_;
    /// When an agent last relayed an update of each store.
    std::map<service_id, mono_time> last_relayed_update_;
    std::set<service_id> resyncing_stores_;
    std::set<upstream_id> slow_upstreams_;
    /// Entries that were cold when they were read, also those read before the
    /// configuration that says which rate they allow.
    std::map<upstream_id, cold_entry> cold_entries_;
    mono_time started_at_ = monotonic_clock::now();
    bool awaiting_first_operator_read_ = true;
};

} // namespace wagtailseam::gateway

#endif
