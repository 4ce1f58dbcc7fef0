// What a sidecar knows of the members of its cell: who lives, in which life,
// and how loaded. Rows are merged from gossip; a newer row always wins, so
// that tables converge whatever the order of messages.
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
    /// Takes new work.
    ready,
    /// The upstream behind the sidecar does not answer.
    upstream_down,
    /// Leaves and takes no new work.
    draining,
};

/// Orders the rows of one member: by life first, then by beat. A member that
/// starts takes an epoch above all that it hears of itself.
struct row_version
{
    std::uint64_t epoch = 0;
    std::uint64_t heartbeat = 0;

    friend auto operator<=>(const row_version&, const row_version&) = default;
};

/// What changes seldom: part of the table's fingerprint.
struct member_identity
{
    incarnation process_incarnation;
    member_state state = member_state::ready;
    weight_version running_version;

    friend bool operator==(const member_identity&, const member_identity&) =
        default;
};

/// What changes always, one byte each on log_scale.
struct member_load
{
    std::uint8_t queued_tokens = 0;
    std::uint8_t prefill_rate = 0;
    std::uint8_t running_requests = 0;

    friend bool operator==(const member_load&, const member_load&) = default;
};

/// One member as it last spoke of itself.
struct member_row
{
    upstream_id member;
    row_version version;
    member_identity identity;
    member_load load;
    /// The member's own monotonic clock when it spoke, microseconds, plus the
    /// time that the row has spent in tables since.
    std::int64_t clock_us = 0;

    friend bool operator==(const member_row&, const member_row&) = default;
};

/// Equal for tables that hold the same members with the same identities.
using fingerprint = strong_id<struct fingerprint_tag, std::uint64_t>;

/// Rows of one cell. Bounded by the number of members that speak within
/// expire_after.
class cell_table
{
public:
    struct options
    {
        /// Silence after which a member is left out of answers.
        duration suspect_after = std::chrono::seconds(12);
        /// Silence after which a member's row is dropped.
        duration expire_after = std::chrono::minutes(10);
        /// Rows kept; more are refused, so that a fault cannot fill memory.
        std::size_t max_members = 1'024;
    };

    cell_table() : cell_table(options{}) {}
    explicit cell_table(const options& settings) : options_(settings) {}

    /// Changes when a member counts as silent.
    void set_suspect_after(duration silence) noexcept
    {
        options_.suspect_after = silence;
    }

    /// Takes a row unless a newer one is known.
    /// @return whether it was taken. Complexity: logarithmic in the members.
    bool merge(const member_row& row, mono_time now);

    /// Takes the loads of all live members, in order of their ids, as news of
    /// them. @return false, and nothing is taken, when their number differs
    bool update_loads(const std::vector<member_load>& loads, mono_time now);

    /// Drops rows of members that have been silent for expire_after.
    void remove_expired(mono_time now);

    /// Returns a member's row, null when there is none.
    [[nodiscard]] const member_row* find(const upstream_id& member) const;

    /// Whether a member has spoken within suspect_after.
    [[nodiscard]] bool is_live(const upstream_id& member, mono_time now) const;

    /// Returns all rows that were not silent for suspect_after, in order of
    /// ids, with their clocks moved on by the time spent here.
    [[nodiscard]] std::vector<member_row> live_rows(mono_time now) const;

    /// Returns the fingerprint of live_rows.
    [[nodiscard]] fingerprint live_fingerprint(mono_time now) const;

    [[nodiscard]] std::size_t size() const noexcept { return rows_.size(); }

private:
    struct stored_row
    {
        member_row row;
        /// When the row came, by this process's clock.
        mono_time received_at;
    };

    [[nodiscard]] bool live(const stored_row& held, mono_time now) const;

    options options_;
    std::map<upstream_id, stored_row> rows_;
};

/// Returns the fingerprint of rows in order of ids.
[[nodiscard]] fingerprint compute_fingerprint(
    const std::vector<member_row>& rows);

} // namespace wagtailseam::cell_gossip

#endif
