// The times on which the safety of fetches from cache stores rests: parts of
// replaced weights are freed only when no process can still read them.
#ifndef WAGTAILSEAM_SERVING_CACHE_TIMING_HPP
#define WAGTAILSEAM_SERVING_CACHE_TIMING_HPP

#include "core/clock.hpp"

namespace wagtailseam::serving
{

/// Fetches are planned only by processes that heard of the operator's table
/// within this time; covers one poll of it and a retry.
inline constexpr duration max_operator_table_age =
    std::chrono::milliseconds(7500);
/// Parts of older weights are fetched this long after a process learned of
/// newer ones, while upstreams still change; a rollout takes some 3.5 s.
inline constexpr duration old_version_fetch_period =
    std::chrono::milliseconds(4000);
/// No fetch is allowed to last longer.
inline constexpr duration max_fetch_time = std::chrono::milliseconds(900);
/// From the naming of weights until parts of older ones are freed.
inline constexpr duration sweep_delay = std::chrono::milliseconds(12500);

static_assert(
    sweep_delay >
        max_operator_table_age + old_version_fetch_period + max_fetch_time,
    "a part could be freed while it is fetched");

} // namespace wagtailseam::serving

#endif
