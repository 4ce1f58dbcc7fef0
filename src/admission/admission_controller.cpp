// Event handlers of the admission controller. Fair queueing is implemented in
// fair_queue.cpp.
#include "admission/admission_controller.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>

namespace wagtailseam::admission
{
namespace
{

/// Weight of a new sample in the moving average of the service time.
constexpr double service_time_smoothing = 0.05;

/// Samples over the share are ignored for this time after one within it.
constexpr duration within_share_sample_lifetime = std::chrono::seconds(2);

constexpr duration idle_sweep_period = std::chrono::seconds(1);

} // namespace

admission_controller::admission_controller(const admission_options& options)
    : options_(options), limit_(options.limit)
{
    BOOST_ASSERT(options.headroom >= 0 && options.headroom < 1);
    BOOST_ASSERT(options.max_workspaces >= 1);
}

std::vector<admission_command> admission_controller::handle(
    const admission_event& event, random_source& random, mono_time now)
{
    BOOST_ASSERT(commands_.empty());
    std::visit(
        [&](const auto& alternative) { on(alternative, random, now); }, event);
    dispatch_ready(random, now);
    return std::exchange(commands_, {});
}

void admission_controller::on(
    const request_arrived& arrival, random_source& random, mono_time now)
{
    BOOST_ASSERT(!queued_workspaces_.contains(arrival.request));
    BOOST_ASSERT(!in_flight_.contains(arrival.request));
    const workspace_state& state = activate_workspace(arrival.workspace, now);
    const duration wait = expected_wait(state, state.queue.size());
    if (now + wait + arrival.expected_time_to_first_token > arrival.deadline)
    {
        add_refusal(
            arrival, result_code::deadline_unreachable, "expected_wait", wait,
            random);
        return;
    }
    if (make_queue_space(arrival, random))
    {
        enqueue(arrival, now);
    }
}

void admission_controller::on(
    const first_token_received& event, random_source& /*random*/, mono_time now)
{
    const auto found = in_flight_.find(event.request);
    if (found == in_flight_.end())
    {
        return;
    }
    // Engines schedule requests over the share last, so their delay indicates
    // the capacity only when there is no recent sample within the share.
    if (!found->second.over_share)
    {
        last_within_share_sample_ = now;
    }
    else if (now - last_within_share_sample_ < within_share_sample_lifetime)
    {
        return;
    }
    limit_.on_first_token(
        event.elapsed, event.idle_estimate, in_flight_.size(), now);
}

void admission_controller::on(
    const request_finished& event, random_source& /*random*/, mono_time now)
{
    const auto found = in_flight_.find(event.request);
    if (found == in_flight_.end())
    {
        return;
    }
    const in_flight_request ended = found->second;
    in_flight_.erase(found);
    workspace_state& state = workspaces_.at(ended.workspace);
    BOOST_ASSERT(state.in_flight > 0);
    --state.in_flight;
    state.last_active = now;
    if (event.outcome == request_outcome::busy)
    {
        limit_.on_upstream_busy(now);
    }
    if (event.outcome != request_outcome::succeeded)
    {
        return;
    }
    const auto service_time =
        static_cast<double>((now - ended.dispatched_at).count());
    mean_service_time_us_ +=
        mean_service_time_us_ == 0
            ? service_time
            : service_time_smoothing * (service_time - mean_service_time_us_);
    if (event.cost > ended.cost)
    {
        const token_count excess = event.cost - ended.cost;
        remove_from_backlog(ended.workspace, state);
        state.start_tag += static_cast<double>(excess.value()) / state.weight;
        add_to_backlog(ended.workspace, state);
    }
}

void admission_controller::on(
    const request_cancelled& event, random_source& random, mono_time now)
{
    const auto queued = queued_workspaces_.find(event.request);
    if (queued == queued_workspaces_.end())
    {
        on(
            request_finished{
                .request = event.request, .outcome = request_outcome::failed},
            random, now);
        return;
    }
    const workspace_id id = queued->second;
    workspace_state& state = workspaces_.at(id);
    const auto found = std::find_if(
        state.queue.begin(), state.queue.end(),
        [&](const queued_request& candidate)
        { return candidate.arrival.request == event.request; });
    const auto position = found - state.queue.begin();
    remove_from_backlog(id, state);
    dequeue(state, static_cast<std::size_t>(position));
    add_to_backlog(id, state);
}

void admission_controller::on(
    const tick& /*event*/, random_source& random, mono_time now)
{
    std::vector<workspace_id> backlogged_ids;
    for (const backlog_set* const backlog :
         {&foreground_backlog_, &background_backlog_})
    {
        for (const auto& [tag, id] : *backlog)
        {
            backlogged_ids.push_back(id);
        }
    }
    for (const workspace_id& id : backlogged_ids)
    {
        shed_late_requests(id, random, now);
    }
    if (now >= next_idle_sweep_)
    {
        remove_idle_workspaces(now);
        next_idle_sweep_ = now + idle_sweep_period;
    }
}

void admission_controller::on(
    const weights_changed& event, random_source& /*random*/, mono_time /*now*/)
{
    weights_ = event.weights;
    active_weight_ = 0;
    backlogged_weight_ = 0;
    for (auto& [id, state] : workspaces_)
    {
        const auto found = weights_.find(id);
        state.weight = found == weights_.end() ? 1.0 : found->second;
        BOOST_ASSERT(state.weight > 0);
        active_weight_ += state.weight;
        backlogged_weight_ += state.queue.empty() ? 0 : state.weight;
    }
}

void admission_controller::on(
    const capacity_changed& event, random_source& /*random*/, mono_time /*now*/)
{
    limit_.set_upper_bound(static_cast<double>(event.slots));
}

void admission_controller::shed_late_requests(
    const workspace_id& id, random_source& random, mono_time now)
{
    workspace_state& state = workspaces_.at(id);
    std::vector<std::size_t> late;
    for (std::size_t position = 0; position < state.queue.size(); ++position)
    {
        const request_arrived& arrival = state.queue[position].arrival;
        const duration wait = expected_wait(state, position - late.size());
        if (now + wait + arrival.expected_time_to_first_token >
            arrival.deadline)
        {
            add_refusal(
                arrival, result_code::deadline_unreachable, "waited_in_vain",
                wait, random);
            late.push_back(position);
        }
    }
    remove_from_backlog(id, state);
    std::for_each(
        late.rbegin(), late.rend(),
        [&](std::size_t position) { dequeue(state, position); });
    add_to_backlog(id, state);
}

void admission_controller::add_refusal(
    const request_arrived& arrival, result_code code, std::string_view reason,
    duration wait, random_source& random)
{
    // A random extra delay of up to 50 % spreads the retries of callers that
    // were refused together.
    const double jitter = 1 + 0.5 * random.unit();
    const duration base_delay =
        std::clamp(wait, options_.min_retry_after, options_.max_retry_after);
    const duration retry_after(
        std::llround(static_cast<double>(base_delay.count()) * jitter));
    commands_.push_back(refuse{
        .request = arrival.request,
        .code = code,
        .reason = reason,
        .retry_after = std::min(retry_after, options_.max_retry_after)});
}

} // namespace wagtailseam::admission
