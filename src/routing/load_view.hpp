// What an entry believes of the upstreams' queues: reports that come late,
// discounted by their age, and what the entry itself has sent since.
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

/// Priority levels; level 0 is served first.
inline constexpr std::size_t priority_levels = 4;

/// An upstream's queue at one time.
struct load_report
{
    /// Prompt tokens still to compute, by priority level.
    std::array<token_count, priority_levels> queued{};
    /// Observed by the sidecar; above zero.
    token_rate prefill_rate{1.0};
    cell_id cell;
};

/// The load of all upstreams that a router knows, by slot.
class load_view
{
public:
    struct options
    {
        /// A report of this age counts half; the rest is the mean.
        duration report_half_life = std::chrono::seconds(2);
        /// Prefill rate of an upstream that has not reported yet.
        token_rate initial_rate{4000.0};
        /// Outstanding prompts that an upstream may always have.
        std::uint32_t floor = 8;
        /// Outstanding prompts allowed as a multiple of the mean.
        double mean_factor = 2.0;
    };

    explicit load_view(const options& settings);

    /// Makes room for the slot and clears what was known of it.
    void add(upstream_slot slot);
    void remove(upstream_slot slot);

    /// Takes a report made at `taken`, by this process's clock. An older one
    /// than the last is ignored.
    void report(
        upstream_slot slot, const load_report& reported, mono_time taken);

    /// Records a prompt that this entry has sent.
    void dispatched(
        upstream_slot slot, token_count computed, std::size_t priority,
        mono_time now);
    /// Records that a prompt sent earlier no longer waits for its first token.
    void settled(upstream_slot slot);

    /// Returns the expected wait before a new prompt of the priority starts.
    [[nodiscard]] duration queue_wait(
        upstream_slot slot, std::size_t priority, mono_time now) const;
    [[nodiscard]] token_rate prefill_rate(upstream_slot slot) const;
    [[nodiscard]] duration report_age(upstream_slot slot, mono_time now) const;

    /// Whether this entry's own outstanding prompts leave room for one more:
    /// whatever a stale report says, an upstream never has more than
    /// max(floor, mean_factor x mean) of them.
    [[nodiscard]] bool has_room(upstream_slot slot) const;
    [[nodiscard]] std::uint32_t outstanding(upstream_slot slot) const;

private:
    struct sent
    {
        mono_time when;
        double tokens = 0.0;
        std::size_t priority = 0;
    };
    struct upstream_load
    {
        bool present = false;
        load_report last;
        mono_time taken{};
        bool reported = false;
        // Sent since the last report; at most sent_limit, beyond which the
        // oldest are merged.
        std::vector<sent> since;
        std::uint32_t outstanding = 0;
    };
    [[nodiscard]] double drained_tokens(
        const upstream_load& load, std::size_t priority, mono_time now) const;
    [[nodiscard]] double mean_tokens(std::size_t priority, mono_time now) const;

    options settings_;
    std::vector<upstream_load> loads_;
    std::size_t present_ = 0;
    std::uint64_t outstanding_ = 0;
};

} // namespace wagtailseam::routing

#endif
