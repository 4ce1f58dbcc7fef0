// Questions to cells, spread over the interval.
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
    std::visit([this, now](const auto& known) { on(known, now); }, event);
    arm();
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
    std::map<cell_id, cell_state> next;
    for (const auto& [cell, members] : event.cells)
    {
        cell_state state;
        const auto known = cells_.find(cell);
        if (known != cells_.end())
        {
            state = std::move(known->second);
        }
        else
        {
            state.next_ask = now;
        }
        state.members = members;
        state.table.set_suspect_after(timing_.suspect_after);
        next.emplace(cell, std::move(state));
    }
    cells_ = std::move(next);
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
    state.asked = false;
    state.table.remove_expired(now);
    for (const member_row& row : event.rows)
    {
        state.table.merge(row, now);
    }
    if (event.rows.empty() && !state.table.update_loads(event.loads, now))
    {
        // A member fell silent since the question: the next one gets rows.
        state.next_ask = std::min(state.next_ask, now + timing_.retry_delay);
    }
    commands_.emplace_back(cell_view_changed{event.cell});
}

void cell_poller::on(const query_timed_out& event, mono_time now)
{
    const auto found = cells_.find(event.cell);
    if (found != cells_.end())
    {
        found->second.asked = false;
        found->second.next_ask = now + timing_.retry_delay;
    }
}

void cell_poller::on(const poll_due&, mono_time now)
{
    for (auto& [cell, state] : cells_)
    {
        if (!state.asked && state.next_ask <= now && !state.members.empty())
        {
            ask(cell, state, now);
        }
    }
}

void cell_poller::ask(cell_id cell, cell_state& state, mono_time now)
{
    state.asked = true;
    const double jitter = 0.9 + 0.2 * random_->unit();
    state.next_ask =
        now + duration(static_cast<duration::rep>(
                  jitter * static_cast<double>(timing_.interval.count())));
    const fingerprint known = state.table.live_fingerprint(now);
    commands_.emplace_back(query_member{cell, draw_member(state, now), known});
}

upstream_id cell_poller::draw_member(const cell_state& state, mono_time now)
{
    // A live member is asked nine times in ten; the tenth question goes to
    // any, so that a view that lost everybody recovers.
    const auto rows = state.table.live_rows(now);
    const bool any = rows.empty() || random_->below(10) == 0;
    return any ? state.members[random_->below(state.members.size())]
               : rows[random_->below(rows.size())].member;
}

void cell_poller::arm()
{
    std::optional<mono_time> first;
    for (const auto& [cell, state] : cells_)
    {
        if (!state.asked && (!first || state.next_ask < *first))
        {
            first = state.next_ask;
        }
    }
    if (first)
    {
        commands_.emplace_back(set_poll_timer{*first});
    }
}

} // namespace wagtailseam::cell_gossip
