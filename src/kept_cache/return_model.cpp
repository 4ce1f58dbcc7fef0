// Hit densities by class and octave of idle time.
#include "kept_cache/return_model.hpp"

#include <algorithm>
#include <bit>

namespace wagtailseam::kept_cache
{
namespace
{

/// Weight of the belief before any observation, in notes an octave.
constexpr double prior_notes = 0.5;
/// Kept share of the old counts at each refresh.
constexpr double decay = 0.98;

double seconds_at(std::size_t octave)
{
    return static_cast<double>(1ULL << octave);
}

} // namespace

return_model::return_model()
{
    for (reuse_class& c : classes_)
    {
        c.returns.fill(prior_notes);
        c.evictions.fill(prior_notes);
    }
    refresh();
}

void return_model::note_return(const reuse_history& block, duration idle)
{
    classes_[class_of(block)].returns[octave_of(idle)] += 1.0;
    note();
}

void return_model::note_eviction(const reuse_history& block, duration idle)
{
    classes_[class_of(block)].evictions[octave_of(idle)] += 1.0;
    note();
}

double return_model::returns_per_second(
    const reuse_history& block, duration idle) const noexcept
{
    const std::size_t octave = octave_of(idle);
    const auto& density = classes_[class_of(block)].density;
    if (octave + 1 == octaves)
    {
        return density[octave];
    }
    const double seconds = std::chrono::duration<double>(idle).count();
    const double beyond =
        std::clamp(seconds / seconds_at(octave) - 1.0, 0.0, 1.0);
    return density[octave] + beyond * (density[octave + 1] - density[octave]);
}

std::size_t return_model::octave_of(duration idle) noexcept
{
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(idle).count();
    const auto whole =
        static_cast<std::uint64_t>(std::max<std::int64_t>(seconds, 1));
    const std::size_t octave = std::bit_width(whole) - 1;
    return std::min(octave, octaves - 1);
}

std::size_t return_model::class_of(const reuse_history& block) noexcept
{
    const std::size_t level = std::min<std::size_t>(block.uses, use_levels - 1);
    return block.group % groups * use_levels + level;
}

void return_model::note()
{
    if (++notes_since_refresh_ < notes_per_refresh)
    {
        return;
    }
    notes_since_refresh_ = 0;
    refresh();
    for (reuse_class& c : classes_)
    {
        for (std::size_t i = 0; i < octaves; ++i)
        {
            c.returns[i] = std::max(prior_notes, c.returns[i] * decay);
            c.evictions[i] = std::max(prior_notes, c.evictions[i] * decay);
        }
    }
}

void return_model::refresh() noexcept
{
    for (reuse_class& c : classes_)
    {
        double returns = 0.0;
        double ended = 0.0;
        double resident_seconds = 0.0;
        for (std::size_t i = octaves; i-- > 0;)
        {
            // Idle times that reach past this octave rest through all of it.
            resident_seconds += ended * seconds_at(i);
            const double here = c.returns[i] + c.evictions[i];
            resident_seconds += here * seconds_at(i) / 2.0;
            returns += c.returns[i];
            ended += here;
            c.density[i] = returns / resident_seconds;
        }
    }
}

} // namespace wagtailseam::kept_cache
