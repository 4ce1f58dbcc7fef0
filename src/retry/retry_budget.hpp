// Budget for retries of one pool of upstreams at one entry: successes earn
// retries, so that a pool that fails altogether sees hardly more attempts than
// requests.
#ifndef WAGTAILSEAM_RETRY_RETRY_BUDGET_HPP
#define WAGTAILSEAM_RETRY_RETRY_BUDGET_HPP

#include <cstdint>

namespace wagtailseam::retry
{

/// Why an attempt is followed by another.
enum class retry_cause : std::uint8_t
{
    /// The upstream failed or refused after it saw the request.
    failure,
    /// A sidecar refused before its upstream saw the request (leaving,
    /// restarted, other weight version); costs the pool little.
    reroute,
    /// The upstream crashed with the request and others in flight.
    upstream_crash,
};

struct retry_budget_options
{
    /// Tokens earned by each success.
    double success_ratio = 0.08;
    /// Tokens earned by each request whatever becomes of it; lets a pool
    /// without successes be tried again now and then.
    double request_ratio = 0.015;
    /// Tokens of a new budget.
    double initial = 3.0;
    /// Tokens kept at most.
    double capacity = 32.0;
    /// Cost of a reroute; a failure costs 1.
    double reroute_cost = 0.25;
    /// Tokens for requests present at a crash, spent when the others are
    /// spent, so that all requests of one batch can run again.
    double crash_capacity = 32.0;
    /// Crash tokens earned by each success.
    double crash_success_ratio = 0.05;
};

/// Token bucket of one pool. Over any run of requests the retries that it
/// grants are at most initial + capacities held at its start +
/// success_ratio * successes + request_ratio * requests (reroutes weigh
/// reroute_cost). Constant memory and time.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_options& options = {});

    /// Counts a new request, not its retries.
    void on_request() noexcept;
    /// Counts a request that finished.
    void on_success() noexcept;
    /// Takes a retry's cost from the budget. @return false when it is spent;
    /// the request is then refused with retry_budget_spent.
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
