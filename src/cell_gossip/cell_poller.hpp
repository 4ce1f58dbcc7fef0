// An entry's view of all cells: asks one member of each cell in turn, which
// answers for the whole cell. The answer carries identities only when the
// fingerprint differs from what the entry has.
#ifndef WAGTAILSEAM_CELL_GOSSIP_CELL_POLLER_HPP
#define WAGTAILSEAM_CELL_GOSSIP_CELL_POLLER_HPP

#include "cell_gossip/cell_table.hpp"
#include "core/random_source.hpp"

#include <map>
#include <variant>
#include <vector>

namespace wagtailseam::cell_gossip
{

struct poll_timing
{
    /// Pause between two questions to the same cell.
    duration interval = std::chrono::seconds(4);
    /// Pause after a question that was not answered; another member is asked.
    duration retry_delay = std::chrono::milliseconds(500);
    /// Silence after which a member's row no longer counts.
    duration suspect_after = std::chrono::seconds(24);
};

/// The configured members of all cells. What is known of cells that stay is
/// kept.
struct cells_configured
{
    std::map<cell_id, std::vector<upstream_id>> cells;
    poll_timing timing;
};

/// A member answered for its cell.
struct query_answered
{
    cell_id cell;
    fingerprint table_fingerprint;
    /// All rows; empty when the fingerprint asked with was current.
    std::vector<member_row> rows;
    /// Loads of the live members in order of ids, when there are no rows.
    std::vector<member_load> loads;
};

/// The member asked did not answer in time.
struct query_timed_out
{
    cell_id cell;
};

struct poll_due
{
};

using poller_event =
    std::variant<cells_configured, query_answered, query_timed_out, poll_due>;

/// Ask a member for its cell.
struct query_member
{
    cell_id cell;
    upstream_id member;
    fingerprint known_fingerprint;
};

/// Send poll_due at this time; replaces the time set before.
struct set_poll_timer
{
    mono_time expires_at;
};

/// The view of a cell changed.
struct cell_view_changed
{
    cell_id cell;
};

using poller_command =
    std::variant<query_member, set_poll_timer, cell_view_changed>;

class cell_poller
{
public:
    /// @param random draws members and jitter; outlives this object
    explicit cell_poller(random_source& random);

    /// Handles one event. Complexity: linear in the cells, and in the members
    /// of a cell that answered.
    [[nodiscard]] std::vector<poller_command> handle(
        const poller_event& event, mono_time now);

    /// Returns the live rows of a cell, in order of ids; none before the first
    /// answer.
    [[nodiscard]] std::vector<member_row> live_rows(
        cell_id cell, mono_time now) const;

private:
    struct cell_state
    {
        std::vector<upstream_id> members;
        /// Rows are merged and not replaced: a member that has just started
        /// answers for a cell of which it knows only itself.
        cell_table table;
        mono_time next_ask;
        bool asked = false;
    };

    void on(const cells_configured& event, mono_time now);
    void on(const query_answered& event, mono_time now);
    void on(const query_timed_out& event, mono_time now);
    void on(const poll_due& event, mono_time now);
    void ask(cell_id cell, cell_state& state, mono_time now);
    void arm();
    [[nodiscard]] upstream_id draw_member(
        const cell_state& state, mono_time now);

    poll_timing timing_;
    random_source* random_;
    std::map<cell_id, cell_state> cells_;
    std::vector<poller_command> commands_;
};

} // namespace wagtailseam::cell_gossip

#endif
