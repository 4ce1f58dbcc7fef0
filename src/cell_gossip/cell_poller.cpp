// Periodic queries to cells, spread over the interval by random jitter.
#include "cell_gossip/cell_poller.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace wagtailseam::cell_gossip
{

cell_poller::cell_poller(random_source& random) : random_(&random) {}

std::vector<poller_command> cell_poller::handle(
    const poller_event& event, mono_time now)
{
    std::visit(
        [this, now](const auto& alternative) { on(alternative, now); }, event);
    schedule_next_poll();
    return std::exchange(commands_, {});
}

std::vector<member_row> cell_poller::live_rows(
    cell_id cell, mono_time now) const
{
    const auto found = cells_.find(cell);
    return found == cells_.end() ? std::vector<member_row>{}
                                 : found->second.table.live_rows(now);
}

void cell_poller::on(const cells_configured& event, mono_time now)
{
    timing_ = event.timing;
    std::map<cell_id, cell_state> configured;
    for (const auto& [cell, members] : event.cells)
    {
        cell_state state;
        const auto previous = cells_.find(cell);
        if (previous != cells_.end())
        {
            state = std::move(previous->second);
        }
        else
        {
            state.next_query = now;
        }
        state.members = members;
        state.table.set_suspect_after(timing_.suspect_after);
        configured.emplace(cell, std::move(state));
    }
    cells_ = std::move(configured);
    on(poll_due{}, now);
}

void cell_poller::on(const query_answered& event, mono_time now)
{
    const auto found = cells_.find(event.cell);
    if (found == cells_.end())
    {
        return;
    }
    cell_state& state = found->second;
    state.query_pending = false;
    state.table.remove_expired(now);
    for (const member_row& row : event.rows)
    {
        state.table.merge(row, now);
    }
    if (event.rows.empty() && !state.table.update_loads(event.loads, now))
    {
        // The live members changed since the query, so the loads do not match
        // the rows: query again soon, to get all rows.
        state.next_query =
            std::min(state.next_query, now + timing_.retry_delay);
    }
    commands_.emplace_back(cell_view_changed{event.cell});
}

void cell_poller::on(const query_timed_out& event, mono_time now)
{
    const auto found = cells_.find(event.cell);
    if (found != cells_.end())
    {
        found->second.query_pending = false;
        found->second.next_query = now + timing_.retry_delay;
    }
}

void cell_poller::on(const poll_due&, mono_time now)
{
    for (auto& [cell, state] : cells_)
    {
        if (!state.query_pending && state.next_query <= now &&
            !state.members.empty())
        {
            send_query(cell, state, now);
        }
    }
}

void cell_poller::send_query(cell_id cell, cell_state& state, mono_time now)
{
    state.query_pending = true;
    const double jitter = 0.9 + 0.2 * random_->unit();
    state.next_query =
        now + duration(static_cast<duration::rep>(
                  jitter * static_cast<double>(timing_.interval.count())));
    const fingerprint known_fingerprint = state.table.live_fingerprint(now);
    commands_.emplace_back(
        query_member{cell, choose_member(state, now), known_fingerprint});
}

upstream_id cell_poller::choose_member(const cell_state& state, mono_time now)
{
    // Nine of ten queries go to a live member, the others to any configured
    // member, so that a view without a reachable live member recovers.
    const auto rows = state.table.live_rows(now);
    const bool any_member = rows.empty() || random_->below(10) == 0;
    return any_member ? state.members[random_->below(state.members.size())]
                      : rows[random_->below(rows.size())].member;
}

void cell_poller::schedule_next_poll()
{
    std::optional<mono_time> earliest;
    for (const auto& [cell, state] : cells_)
    {
        if (!state.query_pending && (!earliest || state.next_query < *earliest))
        {
            earliest = state.next_query;
        }
    }
    if (earliest)
    {
        commands_.emplace_back(set_poll_timer{*earliest});
    }
}

} // namespace wagtailseam::cell_gossip
