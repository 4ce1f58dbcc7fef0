// An entry's view of all cells. The poller queries one member of each cell,
// which answers for the whole cell; the answer contains identities only if the
// fingerprint differs from the entry's.
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
    /// Mean interval between two queries to the same cell.
    duration interval = std::chrono::seconds(4);
    /// Delay after a query without an answer; a member is then chosen anew.
    duration retry_delay = std::chrono::milliseconds(500);
    /// Time without an update after which a member is no longer live.
    duration suspect_after = std::chrono::seconds(24);
};

/// The configured members of all cells. The state of cells that stay configured
/// is kept.
struct cells_configured
{
    std::map<cell_id, std::vector<upstream_id>> cells;
    poll_timing timing;
};

/// A member answered the query for its cell.
struct query_answered
{
    cell_id cell;
    fingerprint table_fingerprint;
    /// All live rows; empty if the fingerprint of the query was current.
    std::vector<member_row> rows;
    /// Loads of the live members in order of their ids, if there are no rows.
    std::vector<member_load> loads;
};

/// The queried member did not answer in time.
struct query_timed_out
{
    cell_id cell;
};

struct poll_due
{
};

using poller_event =
    std::variant<cells_configured, query_answered, query_timed_out, poll_due>;

/// Queries a member for the state of its cell.
struct query_member
{
    cell_id cell;
    upstream_id member;
    fingerprint known_fingerprint;
};

/// Requests a poll_due event at this time; replaces the previous timer.
struct set_poll_timer
{
    mono_time expires_at;
};

/// Reports that the view of a cell changed.
struct cell_view_changed
{
    cell_id cell;
};

using poller_command =
    std::variant<query_member, set_poll_timer, cell_view_changed>;

class cell_poller
{
public:
    /// @param random source of the member choice and the jitter; must outlive
    /// this object
    explicit cell_poller(random_source& random);

    /// Handles one event. Complexity: linear in the number of cells and of the
    /// members of a cell that answered.
    [[nodiscard]] std::vector<poller_command> handle(
        const poller_event& event, mono_time now);

    /// Returns the live rows of a cell in order of their ids; empty before the
    /// first answer.
    [[nodiscard]] std::vector<member_row> live_rows(
        cell_id cell, mono_time now) const;

private:
    struct cell_state
    {
        std::vector<upstream_id> members;
        /// Rows are merged rather than replaced, because a member that has just
        /// started knows only itself and still answers for the whole cell.
        cell_table table;
        mono_time next_query;
        bool query_pending = false;
    };

    void on(const cells_configured& event, mono_time now);
    void on(const query_answered& event, mono_time now);
    void on(const query_timed_out& event, mono_time now);
    void on(const poll_due& event, mono_time now);
    void send_query(cell_id cell, cell_state& state, mono_time now);
    void schedule_next_poll();
    [[nodiscard]] upstream_id choose_member(
        const cell_state& state, mono_time now);

    poll_timing timing_;
    random_source* random_;
    std::map<cell_id, cell_state> cells_;
    std::vector<poller_command> commands_;
};

} // namespace wagtailseam::cell_gossip

#endif
