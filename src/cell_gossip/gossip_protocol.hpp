// A sidecar's part in its cell's gossip: speaks of itself at each interval and
// exchanges rows with one member drawn at random.
#ifndef WAGTAILSEAM_CELL_GOSSIP_GOSSIP_PROTOCOL_HPP
#define WAGTAILSEAM_CELL_GOSSIP_GOSSIP_PROTOCOL_HPP

#include "cell_gossip/cell_table.hpp"
#include "core/random_source.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace wagtailseam::cell_gossip
{

struct gossip_options
{
    upstream_id self;
    incarnation process_incarnation;
    /// Above that of earlier lives, such as the calendar time of the start; a
    /// wrong clock is mended by what others remember of this member.
    std::uint64_t epoch = 1;
    cell_table::options table;
};

/// The configured members of the cell and its timing.
struct members_configured
{
    std::vector<upstream_id> members;
    /// Pause between two exchanges that this member begins. A change of state
    /// is spoken at once; load alone waits.
    duration interval = std::chrono::seconds(1);
    duration suspect_after = std::chrono::seconds(12);
};

/// What this member says of itself from now on.
struct local_state_changed
{
    member_identity identity;
    member_load load;
};

/// The timer of the interval is due.
struct gossip_timer_expired
{
};

/// Another member began an exchange with these rows.
struct exchange_received
{
    std::vector<member_row> rows;
};

/// The other member answered an exchange with these rows.
struct exchange_reply_received
{
    std::vector<member_row> rows;
};

using gossip_event = std::variant<
    members_configured, local_state_changed, gossip_timer_expired,
    exchange_received, exchange_reply_received>;

/// Begin an exchange with a member.
struct begin_exchange
{
    upstream_id peer;
    std::vector<member_row> rows;
};

/// Answer the exchange that was asked.
struct reply_to_exchange
{
    std::vector<member_row> rows;
};

/// Send gossip_timer_expired at this time.
struct set_gossip_timer
{
    mono_time expires_at;
};

using gossip_command =
    std::variant<begin_exchange, reply_to_exchange, set_gossip_timer>;

class gossip_protocol
{
public:
    /// @param random draws members and jitter; outlives this object
    gossip_protocol(const gossip_options& options, random_source& random);

    /// Handles one event. Complexity: linear in the cell's members.
    [[nodiscard]] std::vector<gossip_command> handle(
        const gossip_event& event, mono_time now);

    [[nodiscard]] const cell_table& table() const noexcept { return table_; }

private:
    void on(const members_configured& event, mono_time now);
    void on(const local_state_changed& event, mono_time now);
    void on(const gossip_timer_expired& event, mono_time now);
    void on(const exchange_received& event, mono_time now);
    void on(const exchange_reply_received& event, mono_time now);
    void merge(const std::vector<member_row>& rows, mono_time now);
    /// Adds rows of silent members that beat a row asked with: a member that
    /// restarted with a lower epoch has to hear of its earlier life, or its
    /// rows are refused until that life is forgotten.
    void append_contradictions(
        const std::vector<member_row>& asked, std::vector<member_row>& rows,
        mono_time now) const;
    void speak(mono_time now);
    void begin(mono_time now);

    gossip_options options_;
    random_source* random_;
    cell_table table_;
    std::vector<upstream_id> members_;
    duration interval_ = std::chrono::seconds(1);
    member_identity identity_;
    member_load load_;
    row_version version_;
    std::vector<gossip_command> commands_;
};

} // namespace wagtailseam::cell_gossip

#endif
