// Membership table of a cell: the liveness, incarnation and load of each
// member. Rows are merged from gossip. A newer row always wins, so tables
// converge regardless of the message order.
#ifndef WAGTAILSEAM_CELL_GOSSIP_CELL_TABLE_HPP
#define WAGTAILSEAM_CELL_GOSSIP_CELL_TABLE_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace wagtailseam::cell_gossip
{

enum class member_state : std::uint8_t
{
    /// Accepts new work.
    ready,
    /// The sidecar runs, but its upstream does not respond.
    upstream_down,
    /// Is shutting down and accepts no new work.
    draining,
};

/// Orders the rows of one member by epoch and then by heartbeat. A restarted
/// member chooses an epoch above each epoch that it receives about itself.
struct row_version
{
    std::uint64_t epoch = 0;
    std::uint64_t heartbeat = 0;

    friend auto operator<=>(const row_version&, const row_version&) = default;
};

/// Rarely changing part of a row, covered by the table's fingerprint.
struct member_identity
{
    incarnation process_incarnation;
    member_state state = member_state::ready;
    weight_version running_version;

    friend bool operator==(const member_identity&, const member_identity&) =
        default;
};

/// Frequently changing part of a row; each field is encoded by
/// encode_log_scale.
struct member_load
{
    std::uint8_t queued_tokens = 0;
    std::uint8_t prefill_rate = 0;
    std::uint8_t running_requests = 0;

    friend bool operator==(const member_load&, const member_load&) = default;
};

/// State of a member, as it last published it.
struct member_row
{
    upstream_id member;
    row_version version;
    member_identity identity;
    member_load load;
    /// The member's monotonic clock in microseconds at the time of publication,
    /// plus the time that the row has spent in tables since.
    std::int64_t clock_us = 0;

    friend bool operator==(const member_row&, const member_row&) = default;
};

/// Hash of the members and their identities; equal for tables with the same
/// members and identities.
using fingerprint = strong_id<struct fingerprint_tag, std::uint64_t>;

/// Rows of one cell, limited by max_members. Rows without an update for
/// expire_after are removed.
class cell_table
{
public:
    struct options
    {
        /// Time without an update after which a member is no longer live.
        duration suspect_after = std::chrono::seconds(12);
        /// Time without an update after which a member's row is removed.
        duration expire_after = std::chrono::minutes(10);
        /// Maximum number of rows. Further members are rejected, so that a
        /// fault cannot exhaust the memory.
        std::size_t max_members = 1'024;
    };

    cell_table() : cell_table(options{}) {}
    explicit cell_table(const options& settings) : options_(settings) {}

    /// Sets the time without an update after which a member is no longer live.
    void set_suspect_after(duration timeout) noexcept
    {
        options_.suspect_after = timeout;
    }

    /// Stores a row if it is newer than the stored one; rejects a new member if
    /// the table is full.
    /// @return whether the row was stored. Complexity: logarithmic in size().
    bool merge(const member_row& row, mono_time now);

    /// Updates the loads of all live members, given in order of their ids, and
    /// marks the members as seen. @return false, without a change, if the
    /// number of loads is not that of the live members
    bool update_loads(const std::vector<member_load>& loads, mono_time now);

    /// Removes rows without an update for more than expire_after.
    void remove_expired(mono_time now);

    /// Returns a member's row, or null if there is none.
    [[nodiscard]] const member_row* find(const upstream_id& member) const;

    /// Returns whether a member was updated within suspect_after.
    [[nodiscard]] bool is_live(const upstream_id& member, mono_time now) const;

    /// Returns the rows of all live members in order of their ids, with their
    /// clocks advanced by the time since the row was received.
    [[nodiscard]] std::vector<member_row> live_rows(mono_time now) const;

    /// Returns the fingerprint of live_rows.
    [[nodiscard]] fingerprint live_fingerprint(mono_time now) const;

    [[nodiscard]] std::size_t size() const noexcept { return rows_.size(); }

private:
    struct stored_row
    {
        member_row row;
        /// Time of reception on this process's clock.
        mono_time received_at;
    };

    [[nodiscard]] bool is_live_row(
        const stored_row& stored, mono_time now) const;

    options options_;
    std::map<upstream_id, stored_row> rows_;
};

/// Returns the fingerprint of rows, which must be in order of their ids.
[[nodiscard]] fingerprint compute_fingerprint(
    const std::vector<member_row>& rows);

} // namespace wagtailseam::cell_gossip

#endif
