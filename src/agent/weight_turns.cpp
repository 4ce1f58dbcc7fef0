// Ranks to turns, and orders that are due.
#include "agent/weight_turns.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace wagtailseam::agent
{

weight_turns::weight_turns(const weight_turn_options& options)
    : options_(options)
{
    BOOST_ASSERT(options.turn > duration::zero());
}

bool weight_turns::name(const serving::weight_target& target, mono_time now)
{
    const auto known = targets_.find(target.model);
    if (known != targets_.end() && known->second.version >= target.version)
    {
        return false;
    }
    targets_.insert_or_assign(
        target.model, target_state{.version = target.version, .named = now});
    return true;
}

void weight_turns::place(std::size_t rank, std::size_t count)
{
    BOOST_ASSERT(rank < count);
    rank_ = rank;
    count_ = count;
}

mono_time weight_turns::turn_begins(mono_time named) const
{
    const auto planned =
        static_cast<double>(options_.bound.count()) * options_.planned_part;
    const auto turns = std::max<std::size_t>(
        1, static_cast<std::size_t>(
               planned / static_cast<double>(options_.turn.count())));
    const std::size_t engines_a_turn = (count_ + turns - 1) / turns;
    return named +
           options_.turn * static_cast<duration::rep>(rank_ / engines_a_turn);
}

bool weight_turns::behind(const engine_state& engine) const
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

std::optional<due_order> weight_turns::due(
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
            now < turn_begins(target.named))
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
