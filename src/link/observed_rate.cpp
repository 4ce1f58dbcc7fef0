// Implements the rate estimate.
#include "link/observed_rate.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>

namespace wagtailseam::link
{

namespace
{

// Duration of the sample that stands for the initial estimate.
constexpr double initial_sample_seconds = 0.05;
constexpr double max_duration_seconds = 86400.0;

} // namespace

observed_rate::observed_rate(const options& settings)
    : settings_(settings), amount_(settings.initial * initial_sample_seconds),
      seconds_(initial_sample_seconds)
{
    BOOST_ASSERT(settings.initial > 0.0);
    BOOST_ASSERT(settings.half_life > duration::zero());
}

void observed_rate::record(double amount, duration elapsed, mono_time now)
{
    if (amount <= 0.0 || elapsed <= duration::zero())
    {
        return;
    }
    const auto age = std::max(duration::zero(), now - updated_);
    const auto half_lives =
        duration_to_seconds(age) / duration_to_seconds(settings_.half_life);
    const auto decay = std::exp2(-half_lives);
    amount_ = amount_ * decay + amount;
    seconds_ = seconds_ * decay + duration_to_seconds(elapsed);
    updated_ = std::max(updated_, now);
}

double observed_rate::value() const noexcept
{
    return amount_ / seconds_;
}

duration seconds_to_duration(double seconds) noexcept
{
    const auto clamped = std::clamp(seconds, 0.0, max_duration_seconds);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(clamped));
}

double duration_to_seconds(duration value) noexcept
{
    return std::chrono::duration<double>(value).count();
}

} // namespace wagtailseam::link
