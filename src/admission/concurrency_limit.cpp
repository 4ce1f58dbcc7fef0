// Steps of the adaptive concurrency limit.
#include "admission/concurrency_limit.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace wagtailseam::admission
{

concurrency_limit::concurrency_limit(const concurrency_limit_options& options)
    : options_(options), ceiling_(options.maximum),
      value_(std::clamp(options.initial, options.minimum, options.maximum))
{
    BOOST_ASSERT(options.minimum >= 1);
    BOOST_ASSERT(options.decrease > 0 && options.decrease < 1);
}

void concurrency_limit::on_first_token(
    duration observed, duration estimate, std::size_t in_flight, mono_time now)
{
    if (estimate <= duration{})
    {
        return;
    }
    const double ratio = static_cast<double>(observed.count()) /
                         static_cast<double>(estimate.count());
    const double sample = std::min(ratio, options_.slowdown_cap);
    slowdown_ += options_.smoothing * (sample - slowdown_);
    if (slowdown_ > options_.slowdown_target)
    {
        decrease(now);
        return;
    }
    if (static_cast<double>(in_flight) >= options_.used_part_to_grow * value_)
    {
        value_ = std::min(ceiling_, value_ + options_.increase / value_);
    }
}

void concurrency_limit::set_ceiling(double ceiling)
{
    ceiling_ = std::clamp(ceiling, options_.minimum, options_.maximum);
    value_ = std::min(value_, ceiling_);
}

void concurrency_limit::on_busy(mono_time now)
{
    decrease(now);
}

void concurrency_limit::decrease(mono_time now)
{
    if (now < next_decrease_)
    {
        return;
    }
    value_ = std::max(options_.minimum, value_ * options_.decrease);
    next_decrease_ = now + options_.decrease_interval;
}

} // namespace wagtailseam::admission
