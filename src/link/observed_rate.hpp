// A rate learned from finished work: old samples fade with their age.
#ifndef WAGTAILSEAM_LINK_OBSERVED_RATE_HPP
#define WAGTAILSEAM_LINK_OBSERVED_RATE_HPP

#include "core/clock.hpp"

namespace wagtailseam::link
{

/// Units of work a second, as a ratio of decayed sums. One sample that lasts
/// long weighs more than one that is over at once.
class observed_rate
{
public:
    struct options
    {
        /// Returned until the first sample; units a second, above zero.
        double initial = 1.0;
        /// After this long a sample counts half.
        duration half_life = std::chrono::seconds(4);
    };

    explicit observed_rate(const options& settings);

    /// Records that `amount` units took `elapsed`, ending at `now`. Samples
    /// without work or without time are ignored.
    void record(double amount, duration elapsed, mono_time now);

    /// Returns units a second, above zero.
    [[nodiscard]] double value() const noexcept;

private:
    options settings_;
    // amount_ and seconds_ decay together, so their ratio moves only by
    // samples.
    double amount_;
    double seconds_;
    mono_time updated_{};
};

/// Returns a number of seconds as a duration, at most a day.
[[nodiscard]] duration seconds_to_duration(double seconds) noexcept;

/// Returns a duration in seconds.
[[nodiscard]] double duration_to_seconds(duration value) noexcept;

} // namespace wagtailseam::link

#endif
