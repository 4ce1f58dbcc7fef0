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

struct reader_timing
{
    /// Pause between two questions to the same cell.
    duration interval = std::chrono::seconds(4);
    /// Pause after a question that was not answered; another member is asked.
    duration retry = std::chrono::milliseconds(500);
    /// Silence after which a member's row no longer counts.
    duration suspect_after = std::chrono::seconds(24);
};

/// The configured members of all cells. What is known of cells that stay is
/// kept.
struct cells_configured
{
    std::map<cell_id, std::vector<upstream_id>> cells;
    reader_timing timing;
};

/// A member answered for its cell.
struct cell_answered
{
    cell_id cell;
    fingerprint of;
    /// All rows; empty when the fingerprint asked with was current.
    std::vector<member_row> rows;
    /// Loads of the live members in order of ids, when there are no rows.
    std::vector<member_load> loads;
};

/// The member asked did not answer in time.
struct cell_silent
{
    cell_id cell;
};

struct reader_due
{
};

using reader_event =
    std::variant<cells_configured, cell_answered, cell_silent, reader_due>;

/// Ask a member for its cell.
struct ask_cell
{
    cell_id cell;
    upstream_id member;
    fingerprint known;
};

/// Send reader_due at this time; replaces the time set before.
struct wait_reader
{
    mono_time until;
};

/// The view of a cell changed.
struct cell_changed
{
    cell_id cell;
};

using reader_command = std::variant<ask_cell, wait_reader, cell_changed>;

class cell_reader
{
public:
    /// @param random draws members and jitter; outlives this object
    explicit cell_reader(random_source& random);

    /// Handles one event. Complexity: linear in the cells, and in the members
    /// of a cell that answered.
    [[nodiscard]] std::vector<reader_command> handle(
        const reader_event& event, mono_time now);

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
    void on(const cell_answered& event, mono_time now);
    void on(const cell_silent& event, mono_time now);
    void on(const reader_due& event, mono_time now);
    void ask(cell_id cell, cell_state& state, mono_time now);
    void arm();
    [[nodiscard]] upstream_id draw_member(
        const cell_state& state, mono_time now);

    reader_timing timing_;
    random_source* random_;
    std::map<cell_id, cell_state> cells_;
    std::vector<reader_command> commands_;
};

} // namespace wagtailseam::cell_gossip

#endif
