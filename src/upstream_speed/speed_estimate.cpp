// Decayed sums of measurements, and their comparison.
#include "upstream_speed/speed_estimate.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailseam::upstream_speed
{

measured_times& measured_times::operator+=(const measured_times& other) noexcept
{
    responses += other.responses;
    observed += other.observed;
    expected += other.expected;
    return *this;
}

measured_times make_measurement(duration observed, duration expected) noexcept
{
    constexpr int max_ratio = 8;
    return {
        .responses = 1,
        .observed = std::clamp<duration>(
            observed, duration::zero(), max_ratio * expected),
        .expected = expected};
}

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
    const auto added = static_cast<double>(times.responses);
    const double kept =
        std::min(responses_ * remaining_weight(now), options_.max_responses);
    const double weight = responses_ > 0 ? kept / responses_ : 0;
    const auto observed_us = static_cast<double>(times.observed.count());
    const auto expected_us = static_cast<double>(times.expected.count());
    responses_ = kept + added;
    observed_us_ = observed_us_ * weight + observed_us;
    expected_us_ = expected_us_ * weight + expected_us;
    updated_ = now;
}

bool speed_estimate::is_known(mono_time now) const
{
    return responses_ * remaining_weight(now) >= options_.min_responses;
}

std::optional<measured_speed> speed_estimate::speed(mono_time now) const
{
    if (!is_known(now))
    {
        return std::nullopt;
    }
    return measured_speed{
        .ratio = observed_us_ / expected_us_, .age = now - updated_};
}

std::optional<duration> speed_estimate::mean_time(mono_time now) const
{
    return is_known(now) ? std::optional(duration(static_cast<duration::rep>(
                               observed_us_ / responses_)))
                         : std::nullopt;
}

speed_collector::speed_collector(const speed_collector_options& options)
    : options_(options), estimate_(options.estimate)
{
}

void speed_collector::report(
    const vm_id& gateway, std::uint64_t incarnation,
    const measured_times& total, mono_time now)
{
    const auto found = reported_.find(gateway);
    if (found == reported_.end() && reported_.size() >= options_.max_gateways)
    {
        return;
    }
    if (found == reported_.end() || found->second.incarnation != incarnation)
    {
        reported_.insert_or_assign(
            gateway, reported{.incarnation = incarnation, .total = total});
        return;
    }
    const auto previous = found->second.total;
    // Datagrams may overtake each other.
    if (total.responses <= previous.responses ||
        total.observed < previous.observed ||
        total.expected < previous.expected)
    {
        return;
    }
    estimate_.add(
        {.responses = total.responses - previous.responses,
         .observed = total.observed - previous.observed,
         .expected = total.expected - previous.expected},
        now);
    found->second.total = total;
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

double speed_scale::slowness(const std::optional<measured_speed>& speed) const
{
    if (!differs_ || !speed || !median_ || *median_ <= 0)
    {
        return 1;
    }
    const double measured = std::clamp(
        speed->ratio / *median_, options_.min_slowness, options_.max_slowness);
    const double fading_half_lives =
        std::chrono::duration<double>(
            std::max(duration::zero(), speed->age - options_.full_age)) /
        std::chrono::duration<double>(options_.fading_half_life);
    return 1 + (measured - 1) * std::exp2(-fading_half_lives);
}

} // namespace wagtailseam::upstream_speed
