// What an engine's prefix cache is believed to hold, from cache events that
// come late and with gaps. A belief is a hint for routing, never a proof.
#ifndef WAGTAILSEAM_KEPT_CACHE_INVENTORY_HPP
#define WAGTAILSEAM_KEPT_CACHE_INVENTORY_HPP

#include "core/clock.hpp"
#include "kept_cache/prefix.hpp"

#include <boost/unordered/unordered_flat_set.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <variant>
#include <vector>

namespace wagtailseam::kept_cache
{

/// Numbers an engine's cache events from 1, without gaps as published.
using cache_sequence = strong_id<struct cache_sequence_tag, std::uint64_t>;

/// The engine holds these blocks now.
struct blocks_cached
{
    std::vector<block_id> ids;
};

/// The engine dropped these blocks.
struct blocks_evicted
{
    std::vector<block_id> ids;
};

/// The engine dropped everything: a restart or a weight swap.
struct cache_cleared
{
};

/// One event as the engine published it.
struct cache_event
{
    /// The engine's life; numbers of different lives do not compare.
    incarnation engine;
    cache_sequence number;
    std::variant<blocks_cached, blocks_evicted, cache_cleared> change;
};

/// The whole content of an engine's cache after the event `number`.
struct cache_snapshot
{
    incarnation engine;
    cache_sequence number;
    std::vector<block_id> ids;
};

/// The snapshot asked for did not come.
struct snapshot_failed
{
};

/// Gives the inventory a chance to ask for a snapshot again.
struct inventory_tick
{
};

using inventory_event =
    std::variant<cache_event, cache_snapshot, snapshot_failed, inventory_tick>;

/// The shell asks the engine for a cache_snapshot.
struct ask_snapshot
{
};

using inventory_command = std::variant<ask_snapshot>;

struct inventory_options
{
    /// Bound of the ids believed held; further ones are left out.
    std::size_t max_blocks = 1U << 17U;
    /// Least time between two requests for a snapshot.
    duration snapshot_interval = std::chrono::seconds(1);
    /// After this time without an answer the snapshot is asked for again.
    duration snapshot_timeout = std::chrono::seconds(5);
};

struct inventory_counts
{
    std::uint64_t applied = 0;
    std::uint64_t gaps = 0;
    /// Events that a snapshot had covered, duplicates, or of an earlier life.
    std::uint64_t ignored = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t left_out = 0;
};

/// The decision core that follows one engine's cache.
class inventory
{
public:
    explicit inventory(inventory_options options) : options_(options) {}

    /// Applies one event. A gap or another life of the engine drops all
    /// beliefs until a snapshot comes: to recompute is cheaper than to send a
    /// prompt to an engine that no longer holds its prefix.
    /// Complexity: linear in the ids of the event.
    [[nodiscard]] std::vector<inventory_command> handle(
        const inventory_event& what, mono_time now);

    /// Returns how many leading blocks of the chain the engine is believed to
    /// hold. The engine decides what it really reuses.
    [[nodiscard]] std::size_t believed_pieces(
        const prefix_chain& chain) const noexcept;

    [[nodiscard]] std::size_t size() const noexcept { return held_.size(); }
    /// Whether events have been followed without a gap since a snapshot.
    [[nodiscard]] bool in_step() const noexcept { return in_step_; }
    [[nodiscard]] const inventory_counts& counts() const noexcept
    {
        return counts_;
    }

private:
    [[nodiscard]] bool on(const cache_event& what);
    [[nodiscard]] bool on(const cache_snapshot& what);
    [[nodiscard]] bool on(const snapshot_failed& what);
    [[nodiscard]] bool on(const inventory_tick& what);
    void apply(const cache_event& what);
    void add(const std::vector<block_id>& ids);
    void lose_step();

    inventory_options options_;
    incarnation engine_;
    /// The last event that held_ reflects.
    std::uint64_t reflected_ = 0;
    /// The latest event seen out of step; a snapshot before it leaves a gap.
    std::uint64_t latest_seen_ = 0;
    bool in_step_ = false;
    bool asked_ = false;
    mono_time asked_at_{};
    mono_time now_{};
    /// @invariant at most max_blocks ids; empty while out of step.
    boost::unordered_flat_set<block_id, std::hash<block_id>> held_;
    inventory_counts counts_;
};

} // namespace wagtailseam::kept_cache

#endif
