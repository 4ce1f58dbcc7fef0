// Rows of gateways and agents.
#include "gateway/peer_directory.hpp"

#include "runtime/program.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

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
/// Time to write the own row.
constexpr std::chrono::milliseconds own_row_delay{100};
/// How often the other gateways are greeted, to make up for lost datagrams.
constexpr int greetings = 3;
constexpr std::chrono::milliseconds greeting_interval{100};
/// Gateways that start together have written their rows within this time.
constexpr std::chrono::milliseconds registration_time{1500};
constexpr std::chrono::milliseconds confirmation_retry_delay{500};

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

} // namespace

peer_directory::peer_directory(
    asio::io_context& context, shared_state& state,
    platform::row_store_client& row_store, datagram_sender send)
    : context_(context), state_(state), row_store_(row_store),
      send_(std::move(send)),
      listener_table_(
          context, row_store,
          {.table = engine_status::listener_table,
           .on_rows = [this](const auto& rows, auto scope)
           { apply(rows, scope); },
           .poll_timeout = listener_poll_timeout,
           .outage_poll_timeout = engine_status::listener_outage_interval,
           .retry_delay = engine_status::listener_outage_interval,
           .batch_delay = listener_batch_delay}),
      presence_(state.settings.vm, incarnation{runtime::random_incarnation()})
{
}

void peer_directory::apply(
    const platform::row_set& rows, platform::row_scope scope)
{
    listeners_.apply(rows, scope);
    update_position();
}

void peer_directory::start()
{
    state_.introduction_deadline = mono_time::max();
    listener_table_.start();
    asio::co_spawn(context_, confirm_rows(), asio::detached);
}

asio::awaitable<void> peer_directory::confirm_rows()
{
    asio::steady_timer timer(context_, own_row_delay);
    co_await timer.async_wait(completion);
    for (;;)
    {
        const bool is_read = co_await read_rows();
        if (is_own_row_listed())
        {
            break;
        }
        timer.expires_after(is_read ? own_row_delay : confirmation_retry_delay);
        co_await timer.async_wait(completion);
    }
    rows_read_ = true;
    update_position();
    co_await greet_peers();
    timer.expires_after(registration_time);
    co_await timer.async_wait(completion);
    // Gateways that this read does not show have greeted this one.
    (void)co_await read_rows();
    rows_confirmed_ = true;
    update_position();
}

asio::awaitable<bool> peer_directory::read_rows()
{
    const auto rows =
        co_await row_store_.read_table(engine_status::listener_table);
    if (rows)
    {
        // Rows that are missing stay known, as after a restoration.
        listeners_.apply(rows.value(), platform::row_scope::restored_table);
    }
    co_return rows.has_value();
}

asio::awaitable<void> peer_directory::greet_peers()
{
    const auto& own = listeners_.entries().at(state_.settings.vm);
    const auto greeting = engine_status::encode_greeting(
        state_.settings.vm, {.address =
                                 http::address{
                                     own.address.address().to_string() + ":" +
                                     std::to_string(own.address.port())},
                             .role = own.role});
    asio::steady_timer timer(context_);
    for (int sent = 0; sent < greetings; ++sent)
    {
        send_to_all(greeting);
        timer.expires_after(greeting_interval);
        co_await timer.async_wait(completion);
        state_.introduction_deadline.reset();
    }
}

std::optional<asio::ip::udp::endpoint> peer_directory::handle_greeting(
    std::string_view datagram)
{
    const auto greeting = engine_status::decode_greeting(datagram);
    if (!greeting || greeting.value().first == state_.settings.vm)
    {
        state_.metrics.count("wagtail_greetings_dropped_total");
        return std::nullopt;
    }
    const auto& [vm, listener] = greeting.value();
    if (listeners_.insert(vm, listener))
    {
        telemetry::event("peer_greeted_by")
            .with("vm", vm)
            .with("address", listener.address);
        update_position();
    }
    const auto known = listeners_.entries().find(vm);
    return known == listeners_.entries().end()
               ? std::nullopt
               : std::optional(known->second.address);
}

bool peer_directory::is_own_row_listed() const
{
    return listeners_.entries().contains(state_.settings.vm);
}

void peer_directory::update_position()
{
    if (!can_divide_limits())
    {
        return;
    }
    const auto now = monotonic_clock::now();
    const auto others = other_gateways();
    log_absences(others, now);
    const auto current = presence_.position(others, now);
    if (current.size != state_.gateway_count())
    {
        state_.set_gateway_count(current.size);
    }
    if (presence_.may_share(now))
    {
        if (state_.statements.set_position(current))
        {
            telemetry::event("fleet_position")
                .with("index", current.index)
                .with("gateways", current.size)
                .with("counted_out", absent_.size());
        }
    }
    else if (state_.statements.clear_position())
    {
        telemetry::event("fleet_share_withheld")
            .with("gateways", current.size)
            .with("counted_out", absent_.size())
            .warning();
    }
}

void peer_directory::log_absences(const std::set<vm_id>& others, mono_time now)
{
    std::erase_if(
        absent_, [&](const vm_id& vm) { return !others.contains(vm); });
    for (const auto& vm : others)
    {
        const bool is_absent = presence_.is_absent(vm, now);
        if (is_absent && absent_.insert(vm).second)
        {
            telemetry::event("gateway_counted_out").with("gateway", vm);
        }
        else if (!is_absent && absent_.erase(vm) > 0)
        {
            telemetry::event("gateway_counted_again").with("gateway", vm);
        }
    }
}

std::set<vm_id> peer_directory::other_gateways() const
{
    std::set<vm_id> others;
    for (const auto& [vm, listener] : listeners_.entries())
    {
        if (listener.role == engine_status::listener_role::gateway &&
            vm != state_.settings.vm)
        {
            others.insert(vm);
        }
    }
    return others;
}

void peer_directory::send_to_all(const std::string& datagram) const
{
    for (const auto& receiver : listeners_.addresses(
             engine_status::listener_role::gateway, state_.settings.vm))
    {
        send_(datagram, receiver);
    }
}

std::set<asio::ip::udp::endpoint> peer_directory::agents() const
{
    const auto addresses =
        listeners_.addresses(engine_status::listener_role::agent);
    return {addresses.begin(), addresses.end()};
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
