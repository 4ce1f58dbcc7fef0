// AIMD updates of the adaptive concurrency limit.
#include "admission/concurrency_limit.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace wagtailseam::admission
{

concurrency_limit::concurrency_limit(const concurrency_limit_options& options)
    : options_(options), upper_bound_(options.maximum),
      value_(std::clamp(options.initial, options.minimum, options.maximum))
{
    BOOST_ASSERT(options.minimum >= 1);
    BOOST_ASSERT(options.decrease_factor > 0 && options.decrease_factor < 1);
}

void concurrency_limit::on_first_token(
    duration time_to_first_token, duration idle_estimate, std::size_t in_flight,
    mono_time now)
{
    if (idle_estimate <= duration{})
    {
        return;
    }
    const double ratio = static_cast<double>(time_to_first_token.count()) /
                         static_cast<double>(idle_estimate.count());
    const double sample = std::min(ratio, options_.slowdown_cap);
    slowdown_ += options_.smoothing * (sample - slowdown_);
    if (slowdown_ > options_.slowdown_target)
    {
        decrease(now);
        return;
    }
    if (static_cast<double>(in_flight) >=
        options_.min_utilization_to_grow * value_)
    {
        value_ = std::min(
            upper_bound_, value_ + options_.increase_per_round / value_);
    }
}

void concurrency_limit::set_upper_bound(double upper_bound)
{
    upper_bound_ = std::clamp(upper_bound, options_.minimum, options_.maximum);
    value_ = std::min(value_, upper_bound_);
}

void concurrency_limit::on_upstream_busy(mono_time now)
{
    decrease(now);
}

void concurrency_limit::decrease(mono_time now)
{
    if (now < next_decrease_)
    {
        return;
    }
    value_ = std::max(options_.minimum, value_ * options_.decrease_factor);
    next_decrease_ = now + options_.decrease_interval;
}

} // namespace wagtailseam::admission
