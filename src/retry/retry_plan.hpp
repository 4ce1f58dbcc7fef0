// Decides whether and when to retry a failed attempt, by exponential backoff
// with full jitter, Retry-After, the deadline and the retry budget.
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
    /// Upper bound of the first backoff. It doubles with each further retry.
    duration initial_backoff = std::chrono::milliseconds(20);
    duration max_backoff = std::chrono::seconds(2);
    /// Maximum number of attempts per request, including the first.
    std::uint32_t max_attempts = 4;
    /// Bounds of the Retry-After time that is sent to a caller.
    duration min_retry_after = std::chrono::seconds(1);
    duration max_retry_after = std::chrono::seconds(60);
};

/// A failed attempt that may be retried, because the upstream provably did not
/// run the request or because the request is idempotent.
struct failed_attempt
{
    retry_cause cause = retry_cause::failure;
    /// Cause of the failure, returned to the caller when the maximum number of
    /// attempts is reached.
    result_code code = result_code::upstream_refused;
    /// Number of attempts so far, including the failed one; at least 1.
    std::uint32_t attempts = 1;
    mono_time deadline;
    /// Time from dispatch to the first token, as estimated by routing.
    duration expected_time_to_first_token{};
    /// Retry-After of the upstream if no other upstream can accept the request;
    /// otherwise zero.
    duration retry_after{};
};

/// Retry the request no earlier than this time.
struct retry_at
{
    mono_time at;
};

/// Do not retry: return the final response now.
struct retry_refused
{
    result_code code = result_code::ok;
    std::string_view reason;
    /// Time after which the caller may send the request again.
    duration retry_after{};
};

using retry_decision = std::variant<retry_at, retry_refused>;

/// Returns a backoff time, uniformly distributed in
/// [0, min(max_backoff, initial_backoff * 2^(attempts - 1))].
/// @pre attempts >= 1
[[nodiscard]] duration jittered_backoff(
    std::uint32_t attempts, const retry_options& options,
    random_source& random);

/// Decides whether to retry, and deducts the cost of a granted retry from the
/// budget. Refuses a retry whose first token is expected after the deadline, at
/// no cost. Takes constant time.
[[nodiscard]] retry_decision plan_retry(
    const failed_attempt& failed, const retry_options& options,
    retry_budget& budget, random_source& random, mono_time now);

/// Returns the value of a Retry-After header in seconds, rounded up; at least
/// 1.
[[nodiscard]] std::uint64_t retry_after_seconds(duration wait) noexcept;

/// Parses a Retry-After header in seconds.
/// @return at most one hour; zero if the header is absent, malformed or a date
[[nodiscard]] duration parse_retry_after(std::string_view header) noexcept;

} // namespace wagtailseam::retry

#endif
