// Moving averages of late prompts and the refusals derived from them.
#include "serving/fetch_throttle.hpp"

#include <algorithm>
#include <cmath>

namespace wagtailseam::serving
{

fetch_throttle::fetch_throttle(const fetch_throttle_options& options)
    : options_(options)
{
}

double fetch_throttle::decayed_late_share(
    const lateness& record, mono_time now) const
{
    const double half_lives =
        static_cast<double>((now - record.updated).count()) /
        static_cast<double>(options_.late_share_half_life.count());
    return record.late_share * std::exp2(-std::max(0.0, half_lives));
}

void fetch_throttle::record_first_byte(
    const std::optional<http::address>& fetched_from, duration beyond_expected,
    duration latency_target, mono_time now)
{
    auto& record = fetched_from ? by_store_[*fetched_from] : without_fetch_;
    const double max_lateness = static_cast<double>(latency_target.count()) *
                                options_.lateness_share_of_target;
    const bool late =
        static_cast<double>(beyond_expected.count()) > max_lateness;
    const double previous = decayed_late_share(record, now);
    record.late_share =
        previous + options_.smoothing_factor * ((late ? 1.0 : 0.0) - previous);
    record.updated = now;
}

double fetch_throttle::excess_late_share(
    const http::address& store, mono_time now) const
{
    const auto found = by_store_.find(store);
    if (found == by_store_.end())
    {
        return 0;
    }
    return std::max(
        0.0, decayed_late_share(found->second, now) -
                 decayed_late_share(without_fetch_, now));
}

bool fetch_throttle::admit_fetch(const http::address& store, mono_time now)
{
    const double excess =
        excess_late_share(store, now) - options_.tolerated_late_share;
    if (excess <= 0)
    {
        return true;
    }
    auto& record = by_store_[store];
    record.pending_refusals += excess / (1.0 - options_.tolerated_late_share);
    if (record.pending_refusals < 1.0)
    {
        return true;
    }
    record.pending_refusals -= 1.0;
    return false;
}

} // namespace wagtailseam::serving
