// Token accounting of the retry budget.
#include "retry/retry_budget.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace wagtailseam::retry
{

retry_budget::retry_budget(const retry_budget_options& options)
    : options_(options), tokens_(std::min(options.initial, options.capacity)),
      crash_tokens_(options.crash_capacity)
{
    BOOST_ASSERT(options.success_ratio >= 0 && options.request_ratio >= 0);
    BOOST_ASSERT(options.reroute_cost > 0);
}

void retry_budget::set_options(const retry_budget_options& options) noexcept
{
    options_ = options;
    tokens_ = std::min(tokens_, options_.capacity);
    crash_tokens_ = std::min(crash_tokens_, options_.crash_capacity);
}

void retry_budget::on_request() noexcept
{
    tokens_ = std::min(options_.capacity, tokens_ + options_.request_ratio);
}

void retry_budget::on_success() noexcept
{
    tokens_ = std::min(options_.capacity, tokens_ + options_.success_ratio);
    crash_tokens_ = std::min(
        options_.crash_capacity, crash_tokens_ + options_.crash_success_ratio);
}

bool retry_budget::try_spend(retry_cause cause) noexcept
{
    const double cost =
        cause == retry_cause::reroute ? options_.reroute_cost : 1.0;
    if (tokens_ >= cost)
    {
        tokens_ -= cost;
        return true;
    }
    if (cause == retry_cause::upstream_crash && crash_tokens_ >= cost)
    {
        crash_tokens_ -= cost;
        return true;
    }
    return false;
}

} // namespace wagtailseam::retry
