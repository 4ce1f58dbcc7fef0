// The other processes of the deployment, as the row store lists them.
#ifndef WAGTAILSEAM_GATEWAY_PEER_DIRECTORY_HPP
#define WAGTAILSEAM_GATEWAY_PEER_DIRECTORY_HPP

#include "core/fleet_position.hpp"
#include "engine_status/listener_directory.hpp"
#include "gateway/shared_state.hpp"
#include "platform/row_store_client.hpp"
#include "platform/table_watcher.hpp"
#include "presence/gateway_presence.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailseam::gateway
{

namespace asio = boost::asio;

/// Sends datagrams to other gateways, and passes the position of this one among
/// them to the parts that need it. The position is unknown until the rows were
/// read some time after this gateway wrote its own, because all gateways of a
/// deployment may have started at the same moment. Gateways that are counted
/// out remain receivers. Runs until the io_context stops.
class peer_directory
{
public:
    using datagram_sender = std::function<void(
        const std::string& datagram, const asio::ip::udp::endpoint& receiver)>;

    peer_directory(
        asio::io_context& context, shared_state& state,
        platform::row_store_client& row_store, datagram_sender send);
    peer_directory(const peer_directory&) = delete;
    peer_directory& operator=(const peer_directory&) = delete;

    void start();
    /// @pre engine_status::is_greeting(datagram)
    /// @return the address of the gateway that greets
    std::optional<asio::ip::udp::endpoint> handle_greeting(
        std::string_view datagram);

    /// Returns whether this gateway has read the rows of those that started
    /// before it, and had the time to be greeted by the others.
    [[nodiscard]] bool knows_peers() const noexcept { return rows_confirmed_; }
    /// Returns which gateways count. After a change, and at least once a
    /// second, update_position() has to be called.
    [[nodiscard]] presence::gateway_presence& presence() noexcept
    {
        return presence_;
    }
    /// Passes the position of this gateway on if it has changed, and logs which
    /// gateways count no longer or count again.
    void update_position();
    /// Sends a datagram to all other gateways.
    void send_to_all(const std::string& datagram) const;
    /// Returns the addresses of the agents that the row store lists.
    [[nodiscard]] std::set<asio::ip::udp::endpoint> agents() const;
    /// Returns at most `count` other gateways, chosen at random.
    [[nodiscard]] std::vector<asio::ip::udp::endpoint> random_peers(
        std::size_t count) const;
    void send(
        const std::string& datagram,
        const asio::ip::udp::endpoint& receiver) const
    {
        send_(datagram, receiver);
    }

private:
    void apply(const platform::row_set& rows, platform::row_scope scope);
    /// Greets the gateways whose rows were written before this one's, which may
    /// not be able to read it, and reads the rows again once all gateways that
    /// started with this one have written theirs.
    asio::awaitable<void> confirm_rows();
    /// @return whether the rows could be read
    asio::awaitable<bool> read_rows();
    /// Ends the introduction once the others had the time to reply.
    asio::awaitable<void> greet_peers();
    [[nodiscard]] bool is_own_row_listed() const;
    /// Returns whether limits can be divided by the rows that were read. After
    /// a restart that is so at once: gateways that ran before have rows, and
    /// those that start now greet this one before they take a share, because
    /// they find its row.
    [[nodiscard]] bool can_divide_limits() const noexcept
    {
        return rows_confirmed_ || (rows_read_ && presence_.has_predecessor());
    }
    [[nodiscard]] std::set<vm_id> other_gateways() const;
    void log_absences(const std::set<vm_id>& others, mono_time now);

    asio::io_context& context_;
    shared_state& state_;
    platform::row_store_client& row_store_;
    datagram_sender send_;
    platform::table_watcher listener_table_;
    engine_status::listener_directory listeners_;
    presence::gateway_presence presence_;
    /// Gateways that were counted out when the position was last updated.
    std::set<vm_id> absent_;
    /// Whether all rows, including that of this gateway, were read once.
    bool rows_read_ = false;
    /// Whether confirm_rows() has finished.
    bool rows_confirmed_ = false;
};

} // namespace wagtailseam::gateway

#endif
