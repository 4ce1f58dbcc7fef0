// Retry budget of one process for one pool of upstreams. Successful requests
// add tokens, so that a pool that fails completely receives few retries.
#ifndef WAGTAILSEAM_RETRY_RETRY_BUDGET_HPP
#define WAGTAILSEAM_RETRY_RETRY_BUDGET_HPP

#include <cstdint>

namespace wagtailseam::retry
{

/// Reason for a retry.
enum class retry_cause : std::uint8_t
{
    /// The upstream received the request and failed or refused it.
    failure,
    /// A sidecar refused the request before its upstream received it, because
    /// the upstream was draining, had restarted or runs another weight version.
    /// Such a retry adds little load to the pool.
    reroute,
    /// The upstream crashed while the request was in flight.
    upstream_crash,
};

struct retry_budget_options
{
    /// Tokens added for each successful request.
    double success_ratio = 0.08;
    /// Tokens added for each request, whatever its outcome. They permit
    /// occasional retries in a pool without successes.
    double request_ratio = 0.015;
    /// Number of tokens in a new budget.
    double initial = 3.0;
    /// Maximum number of tokens.
    double capacity = 32.0;
    /// Cost of a reroute in tokens. Any other retry costs 1.
    double reroute_cost = 0.25;
    /// Maximum number of tokens reserved for retries after a crash. They are
    /// used when the other tokens do not suffice, so that all requests of a
    /// crashed batch can be retried.
    double crash_capacity = 32.0;
    /// Crash tokens added for each successful request.
    double crash_success_ratio = 0.05;
};

/// Token buckets of one pool. Over any sequence of requests, the total cost of
/// the granted retries is at most the tokens and crash tokens at its start +
/// (success_ratio + crash_success_ratio) * successes + request_ratio *
/// requests. All operations take constant time and memory.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_options& options = {});

    /// Replaces the options. Tokens that were spent stay spent.
    void set_options(const retry_budget_options& options) noexcept;
    /// Adds tokens for a new request. Not to be called for retries.
    void on_request() noexcept;
    /// Adds tokens for a request that succeeded.
    void on_success() noexcept;
    /// Deducts the cost of a retry.
    /// @return false if too few tokens are left; the caller then refuses the
    /// retry with retry_budget_spent
    [[nodiscard]] bool try_spend(retry_cause cause) noexcept;

    [[nodiscard]] double tokens() const noexcept { return tokens_; }
    [[nodiscard]] double crash_tokens() const noexcept { return crash_tokens_; }

private:
    retry_budget_options options_;
    /// 0 <= tokens_ <= options_.capacity.
    double tokens_;
    /// 0 <= crash_tokens_ <= options_.crash_capacity.
    double crash_tokens_;
};

} // namespace wagtailseam::retry

#endif
