// Adaptive limit on the number of requests in flight to one pool.
#ifndef WAGTAILSEAM_ADMISSION_CONCURRENCY_LIMIT_HPP
#define WAGTAILSEAM_ADMISSION_CONCURRENCY_LIMIT_HPP

#include "core/clock.hpp"

#include <cstddef>

namespace wagtailseam::admission
{

struct concurrency_limit_options
{
    double initial = 32;
    double minimum = 4;
    double maximum = 1024;
    /// Slowdown above which the limit decreases. The slowdown is the ratio of
    /// the observed time to first token to the estimate for an idle upstream.
    double slowdown_target = 2.0;
    /// Upper bound of a sample, so that a single outlier does not decrease the
    /// limit.
    double slowdown_cap = 4.0;
    /// Weight of a new sample in the moving average of the slowdown.
    double smoothing = 0.1;
    /// Multiplier applied on a decrease, in (0, 1).
    double decrease_factor = 0.95;
    /// Increase over a number of good samples equal to the limit.
    double increase_per_round = 2.0;
    /// Minimum time between two decreases. The effect of a decrease is visible
    /// only after some responses.
    duration decrease_interval = std::chrono::seconds(1);
    /// The limit increases only while at least this fraction of it is in use.
    double min_utilization_to_grow = 0.7;
};

/// Additive increase, multiplicative decrease (Chiu and Jain, 1989), driven by
/// the slowdown of the first token and by requests that busy upstreams refused.
/// Constant memory and time.
class concurrency_limit
{
public:
    explicit concurrency_limit(const concurrency_limit_options& options = {});

    /// Adds a sample of the time to first token.
    /// @param idle_estimate estimate for an idle upstream; a sample with zero
    /// is ignored
    void on_first_token(
        duration time_to_first_token, duration idle_estimate,
        std::size_t in_flight, mono_time now);
    /// Bounds the limit by the concurrency that the upstreams report, clamped
    /// to the configured minimum and maximum.
    void set_upper_bound(double upper_bound);
    /// Decreases the limit after the upstreams refused a request as busy.
    void on_upstream_busy(mono_time now);

    [[nodiscard]] double value() const noexcept { return value_; }
    [[nodiscard]] double slowdown() const noexcept { return slowdown_; }

private:
    void decrease(mono_time now);

    concurrency_limit_options options_;
    /// options_.minimum <= upper_bound_ <= options_.maximum.
    double upper_bound_;
    /// options_.minimum <= value_ <= upper_bound_.
    double value_;
    double slowdown_ = 1.0;
    mono_time next_decrease_;
};

} // namespace wagtailseam::admission

#endif
