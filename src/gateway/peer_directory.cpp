// Rows of gateways and agents.
#include "gateway/peer_directory.hpp"

#include "telemetry/event_log.hpp"

#include <algorithm>
#include <utility>

namespace wagtailseam::gateway
{
namespace
{

/// The rows of other gateways change when VMs are added or replaced.
constexpr std::chrono::seconds listener_poll_timeout{30};
/// All processes of a deployment write their rows within seconds.
constexpr std::chrono::seconds listener_batch_delay{5};

} // namespace

peer_directory::peer_directory(
    asio::io_context& context, shared_state& state,
    platform::row_store_client& row_store, datagram_sender send)
    : state_(state), send_(std::move(send)),
      listener_table_(
          context, row_store,
          {.table = engine_status::listener_table,
           .on_rows = [this](const auto& rows, auto scope)
           { apply(rows, scope); },
           .poll_timeout = listener_poll_timeout,
           .batch_delay = listener_batch_delay})
{
}

void peer_directory::apply(
    const platform::row_set& rows, platform::row_scope scope)
{
    listeners_.apply(rows, scope);
    const auto current = position();
    state_.crashes.quarantine().set_trial_turn(current);
    if (state_.limits.set_position(current))
    {
        telemetry::event("fleet_position")
            .with("index", current.index)
            .with("gateways", current.size);
    }
}

fleet_position peer_directory::position() const
{
    fleet_position found;
    for (const auto& [vm, listener] : listeners_.entries())
    {
        const bool is_other =
            listener.role == engine_status::listener_role::gateway &&
            vm != state_.settings.vm;
        found.size += is_other ? 1U : 0U;
        found.index += is_other && vm < state_.settings.vm ? 1U : 0U;
    }
    return found;
}

void peer_directory::send_to_all(const std::string& datagram) const
{
    for (const auto& receiver : listeners_.addresses(
             engine_status::listener_role::gateway, state_.settings.vm))
    {
        send_(datagram, receiver);
    }
}

std::vector<asio::ip::udp::endpoint> peer_directory::random_peers(
    std::size_t count) const
{
    auto peers = listeners_.addresses(
        engine_status::listener_role::gateway, state_.settings.vm);
    count = std::min(count, peers.size());
    for (std::size_t chosen = 0; chosen < count; ++chosen)
    {
        const auto other = chosen + state_.random.below(peers.size() - chosen);
        std::swap(peers[chosen], peers[other]);
    }
    peers.resize(count);
    return peers;
}

} // namespace wagtailseam::gateway
