// Bound on requests in flight towards one pool, adapted to what the upstreams
// bear.
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
    /// Bearable ratio of the observed time to first token to the estimate for
    /// an idle upstream.
    double slowdown_target = 2.0;
    /// A sample counts as at most this, so that one outlier does not lower the
    /// limit.
    double slowdown_cap = 4.0;
    /// Weight of a new sample in the smoothed slowdown.
    double smoothing = 0.1;
    /// Factor of a decrease.
    double decrease = 0.95;
    /// Growth for as many good samples as the limit is high.
    double increase = 2.0;
    /// Shortest time between two decreases: the effect of one shows only after
    /// some answers.
    duration decrease_interval = std::chrono::seconds(1);
    /// The limit grows only while this part of it is in use.
    double used_part_to_grow = 0.7;
};

/// Additive increase, multiplicative decrease (Chiu and Jain, 1989), driven by
/// the slowdown of the first token and by refusals as busy. Constant memory
/// and time.
class concurrency_limit
{
public:
    explicit concurrency_limit(const concurrency_limit_options& options = {});

    /// Takes a sample of the time to first token. @param estimate the time on
    /// an idle upstream; a sample without one (zero) is passed over.
    void on_first_token(
        duration observed, duration estimate, std::size_t in_flight,
        mono_time now);
    /// Bounds the limit by what the upstreams report to run at once.
    void set_ceiling(double ceiling);
    /// Takes a refusal as busy.
    void on_busy(mono_time now);

    [[nodiscard]] double value() const noexcept { return value_; }
    [[nodiscard]] double slowdown() const noexcept { return slowdown_; }

private:
    void decrease(mono_time now);

    concurrency_limit_options options_;
    /// options_.minimum <= ceiling_ <= options_.maximum.
    double ceiling_;
    /// options_.minimum <= value_ <= ceiling_.
    double value_;
    double slowdown_ = 1.0;
    mono_time next_decrease_;
};

} // namespace wagtailseam::admission

#endif
