// Renews the sign by which other gateways see that this one runs, and reads
// theirs.
#ifndef WAGTAILSEAM_GATEWAY_PRESENCE_SYNC_HPP
#define WAGTAILSEAM_GATEWAY_PRESENCE_SYNC_HPP

#include "gateway/peer_directory.hpp"
#include "platform/row_store_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <vector>

namespace wagtailseam::gateway
{

namespace asio = boost::asio;

/// Runs until the io_context stops.
class presence_sync
{
public:
    presence_sync(
        asio::io_context& context, shared_state& state,
        platform::row_store_client& row_store, peer_directory& peers);

    void start();

private:
    /// Reads all signs, and starts the renewals after the first read.
    asio::awaitable<void> read_signs();
    asio::awaitable<void> renew_sign();
    /// Updates the position, which depends on the time since the last
    /// successful calls.
    asio::awaitable<void> follow_time();
    /// Logs the rows that cannot be read.
    [[nodiscard]] static std::vector<presence::sign_row> decode(
        const platform::row_set& rows);
    /// Returns a random time of at least half the interval, so that gateways
    /// that started together do not call together.
    [[nodiscard]] duration spread(duration interval);

    asio::io_context& context_;
    shared_state& state_;
    platform::row_store_client& row_store_;
    peer_directory& peers_;
};

} // namespace wagtailseam::gateway

#endif
