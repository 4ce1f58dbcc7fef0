// Exchanges limits with the other gateways.
#ifndef WAGTAILSEAM_GATEWAY_LIMIT_SYNC_HPP
#define WAGTAILSEAM_GATEWAY_LIMIT_SYNC_HPP

#include "gateway/peer_directory.hpp"
#include "gateway/shared_state.hpp"
#include "rate_limit/limit_report.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <set>
#include <string_view>

namespace wagtailseam::gateway
{

/// A gateway whose share of a limit is small rarely gets a response of the
/// upstream, and so would notice the end of the limit late. The gateway that
/// first notices a change reports it to all others. Runs until the io_context
/// stops.
class limit_sync
{
public:
    limit_sync(
        asio::io_context& context, shared_state& state,
        const peer_directory& peers);

    void start();
    /// @pre rate_limit::is_limit_report(datagram)
    void handle_datagram(std::string_view datagram);

private:
    /// Sends what is known about an upstream, and once more later, to make up
    /// for lost datagrams and for further changes until then.
    asio::awaitable<void> send_reports(upstream_id id);
    void send_report(const upstream_id& id) const;

    asio::io_context& context_;
    shared_state& state_;
    const peer_directory& peers_;
    /// Upstreams for which send_reports() is running.
    std::set<upstream_id> reporting_;
};

} // namespace wagtailseam::gateway

#endif
