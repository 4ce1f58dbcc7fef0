// Decayed sums of measurements, and their comparison.
#include "upstream_speed/speed_estimate.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailseam::upstream_speed
{

double speed_estimate::remaining_weight(mono_time now) const
{
    const double half_lives = static_cast<double>((now - updated_).count()) /
                              static_cast<double>(options_.half_life.count());
    return std::exp2(-std::max(0.0, half_lives));
}

void speed_estimate::add(const measured_times& times, mono_time now)
{
    if (times.responses == 0 || times.expected <= duration::zero())
    {
        return;
    }
    const double weight = remaining_weight(now);
    const auto expected_us = static_cast<double>(times.expected.count());
    const double observed_us = std::clamp(
        static_cast<double>(times.observed.count()), 0.0,
        options_.max_ratio * expected_us);
    responses_ = responses_ * weight + static_cast<double>(times.responses);
    observed_us_ = observed_us_ * weight + observed_us;
    expected_us_ = expected_us_ * weight + expected_us;
    updated_ = now;
}

std::optional<double> speed_estimate::ratio(mono_time now) const
{
    if (responses_ * remaining_weight(now) < options_.min_responses)
    {
        return std::nullopt;
    }
    return observed_us_ / expected_us_;
}

speed_collector::speed_collector(const speed_collector_options& options)
    : options_(options), estimate_(options.estimate)
{
}

void speed_collector::report(
    const vm_id& gateway, std::uint64_t incarnation,
    const measured_times& total, mono_time now)
{
    auto found = reported_.find(gateway);
    if (found == reported_.end())
    {
        if (reported_.size() >= options_.max_gateways)
        {
            return;
        }
        // Its earlier measurements may be much older.
        reported_.emplace(
            gateway, reported{.incarnation = incarnation, .total = total});
        return;
    }
    auto& known = found->second;
    const auto previous =
        known.incarnation == incarnation ? known.total : measured_times{};
    // Datagrams may overtake each other.
    if (total.responses < previous.responses)
    {
        return;
    }
    estimate_.add(
        {.responses = total.responses - previous.responses,
         .observed = total.observed - previous.observed,
         .expected = total.expected - previous.expected},
        now);
    known = {.incarnation = incarnation, .total = total};
}

void speed_collector::reset()
{
    estimate_ = speed_estimate(options_.estimate);
}

speed_scale::speed_scale(
    std::vector<double> ratios, const slowness_options& options)
    : options_(options)
{
    if (ratios.empty())
    {
        return;
    }
    const auto [smallest, largest] =
        std::minmax_element(ratios.begin(), ratios.end());
    differs_ = *largest > *smallest * options.notable_difference;
    const auto middle =
        ratios.begin() + static_cast<std::ptrdiff_t>((ratios.size() - 1) / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    median_ = *middle;
}

double speed_scale::slowness(const std::optional<double>& ratio) const
{
    if (!differs_ || !ratio || !median_ || *median_ <= 0)
    {
        return 1;
    }
    return std::clamp(
        *ratio / *median_, options_.min_slowness, options_.max_slowness);
}

} // namespace wagtailseam::upstream_speed
