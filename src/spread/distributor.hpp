// Distributes configurations in one process: reads the head row, fetches and
// offers configurations, and answers the requests of other processes.
#ifndef WAGTAILSEAM_SPREAD_DISTRIBUTOR_HPP
#define WAGTAILSEAM_SPREAD_DISTRIBUTOR_HPP

#include "configuration/configuration.hpp"
#include "configuration/distribution_state_machine.hpp"
#include "http/message.hpp"
#include "messages/wagtail.hpp"
#include "peer/peer.hpp"
#include "table_service/client.hpp"
#include "telemetry/metrics.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wagtailseam::spread
{

namespace asio = boost::asio;

/// Converts a list of addresses from a validated settings file.
[[nodiscard]] std::vector<http::address> parse_addresses(
    const nlohmann::json& list);

/// Called with each configuration on its activation; numbers increase.
using configuration_callback =
    std::function<void(config_number, configuration::configuration)>;

struct distributor_options
{
    /// Whether this process keeps polling the head row after it is ready.
    bool polls_head = false;
    /// Address on which this process receives control messages.
    http::address control_address;
    /// Control addresses of the processes that are queried at startup.
    std::vector<http::address> peers;
    std::uint64_t seed = 0;
    configuration_callback on_activated;
};

/// Runs a distribution_state_machine with its I/O. Not thread-safe: runs on one
/// io_context, which must stop before the distributor is destroyed.
class distributor
{
public:
    distributor(
        asio::io_context& context, peer::control_client& control,
        table_service::client& platform, telemetry::metrics& metrics,
        distributor_options options);

    void start();

    /// Sets the active number and the address of this process in a request.
    void attach_number(messages::control_request& request) const;
    /// Sets the active number of this process in a reply.
    void attach_number(messages::control_reply& reply) const;

    /// Records the number from a received request or reply.
    /// @param sender control address of the sender; may be empty
    void observe_number(std::uint64_t number, const std::string& sender);

    /// Handles a fetch or an offer. @return false for any other message
    bool handle_request(
        const messages::control_request& request,
        messages::control_reply& reply);

    /// Waits, up to the timeout, until the active number reaches the number of
    /// a dispatch.
    /// @errors stale_configuration: the two numbers still differ.
    asio::awaitable<result<void>> wait_for_number(
        std::uint64_t number, std::string sender, duration timeout);

    [[nodiscard]] config_number active_number() const noexcept
    {
        return state_machine_.active_number();
    }
    /// Whether the process may accept work: it has reached the newest
    /// configuration known to the platform or its peers, or startup timed out.
    [[nodiscard]] bool ready() const noexcept { return state_machine_.ready(); }
    /// Whether the platform reported that no configuration was ever accepted.
    [[nodiscard]] bool none_accepted() const noexcept
    {
        return state_machine_.none_accepted();
    }

private:
    void handle_event(const configuration::distribution_input& event);
    void execute(const configuration::read_head& command);
    void execute(const configuration::fetch_object& command);
    void execute(const configuration::fetch_from_peer& command);
    void execute(const configuration::offer_to_peer& command);
    void execute(const configuration::activate_configuration& command);
    void execute(const configuration::become_ready& command);
    void execute(const configuration::wake_at& command);

    asio::awaitable<void> read_head();
    asio::awaitable<void> fetch_object(configuration::fetch_object command);
    asio::awaitable<void> fetch_from_peer(
        configuration::fetch_from_peer command);
    asio::awaitable<void> offer_to_peer(configuration::offer_to_peer command);
    asio::awaitable<void> run_timer();

    asio::io_context& context_;
    peer::control_client& control_;
    table_service::client& platform_;
    telemetry::metrics& metrics_;
    distributor_options options_;
    configuration::distribution_state_machine state_machine_;
    asio::steady_timer wake_timer_;
    /// Time of the next tick; mono_time::max() when none is requested.
    mono_time wake_time_ = mono_time::max();
    /// Cancelled on each activation, to resume the waits in wait_for_number.
    asio::steady_timer activation_signal_;
};

} // namespace wagtailseam::spread

#endif
