// Questions to cells, spread over the interval.
#include "cell_gossip/cell_reader.hpp"

#include <algorithm>
#include <utility>

namespace wagtailseam::cell_gossip
{

cell_reader::cell_reader(
    const cell_reader_options& options, random_source& random)
    : options_(options), random_(&random)
{
}

std::vector<reader_command> cell_reader::handle(
    const reader_event& event, mono_time now)
{
    std::visit([this, now](const auto& known) { on(known, now); }, event);
    arm();
    return std::exchange(commands_, {});
}

const cell_reader::cell_view* cell_reader::view(cell_id cell) const
{
    const auto found = cells_.find(cell);
    const bool known = found != cells_.end() && found->second.view;
    return known ? &*found->second.view : nullptr;
}

void cell_reader::on(const cells_configured& event, mono_time now)
{
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
        next.emplace(cell, std::move(state));
    }
    cells_ = std::move(next);
    on(reader_due{}, now);
}

void cell_reader::on(const cell_answered& event, mono_time now)
{
    const auto found = cells_.find(event.cell);
    if (found == cells_.end())
    {
        return;
    }
    cell_state& state = found->second;
    state.asked = false;
    if (!event.rows.empty())
    {
        state.view = cell_view{event.rows, now};
    }
    else if (state.view && event.loads.size() == state.view->rows.size())
    {
        const duration passed = now - state.view->heard;
        for (std::size_t i = 0; i < event.loads.size(); ++i)
        {
            state.view->rows[i].load = event.loads[i];
            state.view->rows[i].clock_us += passed.count();
        }
        state.view->heard = now;
    }
    else
    {
        // Loads without rows to put them to: the next question gets rows.
        state.view.reset();
        state.next_ask = now + options_.retry;
        return;
    }
    commands_.emplace_back(cell_changed{event.cell});
}

void cell_reader::on(const cell_silent& event, mono_time now)
{
    const auto found = cells_.find(event.cell);
    if (found != cells_.end())
    {
        found->second.asked = false;
        found->second.next_ask = now + options_.retry;
    }
}

void cell_reader::on(const reader_due&, mono_time now)
{
    for (auto& [cell, state] : cells_)
    {
        if (!state.asked && state.next_ask <= now && !state.members.empty())
        {
            ask(cell, state, now);
        }
    }
}

void cell_reader::ask(cell_id cell, cell_state& state, mono_time now)
{
    state.asked = true;
    const double jitter = 0.9 + 0.2 * random_->unit();
    state.next_ask =
        now + duration(static_cast<duration::rep>(
                  jitter * static_cast<double>(options_.interval.count())));
    const fingerprint known =
        state.view ? fingerprint_of(state.view->rows) : fingerprint{};
    commands_.emplace_back(ask_cell{cell, draw_member(state), known});
}

upstream_id cell_reader::draw_member(const cell_state& state)
{
    // A member that was live is asked nine times in ten; the tenth question
    // goes to any, so that a view that lost everybody recovers.
    const bool any =
        !state.view || state.view->rows.empty() || random_->below(10) == 0;
    if (any)
    {
        return state.members[random_->below(state.members.size())];
    }
    const auto& rows = state.view->rows;
    return rows[random_->below(rows.size())].member;
}

void cell_reader::arm()
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
        commands_.emplace_back(wait_reader{*first});
    }
}

} // namespace wagtailseam::cell_gossip
