// Runs the configuration's spread in one process: reads the head, fetches,
// offers, answers other processes.
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

/// Reads the addresses of a checked settings file's list.
[[nodiscard]] std::vector<http::address> parse_addresses(
    const nlohmann::json& list);

/// Called with each configuration as it comes into force; numbers grow.
using configuration_callback =
    std::function<void(config_number, configuration::configuration)>;

struct distributor_options
{
    /// Whether this process reads the head at intervals.
    bool polls_head = false;
    /// Where this process takes control messages.
    http::address control_address;
    /// Control addresses of the processes asked at a start.
    std::vector<http::address> peers;
    std::uint64_t seed = 0;
    configuration_callback on_activated;
};

/// Drives a distribution_state_machine. Not thread-safe: one io_context, which
/// must end before the runner does.
class distributor
{
public:
    distributor(
        asio::io_context& context, peer::control_client& control,
        table_service::client& platform, telemetry::metrics& metrics,
        distributor_options options);

    void start();

    /// Adds this process's number and address to a message.
    void attach_number(messages::control_request& request) const;
    /// Adds this process's number to an answer.
    void attach_number(messages::control_reply& reply) const;

    /// Takes the number that a request or an answer carried.
    /// @param from where its sender takes control messages; may be empty
    void observe_number(std::uint64_t number, const std::string& sender);

    /// Answers a fetch or an offer. @return false for any other message
    bool handle_request(
        const messages::control_request& request,
        messages::control_reply& reply);

    /// Waits, within the timeout, until this process has caught up with the
    /// number that a dispatch carries.
    /// @errors stale_configuration: one of the two sides is still behind.
    asio::awaitable<result<void>> wait_for_number(
        std::uint64_t number, std::string sender, duration timeout);

    [[nodiscard]] config_number active_number() const noexcept
    {
        return state_machine_.active_number();
    }
    /// Whether this process has the newest configuration that the platform
    /// or its peers know of.
    [[nodiscard]] bool ready() const noexcept { return state_machine_.ready(); }
    /// Whether the platform said that no configuration was ever accepted.
    [[nodiscard]] bool none_accepted() const noexcept
    {
        return state_machine_.none_accepted();
    }

private:
    void feed(const configuration::distribution_input& event);
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
    /// The core's last wake-up; none after it has passed.
    mono_time wake_time_ = mono_time::max();
    /// Cancelled whenever a configuration comes into force.
    asio::steady_timer activation_signal_;
};

} // namespace wagtailseam::spread

#endif
