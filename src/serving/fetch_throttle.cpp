// Shares of late prompts, and the turns that follow from them.
#include "serving/fetch_throttle.hpp"

#include <algorithm>
#include <cmath>

namespace wagtailseam::serving
{

fetch_throttle::fetch_throttle(const fetch_throttle_options& options)
    : options_(options)
{
}

double fetch_throttle::late_now(const experience& of, mono_time now) const
{
    const double half_lives = static_cast<double>((now - of.updated).count()) /
                              static_cast<double>(options_.forgiveness.count());
    return of.late * std::exp2(-std::max(0.0, half_lives));
}

void fetch_throttle::record_first_byte(
    const std::optional<http::address>& fetched_from, duration beyond_expected,
    duration latency_target, mono_time now)
{
    auto& of = fetched_from ? stores_[*fetched_from] : others_;
    const double limit = static_cast<double>(latency_target.count()) *
                         options_.late_part_of_target;
    const bool late = static_cast<double>(beyond_expected.count()) > limit;
    const double before = late_now(of, now);
    of.late = before + options_.weight * ((late ? 1.0 : 0.0) - before);
    of.updated = now;
}

double fetch_throttle::excess_late_share(
    const http::address& store, mono_time now) const
{
    const auto known = stores_.find(store);
    if (known == stores_.end())
    {
        return 0;
    }
    return std::max(0.0, late_now(known->second, now) - late_now(others_, now));
}

bool fetch_throttle::admit_fetch(const http::address& store, mono_time now)
{
    const double beyond = excess_late_share(store, now) - options_.usual_share;
    if (beyond <= 0)
    {
        return true;
    }
    auto& of = stores_[store];
    of.owed += beyond / (1.0 - options_.usual_share);
    if (of.owed < 1.0)
    {
        return true;
    }
    of.owed -= 1.0;
    return false;
}

} // namespace wagtailseam::serving
