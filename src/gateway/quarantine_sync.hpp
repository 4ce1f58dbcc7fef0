// Exchanges crash records with the other gateways and keeps those of several
// crashes in the row store.
#ifndef WAGTAILSEAM_GATEWAY_QUARANTINE_SYNC_HPP
#define WAGTAILSEAM_GATEWAY_QUARANTINE_SYNC_HPP

#include "gateway/peer_directory.hpp"
#include "gateway/shared_state.hpp"
#include "platform/row_store_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace wagtailseam::gateway
{

namespace asio = boost::asio;

/// Table of the requests that were running during several crashes. Each gateway
/// writes rows of its own, so that no write removes what another gateway knows.
inline constexpr const char* quarantine_table = "quarantine";

/// Records reach the other gateways by datagrams, also while the row store is
/// unavailable: at once when they change, and again at intervals, which makes
/// up for lost datagrams and informs restarted gateways. The store keeps them
/// for the case that all gateways restart. Runs until the io_context stops.
class quarantine_sync
{
public:
    quarantine_sync(
        asio::io_context& context, shared_state& state,
        platform::row_store_client& row_store, const peer_directory& peers);
    quarantine_sync(const quarantine_sync&) = delete;
    quarantine_sync& operator=(const quarantine_sync&) = delete;

    void start();
    /// @pre quarantine::is_crash_report(datagram)
    void handle_datagram(std::string_view datagram);
    /// Sends the records of several crashes to a gateway that has started.
    void send_records(const asio::ip::udp::endpoint& receiver);

private:
    /// Sends and writes changed records after a short delay, so that the
    /// requests of one crash share datagrams and a transaction.
    void schedule_send();
    /// Writes the unwritten records unless a write is in progress.
    void start_writing();
    void send_to_all(const std::vector<quarantine::crash_report>& reports);
    /// Sends reports to a few other gateways, chosen at random.
    void send_to_some(const std::vector<quarantine::crash_report>& reports);
    asio::awaitable<void> repeat_records();
    [[nodiscard]] std::string make_row_key(
        const quarantine::content_fingerprint& request) const;
    asio::awaitable<void> read_rows();
    /// Merges the records of rows. @return the removal of expired rows
    [[nodiscard]] std::vector<platform::row_change> apply_rows(
        const platform::row_set& rows);
    asio::awaitable<void> write_rows();

    asio::io_context& context_;
    shared_state& state_;
    platform::row_store_client& row_store_;
    const peer_directory& peers_;
    asio::steady_timer send_timer_;
    bool send_scheduled_ = false;
    bool writing_ = false;
};

} // namespace wagtailseam::gateway

#endif
