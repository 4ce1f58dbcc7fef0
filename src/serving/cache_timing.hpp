// Time limits that prevent a cached part of replaced weights from being freed
// while a process may still fetch it.
#ifndef WAGTAILSEAM_SERVING_CACHE_TIMING_HPP
#define WAGTAILSEAM_SERVING_CACHE_TIMING_HPP

#include "core/clock.hpp"

namespace wagtailseam::serving
{

/// A process plans fetches only if it has read the operator's table within
/// this time; covers one poll of the table and a retry.
inline constexpr duration max_operator_table_age =
    std::chrono::milliseconds(7500);
/// For this time after it learns of newer weights, a process still fetches
/// parts of older ones, because upstreams are still switching; a rollout takes
/// about 3.5 s.
inline constexpr duration old_version_fetch_period =
    std::chrono::milliseconds(4000);
/// Upper bound of the duration of any fetch.
inline constexpr duration max_fetch_time = std::chrono::milliseconds(900);
/// Delay between the announcement of new weights and the freeing of the parts
/// of older ones.
inline constexpr duration sweep_delay = std::chrono::milliseconds(12500);

static_assert(
    sweep_delay >
        max_operator_table_age + old_version_fetch_period + max_fetch_time,
    "a part could be freed while it is fetched");

} // namespace wagtailseam::serving

#endif
