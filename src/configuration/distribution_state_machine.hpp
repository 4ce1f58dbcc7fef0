// Discovers accepted configurations, replicates them among processes and
// activates them. No I/O.
#ifndef WAGTAILSEAM_CONFIGURATION_DISTRIBUTION_STATE_MACHINE_HPP
#define WAGTAILSEAM_CONFIGURATION_DISTRIBUTION_STATE_MACHINE_HPP

#include "core/clock.hpp"
#include "core/digest.hpp"
#include "core/ids.hpp"
#include "core/random_source.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace wagtailseam::configuration
{

/// Control address of another process that distributes configurations.
using peer_id = strong_id<struct distribution_peer_tag>;

/// An accepted configuration as processes exchange it. Immutable.
struct configuration_snapshot
{
    config_number number;
    digest object;
    std::shared_ptr<const std::string> bytes;
};

struct distribution_options
{
    /// Whether the process keeps polling the head row after it is ready.
    /// Entries do; sidecars learn of new numbers from messages.
    bool polls_head = false;
    /// Mean time between two reads of the head row.
    duration poll_interval = std::chrono::milliseconds(500);
    /// Time after which an unanswered read, fetch or offer is repeated.
    duration response_timeout = std::chrono::milliseconds(500);
    /// Maximum time that a starting process waits for responses of its peers
    /// while the platform is unavailable.
    duration startup_timeout = std::chrono::seconds(5);
    /// Maximum time that a configuration stays pending until a peer has a copy.
    duration replication_timeout = std::chrono::seconds(2);
    /// Processes that this process queries at startup and to which it offers
    /// configurations from other sources: a few, preferably in other data
    /// centres. Entries are peers of each other; sidecars have entries as
    /// peers.
    std::vector<peer_id> peers;
};

namespace distribution_event
{

/// The process has started, or the time of wake_at has come.
struct tick
{
};

/// The head row was read; number 0 when no configuration is accepted.
struct head_read
{
    config_number number;
    digest object;
};

struct head_read_failed
{
};

/// A message from another process carried its active number.
struct number_seen
{
    config_number number;
    peer_id from;
};

/// A fetch from the platform (`from` is empty) or from a peer returned a
/// configuration.
struct configuration_received
{
    configuration_snapshot snapshot;
    std::optional<peer_id> from;
};

/// A ready peer reported that it has nothing above the requested number;
/// `number` is its active number. A peer that is not ready causes fetch_failed.
struct nothing_newer
{
    peer_id from;
    config_number number;
};

struct fetch_failed
{
    std::optional<peer_id> from;
};

/// A peer offered a configuration. The offer may be older than the peer's
/// active configuration, so it does not count as a response at startup.
struct offer_received
{
    configuration_snapshot snapshot;
    peer_id from;
};

/// A peer answered an offer with its active number.
struct offer_acknowledged
{
    peer_id peer;
    config_number number;
};

} // namespace distribution_event

using distribution_input = std::variant<
    distribution_event::tick, distribution_event::head_read,
    distribution_event::head_read_failed, distribution_event::number_seen,
    distribution_event::configuration_received,
    distribution_event::nothing_newer, distribution_event::fetch_failed,
    distribution_event::offer_received, distribution_event::offer_acknowledged>;

/// Reads the head row of the platform's table.
struct read_head
{
};

/// Fetches an object by its digest from the platform.
struct fetch_object
{
    config_number number;
    digest object;
};

/// Fetches the active configuration of a peer if its number is above `above`.
struct fetch_from_peer
{
    peer_id peer;
    config_number above;
};

/// Sends a configuration to a peer, which responds with its active number.
struct offer_to_peer
{
    peer_id peer;
    configuration_snapshot snapshot;
};

/// Activates a configuration.
struct activate_configuration
{
    configuration_snapshot snapshot;
    /// Whether no peer acknowledged it in time. A restart during an outage of
    /// the platform may then lose it.
    bool unreplicated = false;
};

/// The process may accept work.
struct become_ready
{
    /// Whether the platform or all peers confirmed that no newer configuration
    /// exists.
    bool confirmed = false;
};

/// Requests a tick at this time; replaces the previous request.
struct wake_at
{
    mono_time time;
};

using distribution_command = std::variant<
    read_head, fetch_object, fetch_from_peer, offer_to_peer,
    activate_configuration, become_ready, wake_at>;

/// Compares the configurations of the two sides of a dispatch.
enum class dispatch_check : std::uint8_t
{
    /// Both sides have the same active configuration.
    same_number,
    /// The receiver is behind and fetches the configuration before it runs the
    /// request.
    receiver_behind,
    /// The sender is behind; the receiver refuses with its own number.
    sender_behind,
};

/// State machine that distributes configurations to and from one process.
///
/// The active number never decreases while the process runs. To preserve this
/// across restarts without a disk, a configuration is activated only when one
/// of the peers that this process queries at startup has a copy, and a startup
/// during an outage of the platform waits for responses of all of these peers.
/// Both waits are limited; docs/design/configuration.md describes what is lost
/// after a timeout. Fetches return the active configuration.
class distribution_state_machine
{
public:
    distribution_state_machine(
        distribution_options options, std::uint64_t seed);

    /// Handles an event. @return the commands in order of execution.
    /// Complexity: linear in the configured peers and in the bytes of a
    /// received configuration.
    [[nodiscard]] std::vector<distribution_command> handle(
        const distribution_input& event, mono_time now);

    /// The number of the active configuration; 0 when there is none.
    [[nodiscard]] config_number active_number() const noexcept
    {
        return active_.number;
    }

    /// The active configuration, which this process returns to fetches.
    [[nodiscard]] const configuration_snapshot& active() const noexcept
    {
        return active_;
    }

    /// Whether the process may accept work.
    [[nodiscard]] bool ready() const noexcept { return ready_; }

    /// Whether the platform reported that no configuration was ever accepted.
    [[nodiscard]] bool none_accepted() const noexcept
    {
        return head_confirmed_ && newest_held_number() == config_number{} &&
               head_number_ == config_number{};
    }

    /// Compares the number in a dispatch with the active number.
    [[nodiscard]] dispatch_check check_dispatch(
        config_number sender_number) const noexcept;

private:
    using commands = std::vector<distribution_command>;

    void on(const distribution_event::tick& event);
    void on(const distribution_event::head_read& event);
    void on(const distribution_event::head_read_failed& event);
    void on(const distribution_event::number_seen& event);
    void on(const distribution_event::configuration_received& event);
    void on(const distribution_event::nothing_newer& event);
    void on(const distribution_event::fetch_failed& event);
    void on(const distribution_event::offer_received& event);
    void on(const distribution_event::offer_acknowledged& event);

    void query_peers_if_due();
    void poll_head_if_due();
    void fetch_if_behind();
    void send_fetch(bool head_ahead, bool peer_ahead);
    void offer_pending_to_peers();
    void accept_snapshot(
        const configuration_snapshot& snapshot, bool from_configured_peer);
    void activate(const configuration_snapshot& snapshot, bool unreplicated);
    [[nodiscard]] bool is_configured_peer(const peer_id& peer) const;
    void update_readiness();
    void schedule_wake();
    [[nodiscard]] duration jittered_poll_interval();
    [[nodiscard]] config_number newest_held_number() const noexcept
    {
        return pending_ ? pending_->number : active_.number;
    }

    distribution_options options_;
    random_source random_;
    mono_time now_{};
    commands commands_;

    /// Its number never decreases.
    configuration_snapshot active_;
    /// Newer than active_; none of options_.peers has acknowledged it.
    std::optional<configuration_snapshot> pending_;
    mono_time pending_since_{};

    /// Highest number read from the head row, and its digest.
    config_number head_number_;
    digest head_object_;
    /// Highest number above newest_held_number() that a process reported, and
    /// that process.
    config_number newest_peer_number_;
    peer_id newest_peer_;

    bool ready_ = false;
    bool started_ = false;
    mono_time start_deadline_{};
    /// Whether a read of the head row has succeeded since startup.
    bool head_confirmed_ = false;
    /// Whether the last completed read of the head row failed.
    bool head_failed_ = false;
    /// Startup: peers that have not responded; a subset of options_.peers.
    std::set<peer_id> unanswered_peers_;
    /// Startup: time of the next query to the unanswered peers.
    mono_time next_peer_query_{};

    mono_time next_poll_{};
    /// A fetch is in progress until this time.
    mono_time fetch_deadline_{};
    /// Whether the last fetch from this source failed or is unanswered. Both
    /// are reset when no other source is left to try.
    bool platform_failed_ = false;
    bool peer_failed_ = false;
    mono_time next_offer_{};
    mono_time scheduled_wake_{};
};

} // namespace wagtailseam::configuration

#endif
