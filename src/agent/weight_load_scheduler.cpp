// Computes start times from ranks and selects the order that is due.
#include "agent/weight_load_scheduler.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailseam::agent
{

weight_load_scheduler::weight_load_scheduler(const weight_load_options& options)
    : options_(options)
{
    BOOST_ASSERT(options.unavailable_time > duration::zero());
}

bool weight_load_scheduler::set_target(
    const serving::weight_target& target, mono_time now, bool at_start)
{
    auto& state = targets_[target.model];
    const bool is_new = state.announcements.add(
        {.version = target.version,
         .received_at = at_start ? now - options_.rollout_deadline / 2 : now,
         .at_startup = at_start});
    if (is_new)
    {
        state.ordered_at.reset();
    }
    return is_new;
}

void weight_load_scheduler::set_engines(
    std::vector<upstream_id> engines, const upstream_id& self)
{
    engines_ = std::move(engines);
    const auto own = std::find(engines_.begin(), engines_.end(), self);
    rank_ = own == engines_.end()
                ? 0
                : static_cast<std::size_t>(own - engines_.begin());
    std::erase_if(
        reported_weights_,
        [&](const auto& entry)
        {
            return std::find(engines_.begin(), engines_.end(), entry.first) ==
                   engines_.end();
        });
}

void weight_load_scheduler::record_weights(
    const upstream_id& engine,
    const std::map<model_id, weight_version>& weights)
{
    reported_weights_.insert_or_assign(engine, weights);
}

std::size_t weight_load_scheduler::max_concurrent_loads() const
{
    const auto start_window =
        static_cast<double>(options_.rollout_deadline.count()) *
        options_.start_fraction;
    const double sequential_loads = std::max(
        1.0,
        start_window / static_cast<double>(options_.unavailable_time.count()));
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(std::ceil(
               static_cast<double>(engines_.size()) / sequential_loads)));
}

mono_time weight_load_scheduler::latest_start(mono_time announced_at) const
{
    const auto start_window =
        static_cast<double>(options_.rollout_deadline.count()) *
        options_.start_fraction;
    const double rank_fraction =
        static_cast<double>(rank_) /
        static_cast<double>(std::max<std::size_t>(1, engines_.size()));
    return announced_at +
           duration(static_cast<duration::rep>(start_window * rank_fraction));
}

bool weight_load_scheduler::may_start(
    const model_id& model, const target_state& target, weight_version running,
    mono_time now) const
{
    const auto* const due = target.announcements.oldest_newer_than(running);
    if (due != nullptr && now >= latest_start(due->received_at))
    {
        return true;
    }
    // Engines before this one that are not known to run the weights yet.
    std::size_t unfinished = 0;
    for (std::size_t rank = 0; rank < rank_; ++rank)
    {
        const auto reported = reported_weights_.find(engines_[rank]);
        const bool done = reported != reported_weights_.end() &&
                          reported->second.contains(model) &&
                          reported->second.at(model) >= target.version();
        unfinished += done ? 0 : 1;
    }
    return unfinished < max_concurrent_loads();
}

bool weight_load_scheduler::is_outdated(const engine_state& engine) const
{
    return std::any_of(
        targets_.begin(), targets_.end(),
        [&](const auto& entry)
        {
            const auto current = engine.weights.find(entry.first);
            return current != engine.weights.end() &&
                   current->second < entry.second.version();
        });
}

std::optional<due_order> weight_load_scheduler::next_order(
    const engine_state& engine, mono_time now)
{
    if (engine.busy)
    {
        return std::nullopt;
    }
    for (auto& [model, target] : targets_)
    {
        const auto current = engine.weights.find(model);
        if (current == engine.weights.end() ||
            current->second >= target.version() ||
            !may_start(model, target, current->second, now))
        {
            continue;
        }
        if (target.ordered_at &&
            now - *target.ordered_at < options_.resend_interval)
        {
            continue;
        }
        target.ordered_at = now;
        return due_order{
            .model = model,
            .version = target.version(),
            .expected_orders = engine.accepted_orders};
    }
    return std::nullopt;
}

} // namespace wagtailseam::agent
