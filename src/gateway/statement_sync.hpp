// Exchanges the statements of upstreams with the other gateways.
#ifndef WAGTAILSEAM_GATEWAY_STATEMENT_SYNC_HPP
#define WAGTAILSEAM_GATEWAY_STATEMENT_SYNC_HPP

#include "gateway/peer_directory.hpp"
#include "gateway/shared_state.hpp"
#include "rate_limit/limit_report.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <set>
#include <string_view>

namespace wagtailseam::gateway
{

/// The gateway that first notices the change of a limit, or that an upstream
/// leaves, reports it to all others: a gateway whose share of a limit is small
/// rarely gets a response of the upstream, and so would notice the end of the
/// limit late. Pauses are not exchanged, because each binds one gateway only.
/// Runs until the io_context stops.
class statement_sync
{
public:
    statement_sync(
        asio::io_context& context, shared_state& state,
        const peer_directory& peers);

    void start();
    /// Returns whether a datagram reports a statement.
    [[nodiscard]] static bool is_report(std::string_view datagram) noexcept;
    /// @pre is_report(datagram)
    void handle_datagram(std::string_view datagram);

private:
    /// Sends what is known about an upstream, and once more later, to make up
    /// for lost datagrams and for further changes until then.
    asio::awaitable<void> send_limit_reports(upstream_id id);
    void send_limit_report(const upstream_id& id) const;
    /// Sends a report twice, to make up for lost datagrams.
    asio::awaitable<void> send_leaving_reports(upstream_process process);

    asio::io_context& context_;
    shared_state& state_;
    const peer_directory& peers_;
    /// Upstreams for which send_limit_reports() is running.
    std::set<upstream_id> reporting_limits_;
};

} // namespace wagtailseam::gateway

#endif
