// Least load by reported and own attempts.
#include "entry/chooser.hpp"

namespace wagtailseam::entry
{
namespace
{

/// Attempts that were reported or that this entry has sent since.
std::uint32_t load_of(const upstream_view& view) noexcept
{
    return std::max(view.running, view.own_attempts);
}

} // namespace

const upstream_view* choose_least_loaded(
    std::span<const upstream_view* const> candidates, random_source& random)
{
    const upstream_view* best = nullptr;
    std::uint64_t ties = 0;
    for (const auto* const candidate : candidates)
    {
        const bool better =
            best == nullptr || load_of(*candidate) < load_of(*best);
        const bool tie = !better && load_of(*candidate) == load_of(*best);
        ties = better ? 1 : ties + (tie ? 1 : 0);
        if (better || (tie && random.below(ties) == 0))
        {
            best = candidate;
        }
    }
    return best;
}

} // namespace wagtailseam::entry
