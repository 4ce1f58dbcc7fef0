// Shares, queues and the order of dispatch: start-time fair queueing (Goyal,
// Vin and Cheng, 1996) with one start tag for each workspace, and a bounded
// head start for workspaces that used less than their share (after borrowed
// virtual time, Duda and Cheriton, 1999).
#include "admission/admission_controller.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailseam::admission
{
namespace
{

/// Backlogged workspaces looked at for one that may use the headroom.
constexpr int max_scanned = 128;

/// Weight of a new sample in the mean cost of a request.
constexpr double cost_smoothing = 0.01;

} // namespace

admission_core::workspace_state& admission_core::touch(
    const workspace_id& id, mono_time now)
{
    auto found = workspaces_.find(id);
    if (found == workspaces_.end())
    {
        make_room_for_workspace();
        const auto weight = weights_.find(id);
        workspace_state fresh;
        fresh.weight = weight == weights_.end() ? 1.0 : weight->second;
        active_weight_ += fresh.weight;
        found = workspaces_.emplace(id, std::move(fresh)).first;
    }
    found->second.last_active = now;
    return found->second;
}

void admission_core::make_room_for_workspace()
{
    if (workspaces_.size() < options_.max_workspaces)
    {
        return;
    }
    auto oldest = workspaces_.end();
    for (auto at = workspaces_.begin(); at != workspaces_.end(); ++at)
    {
        const bool idle = at->second.queue.empty() && at->second.in_flight == 0;
        if (idle && (oldest == workspaces_.end() ||
                     at->second.last_active < oldest->second.last_active))
        {
            oldest = at;
        }
    }
    if (oldest != workspaces_.end())
    {
        forget(oldest);
    }
}

void admission_core::forget_idle(mono_time now)
{
    auto at = workspaces_.begin();
    while (at != workspaces_.end())
    {
        const auto current = at++;
        const workspace_state& state = current->second;
        if (state.queue.empty() && state.in_flight == 0 &&
            now - state.last_active > options_.activity_window)
        {
            forget(current);
        }
    }
}

void admission_core::forget(workspace_map::iterator at)
{
    active_weight_ -= at->second.weight;
    workspaces_.erase(at);
}

double admission_core::common_room() const
{
    return limit_.value() * (1 - options_.headroom);
}

bool admission_core::over_share(const workspace_state& of) const
{
    const double part = limit_.value() * of.weight / active_weight_;
    const double share = std::max(1.0, std::min(part, common_room()));
    const bool ahead = of.start_tag >= virtual_time_;
    return ahead && static_cast<double>(of.in_flight) >= share;
}

duration admission_core::expected_wait(
    const workspace_state& of, std::size_t position) const
{
    const double usable = over_share(of) ? common_room() : limit_.value();
    const bool room = static_cast<double>(running_.size()) + 1 <= usable;
    if (service_time_ == 0 || (queued_ == 0 && room))
    {
        return duration{};
    }
    const double own_weight = of.queue.empty() ? 0 : of.weight;
    const double others = std::max(0.0, backlogged_weight_ - own_weight);
    const double fraction = of.weight / (others + of.weight);
    const double starts_per_microsecond = usable * fraction / service_time_;
    const double wait =
        static_cast<double>(position + 1) / starts_per_microsecond;
    return duration(std::llround(wait));
}

workspace_id admission_core::most_backlogged() const
{
    workspace_id most;
    double longest = -1;
    for (const ready_set* const ready : {&background_, &foreground_})
    {
        for (const auto& [tag, id] : *ready)
        {
            const workspace_state& state = workspaces_.at(id);
            const double length =
                static_cast<double>(state.queue.size()) / state.weight;
            if (length > longest)
            {
                longest = length;
                most = id;
            }
        }
    }
    return most;
}

bool admission_core::find_place(const arrival& asked, random_source& random)
{
    const workspace_state& state = workspaces_.at(asked.workspace);
    const std::size_t length = state.queue.size();
    if (length >= options_.max_queued_per_workspace)
    {
        const result_code code = over_share(state)
                                     ? result_code::workspace_over_share
                                     : result_code::queue_full;
        add_refusal(
            asked, code, "workspace_queue", expected_wait(state, length),
            random);
        return false;
    }
    if (queued_ < options_.max_queued)
    {
        return true;
    }
    const workspace_id longest = most_backlogged();
    const workspace_state& other = workspaces_.at(longest);
    const double own = static_cast<double>(length + 1) / state.weight;
    if (own >= static_cast<double>(other.queue.size()) / other.weight)
    {
        add_refusal(
            asked, result_code::queue_full, "longest_queue",
            expected_wait(state, length), random);
        return false;
    }
    drop_last_of(longest, random);
    return true;
}

void admission_core::drop_last_of(const workspace_id& id, random_source& random)
{
    workspace_state& state = workspaces_.at(id);
    const duration wait = expected_wait(state, state.queue.size());
    unindex(id, state);
    const waiting dropped = take(state, state.queue.size() - 1);
    index(id, state);
    add_refusal(
        dropped.asked, result_code::workspace_over_share, "longest_queue", wait,
        random);
}

void admission_core::enqueue(const arrival& asked, mono_time now)
{
    workspace_state& state = workspaces_.at(asked.workspace);
    unindex(asked.workspace, state);
    if (state.queue.empty())
    {
        // What an idle workspace saves up is bounded by the burst.
        const double burst = options_.burst_requests * mean_cost_;
        state.start_tag =
            std::max(state.start_tag, virtual_time_ - burst / state.weight);
    }
    const auto cost = static_cast<double>(asked.cost.value());
    mean_cost_ += mean_cost_ == 0 ? cost : cost_smoothing * (cost - mean_cost_);
    const auto behind = std::find_if(
        state.queue.begin(), state.queue.end(),
        [&](const waiting& other) { return other.asked.level < asked.level; });
    state.queue.insert(behind, waiting{asked, now});
    places_.emplace(asked.request, asked.workspace);
    ++queued_;
    index(asked.workspace, state);
}

admission_core::waiting admission_core::take(
    workspace_state& from, std::size_t position)
{
    BOOST_ASSERT(position < from.queue.size());
    const auto at = from.queue.begin() + static_cast<std::ptrdiff_t>(position);
    waiting taken = std::move(*at);
    from.queue.erase(at);
    places_.erase(taken.asked.request);
    --queued_;
    return taken;
}

const workspace_id* admission_core::first_within_share() const
{
    int scanned = 0;
    for (const auto& [tag, id] : foreground_)
    {
        if (!over_share(workspaces_.at(id)))
        {
            return &id;
        }
        if (++scanned == max_scanned)
        {
            break;
        }
    }
    return nullptr;
}

const workspace_id* admission_core::next_workspace() const
{
    const double after = static_cast<double>(running_.size()) + 1;
    if (after > limit_.value())
    {
        return nullptr;
    }
    if (after > common_room())
    {
        return first_within_share();
    }
    const ready_set& ready = foreground_.empty() ? background_ : foreground_;
    return ready.empty() ? nullptr : &ready.begin()->second;
}

void admission_core::pump(random_source& random, mono_time now)
{
    while (const workspace_id* const next = next_workspace())
    {
        const workspace_id id = *next;
        workspace_state& state = workspaces_.at(id);
        const arrival& head = state.queue.front().asked;
        if (now + head.expected_first_token <= head.deadline)
        {
            start(id, now);
            continue;
        }
        add_refusal(
            head, result_code::deadline_unreachable, "waited_in_vain",
            duration{}, random);
        unindex(id, state);
        take(state, 0);
        index(id, state);
    }
}

void admission_core::start(const workspace_id& id, mono_time now)
{
    workspace_state& state = workspaces_.at(id);
    const bool over = over_share(state);
    unindex(id, state);
    const waiting head = take(state, 0);
    virtual_time_ = std::max(virtual_time_, state.start_tag);
    const auto cost = static_cast<double>(head.asked.cost.value());
    state.start_tag += std::max(1.0, cost) / state.weight;
    ++state.in_flight;
    state.last_active = now;
    index(id, state);
    running_.emplace(
        head.asked.request, running{id, head.asked.cost, now, over});
    out_.push_back(dispatch{
        .request = head.asked.request,
        .queued = now - head.since,
        .over_share = over});
}

admission_core::ready_set& admission_core::set_for(const workspace_state& state)
{
    const bool background =
        state.queue.front().asked.level == priority::background;
    return background ? background_ : foreground_;
}

void admission_core::index(const workspace_id& id, const workspace_state& state)
{
    if (!state.queue.empty())
    {
        set_for(state).emplace(state.start_tag, id);
        backlogged_weight_ += state.weight;
    }
}

void admission_core::unindex(
    const workspace_id& id, const workspace_state& state)
{
    if (!state.queue.empty())
    {
        set_for(state).erase({state.start_tag, id});
        backlogged_weight_ -= state.weight;
    }
}

} // namespace wagtailseam::admission
