// Estimates the queues of the upstreams from delayed load reports, which lose
// weight with age, and from the prompts that this entry has sent since.
#ifndef WAGTAILSEAM_ROUTING_LOAD_VIEW_HPP
#define WAGTAILSEAM_ROUTING_LOAD_VIEW_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "routing/prefix_index.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace wagtailseam::routing
{

/// Number of priority levels; level 0 is served first.
inline constexpr std::size_t priority_levels = 4;

/// The queue of an upstream at one point in time.
struct load_report
{
    /// Prompt tokens still to prefill, by priority level.
    std::array<token_count, priority_levels> queued{};
    /// Measured by the sidecar; above zero.
    token_rate prefill_rate{1.0};
    cell_id cell;
};

/// The load of all upstreams that a router knows, by slot.
class load_view
{
public:
    struct options
    {
        /// Age at which a report has half its weight; the mean of all
        /// upstreams has the other half.
        duration report_half_life = std::chrono::seconds(2);
        /// Prefill rate assumed until an upstream's first report.
        token_rate initial_rate{4000.0};
        /// Lower bound of the limit on outstanding prompts per upstream.
        std::uint32_t min_outstanding_limit = 8;
        /// Limit on outstanding prompts as a multiple of the mean.
        double mean_factor = 2.0;
    };

    explicit load_view(const options& settings);

    /// Adds an upstream without load at the slot, in place of any other there.
    void add(upstream_slot slot);
    void remove(upstream_slot slot);

    /// Stores a report measured at `measured_at` by this process's clock.
    /// Ignores a report older than the stored one.
    void store_report(
        upstream_slot slot, const load_report& report, mono_time measured_at);

    /// Records that this entry has sent a prompt to the upstream.
    void record_dispatch(
        upstream_slot slot, token_count computed, std::size_t priority,
        mono_time now);
    /// Records that a dispatched prompt no longer waits for its first token.
    void record_prefill_end(upstream_slot slot);

    /// Returns the expected time until a new prompt of the priority starts.
    [[nodiscard]] duration queue_wait(
        upstream_slot slot, std::size_t priority, mono_time now) const;
    [[nodiscard]] token_rate prefill_rate(upstream_slot slot) const;
    /// Returns the age of the stored report; duration::max() without one.
    [[nodiscard]] duration report_age(upstream_slot slot, mono_time now) const;

    /// Returns whether this entry may have one more prompt outstanding at the
    /// upstream. The limit max(min_outstanding_limit, mean_factor x mean) holds
    /// regardless of the reports, which may be stale.
    [[nodiscard]] bool below_outstanding_limit(upstream_slot slot) const;
    /// Returns the number of this entry's prompts at the upstream that wait for
    /// their first token.
    [[nodiscard]] std::uint32_t outstanding(upstream_slot slot) const;

private:
    struct sent_prompt
    {
        mono_time sent_at;
        double tokens = 0.0;
        std::size_t priority = 0;
    };
    struct upstream_load
    {
        bool present = false;
        load_report report;
        mono_time measured_at{};
        bool has_report = false;
        // Prompts sent since the report was measured; at most
        // max_sent_prompts, beyond which the newest are merged.
        std::vector<sent_prompt> sent_since;
        std::uint32_t outstanding = 0;
    };
    /// Returns the reported tokens up to the priority level that are still
    /// queued if the upstream has prefilled at its reported rate since.
    [[nodiscard]] double remaining_tokens(
        const upstream_load& load, std::size_t priority, mono_time now) const;
    [[nodiscard]] double mean_remaining_tokens(
        std::size_t priority, mono_time now) const;

    options settings_;
    std::vector<upstream_load> loads_;
    std::size_t present_count_ = 0;
    // Sum of all upstream_load::outstanding.
    std::uint64_t total_outstanding_ = 0;
};

} // namespace wagtailseam::routing

#endif
