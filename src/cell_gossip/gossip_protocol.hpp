// Gossip protocol of a sidecar within its cell: at each interval, it publishes
// its own row and exchanges rows with a random member.
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
    /// Should exceed the epochs of earlier incarnations, for example the wall
    /// clock time at start. If the clock is wrong, the protocol raises the
    /// epoch above the rows that other members hold for this member.
    std::uint64_t epoch = 1;
    cell_table::options table;
};

/// The configured members of the cell and its timing.
struct members_configured
{
    std::vector<upstream_id> members;
    /// Mean interval between two exchanges that this member begins. A change of
    /// identity is published immediately, a change of load at the next
    /// interval.
    duration interval = std::chrono::seconds(1);
    duration suspect_after = std::chrono::seconds(12);
};

/// The identity or the load of this member changed.
struct local_state_changed
{
    member_identity identity;
    member_load load;
};

/// The timer of set_gossip_timer expired.
struct gossip_timer_expired
{
};

/// Another member began an exchange and sent these rows.
struct exchange_received
{
    std::vector<member_row> rows;
};

/// The other member replied to an exchange with these rows.
struct exchange_reply_received
{
    std::vector<member_row> rows;
};

using gossip_event = std::variant<
    members_configured, local_state_changed, gossip_timer_expired,
    exchange_received, exchange_reply_received>;

/// Begins an exchange with a member.
struct begin_exchange
{
    upstream_id peer;
    std::vector<member_row> rows;
};

/// Replies to the received exchange.
struct reply_to_exchange
{
    std::vector<member_row> rows;
};

/// Requests a gossip_timer_expired event at this time.
struct set_gossip_timer
{
    mono_time expires_at;
};

using gossip_command =
    std::variant<begin_exchange, reply_to_exchange, set_gossip_timer>;

class gossip_protocol
{
public:
    /// @param random source of the member choice and the jitter; must outlive
    /// this object
    gossip_protocol(const gossip_options& options, random_source& random);

    /// Handles one event. Complexity: linear in the number of members.
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
    /// Appends rows of non-live members whose stored incarnation differs from
    /// the received one. A member that restarted with a lower epoch must learn
    /// of its earlier incarnation; otherwise its rows are rejected until the
    /// earlier row expires.
    void append_conflicting_rows(
        const std::vector<member_row>& received, std::vector<member_row>& rows,
        mono_time now) const;
    void publish_own_row(mono_time now);
    void begin_random_exchange(mono_time now);

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
