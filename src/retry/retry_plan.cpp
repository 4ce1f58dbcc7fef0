// The order of checks of a retry: attempts, deadline, budget. The budget comes
// last, so that a refusal for another reason spends nothing.
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

duration advised_wait(
    duration at_least, const retry_options& options, random_source& random)
{
    const duration spread = full_jitter(1, options, random);
    return std::clamp(
        at_least + spread, options.min_retry_after, options.max_retry_after);
}

retry_refused refuse(
    result_code code, std::string_view reason, duration at_least,
    const retry_options& options, random_source& random)
{
    return {
        .code = code,
        .reason = reason,
        .retry_after = advised_wait(at_least, options, random)};
}

} // namespace

duration full_jitter(
    std::uint32_t attempts, const retry_options& options, random_source& random)
{
    BOOST_ASSERT(attempts >= 1);
    const std::uint32_t doublings = std::min(attempts - 1, max_doublings);
    const duration grown = options.backoff_base * (1LL << doublings);
    const duration bound = std::min(options.backoff_cap, grown);
    const double wait = random.unit() * static_cast<double>(bound.count());
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
        failed.retry_after + full_jitter(failed.attempts, options, random);
    if (now + wait + failed.expected_first_token > failed.deadline)
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
    const auto whole = std::chrono::ceil<std::chrono::seconds>(wait).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(whole, 1));
}

duration parse_retry_after(std::string_view header) noexcept
{
    constexpr std::uint64_t longest_seconds = 3600;
    std::uint64_t seconds = 0;
    const char* const end = header.data() + header.size();
    const auto [stopped, failure] =
        std::from_chars(header.data(), end, seconds);
    if (failure != std::errc{} || stopped != end)
    {
        return duration{};
    }
    return std::chrono::seconds(std::min(seconds, longest_seconds));
}

} // namespace wagtailseam::retry
