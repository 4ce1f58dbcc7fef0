// Estimates whether an engine has memory for another request.
#ifndef WAGTAILSEAM_SERVING_MEMORY_ESTIMATE_HPP
#define WAGTAILSEAM_SERVING_MEMORY_ESTIMATE_HPP

#include "core/clock.hpp"
#include "serving/upstream.hpp"

#include <deque>

namespace wagtailseam::serving
{

struct memory_estimate_options
{
    /// Share of an engine's memory up to which it gets requests. Running
    /// requests need more with each token, and an engine whose memory is
    /// exhausted preempts requests and later runs their prefill again.
    double max_share = 0.9;
    /// Maximum age of an engine's own report of its memory. A request counts as
    /// not reported for this long after its prefill.
    duration report_age = std::chrono::milliseconds(300);
};

/// The requests of this process at one engine that its reports may not include
/// yet. Not thread-safe.
class memory_estimate
{
public:
    explicit memory_estimate(const memory_estimate_options& options = {});

    /// Records that a request was sent.
    void begin(token_count tokens);
    /// Records that its prefill finished, or that it ended before.
    void finish_prefill(token_count tokens, mono_time now);

    /// Returns the tokens of the requests before the end of prefill.
    [[nodiscard]] token_count pending() const noexcept { return pending_; }
    /// Returns whether the engine has memory for another request. True if its
    /// memory is unknown.
    /// @param memory as the engine reports it
    /// @param other_pending tokens that other gateways have sent
    /// Complexity: linear in the requests of the last `report_age`.
    [[nodiscard]] bool fits(
        const engine_memory& memory, token_count other_pending,
        token_count tokens, mono_time now) const;

private:
    struct finished_prefill
    {
        mono_time at;
        token_count tokens;
    };

    memory_estimate_options options_;
    token_count pending_;
    /// In the order of their times; none is older than `report_age` after
    /// finish_prefill().
    std::deque<finished_prefill> unreported_;
};

} // namespace wagtailseam::serving

#endif
