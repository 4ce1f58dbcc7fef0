// How each process learns of accepted configurations and puts them in force.
// No I/O.
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

/// Address of another process that keeps configurations.
using peer_id = strong_id<struct distribution_peer_tag>;

/// An accepted configuration as processes pass it on. Never changes once made.
struct configuration_snapshot
{
    config_number number;
    digest object;
    std::shared_ptr<const std::string> bytes;
};

struct distribution_options
{
    /// Entries poll; sidecars learn numbers from messages.
    bool polls_head = false;
    /// Mean time between two reads of the head.
    duration poll_interval = std::chrono::milliseconds(500);
    /// How long an unanswered read, fetch or offer counts as under way.
    duration response_timeout = std::chrono::milliseconds(500);
    /// How long a starting process waits for silent peers while the platform
    /// is down.
    duration startup_timeout = std::chrono::seconds(5);
    /// How long a configuration waits for a peer to keep it as well.
    duration replication_timeout = std::chrono::seconds(2);
    /// Processes that are asked at a start and offered what came from
    /// elsewhere: a few, at best in other data centres. Among entries the
    /// relation is mutual; sidecars have entries as peers.
    std::vector<peer_id> peers;
};

namespace distribution_event
{

/// The process has started, or a wake-up is due.
struct tick
{
};

/// The platform's head: a number and a digest, or number 0 when nothing is
/// accepted.
struct head_read
{
    config_number number;
    digest object;
};

struct head_read_failed
{
};

/// Any message from a process named its number.
struct number_seen
{
    config_number number;
    peer_id from;
};

/// The answer to a fetch, from the platform (no peer) or from a peer.
struct configuration_received
{
    configuration_snapshot snapshot;
    std::optional<peer_id> from;
};

/// A peer that is ready answered that it has nothing newer than this number
/// in force. A peer that is not ready answers no fetch: fetch_failed.
struct nothing_newer
{
    peer_id from;
    config_number number;
};

struct fetch_failed
{
    std::optional<peer_id> from;
};

/// A peer sent bytes unasked. They may be older than what it has by now, so
/// they do not count as its answer at a start.
struct offer_received
{
    configuration_snapshot snapshot;
    peer_id from;
};

/// A peer answered an offer: it has this number in force.
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

/// Read the head row of the platform's table.
struct read_head
{
};

/// Fetch an object by its digest from the platform.
struct fetch_object
{
    config_number number;
    digest object;
};

/// Ask a peer for what it keeps, if that is above a number.
struct fetch_from_peer
{
    peer_id peer;
    config_number above;
};

/// Send a configuration to a peer, which answers when it keeps it.
struct offer_to_peer
{
    peer_id peer;
    configuration_snapshot snapshot;
};

/// Use this configuration from now on.
struct activate_configuration
{
    configuration_snapshot snapshot;
    /// Whether no peer took it in time; a restart may then miss it while the
    /// platform is down.
    bool unreplicated = false;
};

/// The process may take work.
struct become_ready
{
    /// Whether the platform, or every peer, confirmed that there was nothing
    /// newer.
    bool confirmed = false;
};

struct wake_at
{
    mono_time time;
};

using distribution_command = std::variant<
    read_head, fetch_object, fetch_from_peer, offer_to_peer,
    activate_configuration, become_ready, wake_at>;

/// Which side of a dispatch has to catch up first.
enum class dispatch_check : std::uint8_t
{
    /// Both run the same configuration.
    same_number,
    /// The receiver is behind and fetches before it runs anything.
    receiver_behind,
    /// The sender is behind; it is refused with the receiver's number.
    sender_behind,
};

/// The configuration of one process.
///
/// In memory a number never goes down: only a higher one is put in force.
/// Over a restart, without a disk: a configuration is put in force only when
/// one of the peers that this process asks at its start keeps it as well, and
/// a start during an outage of the platform waits for all of these peers.
/// Both waits have a patience; docs/design/configuration.md says what is lost
/// when it ends. What a process passes on when asked is what it has in force.
class distribution_state_machine
{
public:
    distribution_state_machine(
        distribution_options options, std::uint64_t seed);

    /// Takes an event. @return commands in order.
    /// Complexity: logarithmic in the peers known to have a newer number.
    [[nodiscard]] std::vector<distribution_command> handle(
        const distribution_input& event, mono_time now);

    /// The number in force; 0 before the first.
    [[nodiscard]] config_number active_number() const noexcept
    {
        return active_.number;
    }

    /// What this process passes on when asked.
    [[nodiscard]] const configuration_snapshot& active() const noexcept
    {
        return active_;
    }

    /// Whether work may be taken.
    [[nodiscard]] bool ready() const noexcept { return ready_; }

    /// Whether the platform said that no configuration was ever accepted.
    [[nodiscard]] bool none_accepted() const noexcept
    {
        return head_confirmed_ && newest_held_number() == config_number{} &&
               head_number_ == config_number{};
    }

    /// Compares the number that a dispatch carries with the one in force.
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

    /// The number never goes down.
    configuration_snapshot active_;
    /// Above active_, not yet kept by one of options_.peers.
    std::optional<configuration_snapshot> pending_;
    mono_time pending_since_{};

    /// Highest head seen and its digest.
    config_number head_number_;
    digest head_object_;
    /// The highest number that a peer named above ours, and who named it.
    config_number newest_peer_number_;
    peer_id newest_peer_;

    bool ready_ = false;
    bool started_ = false;
    mono_time start_deadline_{};
    /// Whether the platform answered a head read since the start.
    bool head_confirmed_ = false;
    /// Whether a head read failed since the start without an answer after.
    bool head_failed_ = false;
    /// Start: peers that have not answered yet. At most options_.peers.
    std::set<peer_id> unanswered_peers_;
    /// Start: next repeat of the questions to unheard peers.
    mono_time next_peer_query_{};

    mono_time next_poll_{};
    /// While later than now, a fetch is under way.
    mono_time fetch_deadline_{};
    /// Whether the last fetch from there failed; both are cleared in turn.
    bool platform_failed_ = false;
    bool peer_failed_ = false;
    mono_time next_offer_{};
    mono_time scheduled_wake_{};
};

} // namespace wagtailseam::configuration

#endif
