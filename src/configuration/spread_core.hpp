// How each process learns of accepted configurations and puts them in force.
// No I/O.
#ifndef WAGTAILSEAM_CONFIGURATION_SPREAD_CORE_HPP
#define WAGTAILSEAM_CONFIGURATION_SPREAD_CORE_HPP

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
using peer_id = strong_id<struct spread_peer_tag>;

/// An accepted configuration as processes pass it on. Never changes once made.
struct kept_configuration
{
    config_number number;
    digest object;
    std::shared_ptr<const std::string> bytes;
};

struct spread_options
{
    /// Entries poll; sidecars learn numbers from messages.
    bool polls_head = false;
    /// Mean time between two reads of the head.
    duration poll_interval = std::chrono::milliseconds(500);
    /// How long an unanswered read, fetch or offer counts as under way.
    duration answer_timeout = std::chrono::milliseconds(500);
    /// How long a starting process waits for silent peers while the platform
    /// is down.
    duration start_patience = std::chrono::seconds(5);
    /// How long a configuration waits for a peer to keep it as well.
    duration offer_patience = std::chrono::seconds(2);
    /// Processes that are asked at a start and offered what came from
    /// elsewhere: a few, at best in other data centres. Among entries the
    /// relation is mutual; sidecars have entries as peers.
    std::vector<peer_id> peers;
};

namespace spread_event
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

struct head_failed
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
    kept_configuration kept;
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
    kept_configuration kept;
    peer_id from;
};

/// A peer answered an offer: it has this number in force.
struct offer_taken
{
    peer_id by;
    config_number number;
};

} // namespace spread_event

using spread_input = std::variant<
    spread_event::tick, spread_event::head_read, spread_event::head_failed,
    spread_event::number_seen, spread_event::configuration_received,
    spread_event::nothing_newer, spread_event::fetch_failed,
    spread_event::offer_received, spread_event::offer_taken>;

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
    kept_configuration kept;
};

/// Use this configuration from now on.
struct put_in_force
{
    kept_configuration kept;
    /// Whether no peer took it in time; a restart may then miss it while the
    /// platform is down.
    bool alone = false;
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
    mono_time when;
};

using spread_command = std::variant<
    read_head, fetch_object, fetch_from_peer, offer_to_peer, put_in_force,
    become_ready, wake_at>;

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
class spread_core
{
public:
    spread_core(spread_options options, std::uint64_t seed);

    /// Takes an event. @return commands in order.
    /// Complexity: logarithmic in the peers known to have a newer number.
    [[nodiscard]] std::vector<spread_command> handle(
        const spread_input& event, mono_time now);

    /// The number in force; 0 before the first.
    [[nodiscard]] config_number in_force() const noexcept
    {
        return in_force_.number;
    }

    /// What this process passes on when asked.
    [[nodiscard]] const kept_configuration& kept() const noexcept
    {
        return in_force_;
    }

    /// Whether work may be taken.
    [[nodiscard]] bool ready() const noexcept { return ready_; }

    /// Whether the platform said that no configuration was ever accepted.
    [[nodiscard]] bool none_accepted() const noexcept
    {
        return head_confirmed_ && newest_number() == config_number{} &&
               head_number_ == config_number{};
    }

    /// Compares the number that a dispatch carries with the one in force.
    [[nodiscard]] dispatch_check check_dispatch(
        config_number senders) const noexcept;

private:
    using commands = std::vector<spread_command>;

    void on(const spread_event::tick& event);
    void on(const spread_event::head_read& event);
    void on(const spread_event::head_failed& event);
    void on(const spread_event::number_seen& event);
    void on(const spread_event::configuration_received& event);
    void on(const spread_event::nothing_newer& event);
    void on(const spread_event::fetch_failed& event);
    void on(const spread_event::offer_received& event);
    void on(const spread_event::offer_taken& event);

    void ask_peers_when_due();
    void poll_when_due();
    void fetch_when_behind();
    void fetch(bool head_ahead, bool peer_ahead);
    void offer_when_pending();
    void take(const kept_configuration& kept, bool from_own_peer);
    void adopt(const kept_configuration& kept, bool alone);
    [[nodiscard]] bool is_own_peer(const peer_id& other) const;
    void check_ready();
    void schedule();
    [[nodiscard]] duration jittered_interval();
    [[nodiscard]] config_number newest_number() const noexcept
    {
        return pending_ ? pending_->number : in_force_.number;
    }

    spread_options options_;
    random_source random_;
    mono_time now_{};
    commands out_;

    /// The number never goes down.
    kept_configuration in_force_;
    /// Above in_force_, not yet kept by one of options_.peers.
    std::optional<kept_configuration> pending_;
    mono_time pending_since_{};

    /// Highest head seen and its digest.
    config_number head_number_;
    digest head_object_;
    /// The highest number that a peer named above ours, and who named it.
    config_number seen_number_;
    peer_id seen_at_;

    bool ready_ = false;
    bool started_ = false;
    mono_time start_deadline_{};
    /// Whether the platform answered a head read since the start.
    bool head_confirmed_ = false;
    /// Whether a head read failed since the start without an answer after.
    bool head_failed_ = false;
    /// Start: peers that have not answered yet. At most options_.peers.
    std::set<peer_id> unheard_;
    /// Start: next repeat of the questions to unheard peers.
    mono_time next_peer_round_{};

    mono_time next_poll_{};
    /// While later than now, a fetch is under way.
    mono_time fetch_until_{};
    /// Whether the last fetch from there failed; both are cleared in turn.
    bool platform_failed_ = false;
    bool peer_failed_ = false;
    mono_time next_offer_{};
    mono_time scheduled_{};
};

} // namespace wagtailseam::configuration

#endif
