// Checks a retry against the maximum number of attempts, the deadline and the
// budget. The budget is checked last, so that other refusals cost no tokens.
#include "retry/retry_plan.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace wagtailseam::retry
{
namespace
{

constexpr std::uint32_t max_doublings = 20;

duration caller_retry_after(
    duration min_wait, const retry_options& options, random_source& random)
{
    const duration jitter = jittered_backoff(1, options, random);
    return std::clamp(
        min_wait + jitter, options.min_retry_after, options.max_retry_after);
}

retry_refused refuse(
    result_code code, std::string_view reason, duration min_wait,
    const retry_options& options, random_source& random)
{
    return {
        .code = code,
        .reason = reason,
        .retry_after = caller_retry_after(min_wait, options, random)};
}

} // namespace

duration jittered_backoff(
    std::uint32_t attempts, const retry_options& options, random_source& random)
{
    BOOST_ASSERT(attempts >= 1);
    const std::uint32_t doublings = std::min(attempts - 1, max_doublings);
    const duration backoff = options.initial_backoff * (1LL << doublings);
    const duration max_wait = std::min(options.max_backoff, backoff);
    const double wait = random.unit() * static_cast<double>(max_wait.count());
    return duration(std::llround(wait));
}

retry_decision plan_retry(
    const failed_attempt& failed, const retry_options& options,
    retry_budget& budget, random_source& random, mono_time now)
{
    if (failed.attempts >= options.max_attempts)
    {
        return refuse(
            failed.code, "attempts_exhausted", failed.retry_after, options,
            random);
    }
    const duration wait =
        failed.retry_after + jittered_backoff(failed.attempts, options, random);
    if (now + wait + failed.expected_time_to_first_token > failed.deadline)
    {
        return refuse(
            result_code::deadline_unreachable, "retry_past_deadline",
            failed.retry_after, options, random);
    }
    if (!budget.try_spend(failed.cause))
    {
        return refuse(
            result_code::retry_budget_spent, "retry_budget_spent",
            failed.retry_after, options, random);
    }
    return retry_at{now + wait};
}

std::uint64_t retry_after_seconds(duration wait) noexcept
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(seconds, 1));
}

duration parse_retry_after(std::string_view header) noexcept
{
    constexpr std::uint64_t max_seconds = 3600;
    std::uint64_t seconds = 0;
    const char* const end = header.data() + header.size();
    const auto [parsed_end, failure] =
        std::from_chars(header.data(), end, seconds);
    if (failure != std::errc{} || parsed_end != end)
    {
        return duration{};
    }
    return std::chrono::seconds(std::min(seconds, max_seconds));
}

} // namespace wagtailseam::retry
