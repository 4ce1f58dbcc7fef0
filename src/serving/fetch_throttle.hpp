// Limits fetches from cache stores whose links are slow or saturated, so that
// prompts that fetch from them get their first bytes later than after a
// prefill.
#ifndef WAGTAILSEAM_SERVING_FETCH_THROTTLE_HPP
#define WAGTAILSEAM_SERVING_FETCH_THROTTLE_HPP

#include "core/clock.hpp"
#include "http/message.hpp"

#include <map>
#include <optional>

namespace wagtailseam::serving
{

struct fetch_throttle_options
{
    /// A first byte is late if it exceeds its expected time by more than this
    /// share of the latency target, about the prefill time of a long prompt.
    double lateness_share_of_target = 0.25;
    /// Weight of one prompt in the moving average of late prompts.
    double smoothing_factor = 0.2;
    /// Half-life of the share of late prompts; lets prompts try a store again.
    duration late_share_half_life = std::chrono::seconds(2);
    /// Share of late prompts up to which every prompt may fetch.
    double tolerated_late_share = 0.25;
};

/// Not thread-safe. Memory: one entry per store from which prompts fetched.
class fetch_throttle
{
public:
    explicit fetch_throttle(const fetch_throttle_options& options = {});

    /// Records the delay of a prompt's first byte.
    /// @param fetched_from unset for a prompt that fetched nothing; its delay
    /// has other causes, which affect all prompts
    /// @param beyond_expected negative if the first byte was early
    void record_first_byte(
        const std::optional<http::address>& fetched_from,
        duration beyond_expected, duration latency_target, mono_time now);

    /// Returns whether the next prompt may fetch from a store. Refuses prompts
    /// in proportion to the share of late ones above the tolerated share.
    [[nodiscard]] bool admit_fetch(const http::address& store, mono_time now);

    /// Returns the share of late prompts among those that fetched from a store
    /// minus the share among those that fetched nothing.
    /// @invariant within [0, 1]
    [[nodiscard]] double excess_late_share(
        const http::address& store, mono_time now) const;

private:
    struct lateness
    {
        /// Share of late prompts at `updated`; decays after that. Within
        /// [0, 1].
        double late_share = 0;
        mono_time updated;
        /// Accumulated fraction of prompts to refuse; one is refused when it
        /// reaches 1.
        double pending_refusals = 0;
    };

    [[nodiscard]] double decayed_late_share(
        const lateness& record, mono_time now) const;

    fetch_throttle_options options_;
    std::map<http::address, lateness> by_store_;
    /// Prompts that fetched nothing.
    lateness without_fetch_;
};

} // namespace wagtailseam::serving

#endif
