// Runs the configuration's spread in one process: reads the head, fetches,
// offers, answers other processes.
#ifndef WAGTAILSEAM_SPREAD_RUNNER_HPP
#define WAGTAILSEAM_SPREAD_RUNNER_HPP

#include "configuration/configuration.hpp"
#include "configuration/spread_core.hpp"
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
[[nodiscard]] std::vector<http::address> addresses_from(
    const nlohmann::json& list);

/// Called with each configuration as it comes into force; numbers grow.
using apply_configuration =
    std::function<void(config_number, configuration::configuration)>;

struct runner_options
{
    /// Whether this process reads the head at intervals.
    bool polls_head = false;
    /// Where this process takes control messages.
    http::address self;
    /// Control addresses of the processes asked at a start.
    std::vector<http::address> peers;
    std::uint64_t seed = 0;
    apply_configuration apply;
};

/// Drives a spread_core. Not thread-safe: one io_context, which must end
/// before the runner does.
class runner
{
public:
    runner(
        asio::io_context& context, peer::control_client& control,
        table_service::client& platform, telemetry::metrics& metrics,
        runner_options options);

    void start();

    /// Adds this process's number and address to a message.
    void stamp(messages::control_request& asked) const;
    /// Adds this process's number to an answer.
    void stamp(messages::control_reply& reply) const;

    /// Takes the number that a request or an answer carried.
    /// @param from where its sender takes control messages; may be empty
    void saw(std::uint64_t number, const std::string& from);

    /// Answers a fetch or an offer. @return false for any other message
    bool answer(
        const messages::control_request& asked, messages::control_reply& reply);

    /// Waits, within the timeout, until this process has caught up with the
    /// number that a dispatch carries.
    /// @errors stale_configuration: one of the two sides is still behind.
    asio::awaitable<result<void>> match(
        std::uint64_t number, std::string from, duration timeout);

    [[nodiscard]] config_number in_force() const noexcept
    {
        return core_.in_force();
    }
    /// Whether this process has the newest configuration that the platform
    /// or its peers know of.
    [[nodiscard]] bool ready() const noexcept { return core_.ready(); }
    /// Whether the platform said that no configuration was ever accepted.
    [[nodiscard]] bool none_accepted() const noexcept
    {
        return core_.none_accepted();
    }

private:
    void feed(const configuration::spread_input& event);
    void obey(const configuration::read_head& command);
    void obey(const configuration::fetch_object& command);
    void obey(const configuration::fetch_from_peer& command);
    void obey(const configuration::offer_to_peer& command);
    void obey(const configuration::put_in_force& command);
    void obey(const configuration::become_ready& command);
    void obey(const configuration::wake_at& command);

    asio::awaitable<void> read_head();
    asio::awaitable<void> fetch_object(configuration::fetch_object wanted);
    asio::awaitable<void> fetch_from_peer(
        configuration::fetch_from_peer wanted);
    asio::awaitable<void> offer_to_peer(configuration::offer_to_peer wanted);
    asio::awaitable<void> run_timer();

    asio::io_context& context_;
    peer::control_client& control_;
    table_service::client& platform_;
    telemetry::metrics& metrics_;
    runner_options options_;
    configuration::spread_core core_;
    asio::steady_timer timer_;
    /// The core's last wake-up; none after it has passed.
    mono_time wake_at_ = mono_time::max();
    /// Cancelled whenever a configuration comes into force.
    asio::steady_timer changed_;
};

} // namespace wagtailseam::spread

#endif
