// Start-time fair queueing (Goyal, Vin and Cheng, 1996) with one start tag per
// workspace. Workspaces that used less than their share get a bounded credit,
// similar to borrowed virtual time (Duda and Cheriton, 1999).
#include "admission/admission_controller.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailseam::admission
{
namespace
{

/// Backlogged workspaces examined to find one that may use the headroom.
constexpr int max_headroom_scan = 128;

/// Weight of a new sample in the moving average of the request cost.
constexpr double cost_smoothing = 0.01;

} // namespace

admission_controller::workspace_state& admission_controller::activate_workspace(
    const workspace_id& id, mono_time now)
{
    auto found = workspaces_.find(id);
    if (found == workspaces_.end())
    {
        evict_idle_workspace();
        const auto weight = weights_.find(id);
        workspace_state added;
        added.weight = weight == weights_.end() ? 1.0 : weight->second;
        active_weight_ += added.weight;
        found = workspaces_.emplace(id, std::move(added)).first;
    }
    found->second.last_active = now;
    return found->second;
}

void admission_controller::evict_idle_workspace()
{
    if (workspaces_.size() < options_.max_workspaces)
    {
        return;
    }
    auto oldest = workspaces_.end();
    for (auto candidate = workspaces_.begin(); candidate != workspaces_.end();
         ++candidate)
    {
        const bool idle =
            candidate->second.queue.empty() && candidate->second.in_flight == 0;
        if (idle &&
            (oldest == workspaces_.end() ||
             candidate->second.last_active < oldest->second.last_active))
        {
            oldest = candidate;
        }
    }
    if (oldest != workspaces_.end())
    {
        remove_workspace(oldest);
    }
}

void admission_controller::remove_idle_workspaces(mono_time now)
{
    auto next = workspaces_.begin();
    while (next != workspaces_.end())
    {
        const auto current = next++;
        const workspace_state& state = current->second;
        if (state.queue.empty() && state.in_flight == 0 &&
            now - state.last_active > options_.activity_window)
        {
            remove_workspace(current);
        }
    }
}

void admission_controller::remove_workspace(workspace_map::iterator workspace)
{
    active_weight_ -= workspace->second.weight;
    workspaces_.erase(workspace);
}

double admission_controller::shared_limit() const
{
    return limit_.value() * (1 - options_.headroom);
}

bool admission_controller::exceeds_share(const workspace_state& state) const
{
    const double weighted_part = limit_.value() * state.weight / active_weight_;
    const double share = std::max(1.0, std::min(weighted_part, shared_limit()));
    const bool not_behind = state.start_tag >= virtual_time_;
    return not_behind && static_cast<double>(state.in_flight) >= share;
}

duration admission_controller::expected_wait(
    const workspace_state& state, std::size_t position) const
{
    const double usable_limit =
        exceeds_share(state) ? shared_limit() : limit_.value();
    const bool has_capacity =
        static_cast<double>(in_flight_.size()) + 1 <= usable_limit;
    if (mean_service_time_us_ == 0 || (queued_count_ == 0 && has_capacity))
    {
        return duration{};
    }
    const double own_backlogged_weight = state.queue.empty() ? 0 : state.weight;
    const double other_weights =
        std::max(0.0, backlogged_weight_ - own_backlogged_weight);
    const double fraction = state.weight / (other_weights + state.weight);
    const double starts_per_microsecond =
        usable_limit * fraction / mean_service_time_us_;
    const double wait =
        static_cast<double>(position + 1) / starts_per_microsecond;
    return duration(std::llround(wait));
}

workspace_id admission_controller::most_backlogged_workspace() const
{
    workspace_id most_backlogged;
    double longest_queue = -1;
    for (const backlog_set* const backlog :
         {&background_backlog_, &foreground_backlog_})
    {
        for (const auto& [tag, id] : *backlog)
        {
            const workspace_state& state = workspaces_.at(id);
            const double length =
                static_cast<double>(state.queue.size()) / state.weight;
            if (length > longest_queue)
            {
                longest_queue = length;
                most_backlogged = id;
            }
        }
    }
    return most_backlogged;
}

bool admission_controller::make_queue_space(
    const request_arrived& arrival, random_source& random)
{
    const workspace_state& state = workspaces_.at(arrival.workspace);
    const std::size_t length = state.queue.size();
    if (length >= options_.max_queued_per_workspace)
    {
        const result_code code = exceeds_share(state)
                                     ? result_code::workspace_over_share
                                     : result_code::queue_full;
        add_refusal(
            arrival, code, "workspace_queue", expected_wait(state, length),
            random);
        return false;
    }
    if (queued_count_ < options_.max_queued)
    {
        return true;
    }
    const workspace_id longest_id = most_backlogged_workspace();
    const workspace_state& other = workspaces_.at(longest_id);
    const double own_length = static_cast<double>(length + 1) / state.weight;
    if (own_length >= static_cast<double>(other.queue.size()) / other.weight)
    {
        add_refusal(
            arrival, result_code::queue_full, "longest_queue",
            expected_wait(state, length), random);
        return false;
    }
    drop_last_request(longest_id, random);
    return true;
}

void admission_controller::drop_last_request(
    const workspace_id& id, random_source& random)
{
    workspace_state& state = workspaces_.at(id);
    const duration wait = expected_wait(state, state.queue.size());
    remove_from_backlog(id, state);
    const queued_request dropped = dequeue(state, state.queue.size() - 1);
    add_to_backlog(id, state);
    add_refusal(
        dropped.arrival, result_code::workspace_over_share, "longest_queue",
        wait, random);
}

void admission_controller::enqueue(
    const request_arrived& arrival, mono_time now)
{
    workspace_state& state = workspaces_.at(arrival.workspace);
    remove_from_backlog(arrival.workspace, state);
    if (state.queue.empty())
    {
        // The burst bounds the credit that an idle workspace accumulates.
        const double burst = options_.burst_requests * mean_cost_;
        state.start_tag =
            std::max(state.start_tag, virtual_time_ - burst / state.weight);
    }
    const auto cost = static_cast<double>(arrival.cost.value());
    mean_cost_ += mean_cost_ == 0 ? cost : cost_smoothing * (cost - mean_cost_);
    const auto position = std::find_if(
        state.queue.begin(), state.queue.end(),
        [&](const queued_request& other)
        { return other.arrival.priority_level < arrival.priority_level; });
    state.queue.insert(position, queued_request{arrival, now});
    queued_workspaces_.emplace(arrival.request, arrival.workspace);
    ++queued_count_;
    add_to_backlog(arrival.workspace, state);
}

admission_controller::queued_request admission_controller::dequeue(
    workspace_state& state, std::size_t position)
{
    BOOST_ASSERT(position < state.queue.size());
    const auto at = state.queue.begin() + static_cast<std::ptrdiff_t>(position);
    queued_request removed = std::move(*at);
    state.queue.erase(at);
    queued_workspaces_.erase(removed.arrival.request);
    --queued_count_;
    return removed;
}

const workspace_id* admission_controller::first_workspace_within_share() const
{
    int scanned = 0;
    for (const auto& [tag, id] : foreground_backlog_)
    {
        if (!exceeds_share(workspaces_.at(id)))
        {
            return &id;
        }
        if (++scanned == max_headroom_scan)
        {
            break;
        }
    }
    return nullptr;
}

const workspace_id* admission_controller::next_workspace() const
{
    const double in_flight_after = static_cast<double>(in_flight_.size()) + 1;
    if (in_flight_after > limit_.value())
    {
        return nullptr;
    }
    if (in_flight_after > shared_limit())
    {
        return first_workspace_within_share();
    }
    const backlog_set& backlog =
        foreground_backlog_.empty() ? background_backlog_ : foreground_backlog_;
    return backlog.empty() ? nullptr : &backlog.begin()->second;
}

void admission_controller::dispatch_ready(random_source& random, mono_time now)
{
    while (const workspace_id* const ready_workspace = next_workspace())
    {
        const workspace_id id = *ready_workspace;
        workspace_state& state = workspaces_.at(id);
        const request_arrived& head = state.queue.front().arrival;
        if (now + head.expected_time_to_first_token <= head.deadline)
        {
            dispatch_head(id, now);
            continue;
        }
        add_refusal(
            head, result_code::deadline_unreachable, "waited_in_vain",
            duration{}, random);
        remove_from_backlog(id, state);
        dequeue(state, 0);
        add_to_backlog(id, state);
    }
}

void admission_controller::dispatch_head(const workspace_id& id, mono_time now)
{
    workspace_state& state = workspaces_.at(id);
    const bool over_share = exceeds_share(state);
    remove_from_backlog(id, state);
    const queued_request head = dequeue(state, 0);
    virtual_time_ = std::max(virtual_time_, state.start_tag);
    const auto cost = static_cast<double>(head.arrival.cost.value());
    state.start_tag += std::max(1.0, cost) / state.weight;
    ++state.in_flight;
    state.last_active = now;
    add_to_backlog(id, state);
    in_flight_.emplace(
        head.arrival.request,
        in_flight_request{id, head.arrival.cost, now, over_share});
    commands_.push_back(dispatch{
        .request = head.arrival.request,
        .queue_time = now - head.enqueued_at,
        .over_share = over_share});
}

admission_controller::backlog_set& admission_controller::backlog_for(
    const workspace_state& state)
{
    const bool background =
        state.queue.front().arrival.priority_level == priority::background;
    return background ? background_backlog_ : foreground_backlog_;
}

void admission_controller::add_to_backlog(
    const workspace_id& id, const workspace_state& state)
{
    if (!state.queue.empty())
    {
        backlog_for(state).emplace(state.start_tag, id);
        backlogged_weight_ += state.weight;
    }
}

void admission_controller::remove_from_backlog(
    const workspace_id& id, const workspace_state& state)
{
    if (!state.queue.empty())
    {
        backlog_for(state).erase({state.start_tag, id});
        backlogged_weight_ -= state.weight;
    }
}

} // namespace wagtailseam::admission
