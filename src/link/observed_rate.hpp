// Estimates a rate from completed work. The weight of a sample decays
// exponentially with its age.
#ifndef WAGTAILSEAM_LINK_OBSERVED_RATE_HPP
#define WAGTAILSEAM_LINK_OBSERVED_RATE_HPP

#include "core/clock.hpp"

namespace wagtailseam::link
{

/// Units of work per second, as the ratio of two decaying sums. A sample's
/// weight is proportional to its duration.
class observed_rate
{
public:
    struct options
    {
        /// Estimate before the first sample, in units per second; above zero.
        double initial = 1.0;
        /// Age at which a sample has half its weight.
        duration half_life = std::chrono::seconds(4);
    };

    explicit observed_rate(const options& settings);

    /// Records that `amount` units took `elapsed` and ended at `now`. Ignores a
    /// sample whose amount or duration is not positive.
    void record(double amount, duration elapsed, mono_time now);

    /// Returns the estimate in units per second; above zero.
    [[nodiscard]] double value() const noexcept;

private:
    options settings_;
    // Both sums decay by the same factor, so only samples change their ratio.
    double amount_;
    double seconds_;
    mono_time updated_{};
};

/// Converts seconds to a duration, clamped to between zero and one day.
[[nodiscard]] duration seconds_to_duration(double seconds) noexcept;

/// Converts a duration to seconds.
[[nodiscard]] double duration_to_seconds(duration value) noexcept;

} // namespace wagtailseam::link

#endif
