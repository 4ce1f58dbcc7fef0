// Ranks to turns, and orders that are due.
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
    BOOST_ASSERT(options.absence > duration::zero());
}

bool weight_load_scheduler::name(
    const serving::weight_target& target, mono_time now, bool at_start)
{
    const auto known = targets_.find(target.model);
    if (known != targets_.end() && known->second.version >= target.version)
    {
        return false;
    }
    targets_.insert_or_assign(
        target.model, target_state{
                          .version = target.version,
                          .named = at_start ? now - options_.bound / 2 : now});
    return true;
}

void weight_load_scheduler::place(
    std::vector<upstream_id> engines, const upstream_id& self)
{
    engines_ = std::move(engines);
    const auto own = std::find(engines_.begin(), engines_.end(), self);
    rank_ = own == engines_.end()
                ? 0
                : static_cast<std::size_t>(own - engines_.begin());
    std::erase_if(
        heard_,
        [&](const auto& entry)
        {
            return std::find(engines_.begin(), engines_.end(), entry.first) ==
                   engines_.end();
        });
}

void weight_load_scheduler::hear(
    const upstream_id& engine,
    const std::map<model_id, weight_version>& weights)
{
    heard_.insert_or_assign(engine, weights);
}

std::size_t weight_load_scheduler::engines_at_once() const
{
    const auto planned =
        static_cast<double>(options_.bound.count()) * options_.planned_part;
    const double turns =
        std::max(1.0, planned / static_cast<double>(options_.absence.count()));
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(
               std::ceil(static_cast<double>(engines_.size()) / turns)));
}

mono_time weight_load_scheduler::latest_turn(mono_time named) const
{
    const auto planned =
        static_cast<double>(options_.bound.count()) * options_.planned_part;
    const double before =
        static_cast<double>(rank_) /
        static_cast<double>(std::max<std::size_t>(1, engines_.size()));
    return named + duration(static_cast<duration::rep>(planned * before));
}

bool weight_load_scheduler::has_turn(
    const model_id& model, const target_state& target, mono_time now) const
{
    if (now >= latest_turn(target.named))
    {
        return true;
    }
    // Those before this engine that do not run the weights yet.
    std::size_t before = 0;
    for (std::size_t rank = 0; rank < rank_; ++rank)
    {
        const auto word = heard_.find(engines_[rank]);
        const bool done = word != heard_.end() &&
                          word->second.contains(model) &&
                          word->second.at(model) >= target.version;
        before += done ? 0 : 1;
    }
    return before < engines_at_once();
}

bool weight_load_scheduler::behind(const engine_state& engine) const
{
    return std::any_of(
        targets_.begin(), targets_.end(),
        [&](const auto& entry)
        {
            const auto runs = engine.weights.find(entry.first);
            return runs != engine.weights.end() &&
                   runs->second < entry.second.version;
        });
}

std::optional<due_order> weight_load_scheduler::due(
    const engine_state& engine, mono_time now)
{
    if (engine.busy)
    {
        return std::nullopt;
    }
    for (auto& [model, target] : targets_)
    {
        const auto runs = engine.weights.find(model);
        if (runs == engine.weights.end() || runs->second >= target.version ||
            !has_turn(model, target, now))
        {
            continue;
        }
        if (target.ordered && now - *target.ordered < options_.repeat_after)
        {
            continue;
        }
        target.ordered = now;
        return due_order{
            .model = model,
            .version = target.version,
            .expected_orders = engine.orders};
    }
    return std::nullopt;
}

} // namespace wagtailseam::agent
