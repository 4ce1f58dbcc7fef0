// When, if at all, a failed attempt is followed by another: backoff with full
// jitter, Retry-After, the deadline and the pool's budget.
#ifndef WAGTAILSEAM_RETRY_RETRY_PLAN_HPP
#define WAGTAILSEAM_RETRY_RETRY_PLAN_HPP

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "core/result_code.hpp"
#include "retry/retry_budget.hpp"

#include <cstdint>
#include <string_view>
#include <variant>

namespace wagtailseam::retry
{

struct retry_options
{
    /// Bound of the first backoff; each further one doubles it.
    duration backoff_base = std::chrono::milliseconds(20);
    duration backoff_cap = std::chrono::seconds(2);
    /// Attempts of one request, the first included.
    std::uint32_t max_attempts = 4;
    /// Shortest and longest time told to a caller.
    duration min_retry_after = std::chrono::seconds(1);
    duration max_retry_after = std::chrono::seconds(60);
};

/// An attempt that failed in a way that allows another (proved not run, or
/// idempotent).
struct failed_attempt
{
    retry_cause cause = retry_cause::failure;
    /// Why it failed; carried into the refusal when no retry follows.
    result_code code = result_code::upstream_refused;
    /// Attempts made so far, the failed one included. At least 1.
    std::uint32_t attempts = 1;
    /// The request's deadline.
    mono_time deadline;
    /// Time from dispatch to the first token as estimated by routing.
    duration expected_first_token{};
    /// Retry-After of the upstream when no other upstream can take the
    /// request; zero otherwise.
    duration retry_after{};
};

/// Dispatch again at this time, not before.
struct retry_at
{
    mono_time at;
};

/// Give the final answer now.
struct retry_refused
{
    result_code code = result_code::ok;
    std::string_view reason;
    /// When the caller may come back, from now.
    duration retry_after{};
};

using retry_decision = std::variant<retry_at, retry_refused>;

/// Returns a uniform time in [0, min(cap, base * 2^(attempts - 1))].
/// @pre attempts >= 1
[[nodiscard]] duration full_jitter(
    std::uint32_t attempts, const retry_options& options,
    random_source& random);

/// Decides on another attempt and spends the budget when there is one. A retry
/// whose first token cannot come before the deadline is refused at once, and
/// nothing is spent. Constant time.
[[nodiscard]] retry_decision plan_retry(
    const failed_attempt& failed, const retry_options& options,
    retry_budget& budget, random_source& random, mono_time now);

/// Returns whole seconds for a Retry-After header, rounded up, at least 1.
[[nodiscard]] std::uint64_t retry_after_seconds(duration wait) noexcept;

/// Reads a Retry-After header in seconds. @return zero for an absent, malformed
/// or dated header; at most one hour.
[[nodiscard]] duration parse_retry_after(std::string_view header) noexcept;

} // namespace wagtailseam::retry

#endif
