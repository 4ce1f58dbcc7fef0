// Events of the admission core; the fair queue is in fair_queue.cpp.
#include "admission/admission_controller.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>

namespace wagtailseam::admission
{
namespace
{

/// Weight of a new sample in the smoothed service time.
constexpr double service_time_smoothing = 0.05;

constexpr duration clear_sample_lifetime = std::chrono::seconds(2);

constexpr duration sweep_period = std::chrono::seconds(1);

} // namespace

admission_core::admission_core(const admission_options& options)
    : options_(options), limit_(options.limit)
{
    BOOST_ASSERT(options.headroom >= 0 && options.headroom < 1);
    BOOST_ASSERT(options.max_workspaces >= 1);
}

std::vector<command> admission_core::handle(
    const event& happened, random_source& random, mono_time now)
{
    BOOST_ASSERT(out_.empty());
    std::visit([&](const auto& it) { on(it, random, now); }, happened);
    pump(random, now);
    return std::exchange(out_, {});
}

void admission_core::on(
    const arrival& asked, random_source& random, mono_time now)
{
    BOOST_ASSERT(!places_.contains(asked.request));
    BOOST_ASSERT(!running_.contains(asked.request));
    const workspace_state& state = touch(asked.workspace, now);
    const duration wait = expected_wait(state, state.queue.size());
    if (now + wait + asked.expected_first_token > asked.deadline)
    {
        add_refusal(
            asked, result_code::deadline_unreachable, "expected_wait", wait,
            random);
        return;
    }
    if (find_place(asked, random))
    {
        enqueue(asked, now);
    }
}

void admission_core::on(
    const first_token& seen, random_source& /*random*/, mono_time now)
{
    const auto found = running_.find(seen.request);
    if (found == running_.end())
    {
        return;
    }
    // Engines hold requests over their share back on purpose. Their wait
    // tells about capacity only when nobody else's does.
    if (!found->second.over_share)
    {
        last_clear_sample_ = now;
    }
    else if (now - last_clear_sample_ < clear_sample_lifetime)
    {
        return;
    }
    limit_.on_first_token(
        seen.elapsed, seen.idle_estimate, running_.size(), now);
}

void admission_core::on(
    const finished& done, random_source& /*random*/, mono_time now)
{
    const auto found = running_.find(done.request);
    if (found == running_.end())
    {
        return;
    }
    const running over = found->second;
    running_.erase(found);
    workspace_state& state = workspaces_.at(over.workspace);
    BOOST_ASSERT(state.in_flight > 0);
    --state.in_flight;
    state.last_active = now;
    if (done.how == finish::busy)
    {
        limit_.on_busy(now);
    }
    if (done.how != finish::served)
    {
        return;
    }
    const auto took = static_cast<double>((now - over.since).count());
    service_time_ += service_time_ == 0
                         ? took
                         : service_time_smoothing * (took - service_time_);
    if (done.cost > over.cost)
    {
        const token_count more = done.cost - over.cost;
        unindex(over.workspace, state);
        state.start_tag += static_cast<double>(more.value()) / state.weight;
        index(over.workspace, state);
    }
}

void admission_core::on(
    const cancelled& left, random_source& random, mono_time now)
{
    const auto place = places_.find(left.request);
    if (place == places_.end())
    {
        on(finished{.request = left.request, .how = finish::failed}, random,
           now);
        return;
    }
    const workspace_id id = place->second;
    workspace_state& state = workspaces_.at(id);
    const auto at = std::find_if(
        state.queue.begin(), state.queue.end(),
        [&](const waiting& one) { return one.asked.request == left.request; });
    const auto position = at - state.queue.begin();
    unindex(id, state);
    take(state, static_cast<std::size_t>(position));
    index(id, state);
}

void admission_core::on(
    const tick& /*time*/, random_source& random, mono_time now)
{
    std::vector<workspace_id> backlogged;
    for (const ready_set* const ready : {&foreground_, &background_})
    {
        for (const auto& [tag, id] : *ready)
        {
            backlogged.push_back(id);
        }
    }
    for (const workspace_id& id : backlogged)
    {
        shed_unreachable(id, random, now);
    }
    if (now >= next_sweep_)
    {
        forget_idle(now);
        next_sweep_ = now + sweep_period;
    }
}

void admission_core::on(
    const weights_changed& to, random_source& /*random*/, mono_time /*now*/)
{
    weights_ = to.weights;
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

void admission_core::on(
    const capacity_changed& to, random_source& /*random*/, mono_time /*now*/)
{
    limit_.set_ceiling(static_cast<double>(to.slots));
}

void admission_core::shed_unreachable(
    const workspace_id& id, random_source& random, mono_time now)
{
    workspace_state& state = workspaces_.at(id);
    std::vector<std::size_t> hopeless;
    for (std::size_t at = 0; at < state.queue.size(); ++at)
    {
        const arrival& asked = state.queue[at].asked;
        const duration wait = expected_wait(state, at - hopeless.size());
        if (now + wait + asked.expected_first_token > asked.deadline)
        {
            add_refusal(
                asked, result_code::deadline_unreachable, "waited_in_vain",
                wait, random);
            hopeless.push_back(at);
        }
    }
    unindex(id, state);
    std::for_each(
        hopeless.rbegin(), hopeless.rend(),
        [&](std::size_t at) { take(state, at); });
    index(id, state);
}

void admission_core::add_refusal(
    const arrival& asked, result_code code, std::string_view reason,
    duration wait, random_source& random)
{
    // Up to half more at random: callers refused together come back apart.
    const double spread = 1 + 0.5 * random.unit();
    const duration least =
        std::clamp(wait, options_.min_retry_after, options_.max_retry_after);
    const duration spread_wait(
        std::llround(static_cast<double>(least.count()) * spread));
    out_.push_back(refuse{
        .request = asked.request,
        .code = code,
        .reason = reason,
        .retry_after = std::min(spread_wait, options_.max_retry_after)});
}

} // namespace wagtailseam::admission
