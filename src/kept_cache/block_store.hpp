// The index and rules of a store of kept cache blocks on a store VM: what may
// be read, what is evicted, what moves from memory to disk. The bytes
// themselves belong to the shell.
#ifndef WAGTAILSEAM_KEPT_CACHE_BLOCK_STORE_HPP
#define WAGTAILSEAM_KEPT_CACHE_BLOCK_STORE_HPP

#include "core/random_source.hpp"
#include "kept_cache/return_model.hpp"
#include "kept_cache/store_messages.hpp"

#include <boost/unordered/unordered_flat_set.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace wagtailseam::kept_cache
{

/// How the block to give up is chosen.
enum class eviction_policy : std::uint8_t
{
    /// The least expected recompute saved per byte.
    saved_per_byte,
    /// The longest unused; a baseline to measure against.
    least_recently_used,
};

struct block_store_options
{
    byte_count memory_capacity{0};
    /// 0 for a store without disk.
    byte_count disk_capacity{0};
    /// Share of memory in use above which blocks move to disk.
    double demotion_threshold = 0.9;
    /// How long a pin lasts without a read.
    duration pin_lifetime = std::chrono::seconds(10);
    /// How long a write may stay unfinished.
    duration write_lifetime = std::chrono::seconds(30);
    /// How long the disk rests after it refused a write.
    duration disk_rest = std::chrono::seconds(5);
    /// Bound of the index.
    std::size_t max_blocks = 1U << 20U;
    /// Bound of pins held at once.
    std::size_t max_pins = 4096;
    /// Bound of demotions under way.
    std::size_t max_demotions = 8;
    /// Blocks compared for one eviction.
    std::size_t eviction_sample = 64;
    eviction_policy policy = eviction_policy::saved_per_byte;
};

/// What happened in one life of a store; the shell exports it.
struct block_store_counts
{
    std::uint64_t committed = 0;
    std::uint64_t evicted = 0;
    std::uint64_t demoted = 0;
    std::uint64_t opened = 0;
    std::uint64_t opened_missing = 0;
    std::uint64_t write_refused_full = 0;
    std::uint64_t write_digest_mismatch = 0;
    std::uint64_t write_expired = 0;
    std::uint64_t pin_expired = 0;
    std::uint64_t read_of_freed = 0;
    std::uint64_t disk_write_failed = 0;
    std::uint64_t disk_read_failed = 0;
};

/// The decision core of the store role.
///
/// A block is pending, then committed, then freed. Only committed blocks open;
/// a reader's pin names one generation, lapses by time, and keeps the block
/// from eviction while it lasts. A chunk is checked before it is read and
/// again before it is sent. Nothing outlives the process: a lost store costs
/// recompute.
class block_store
{
public:
    block_store(
        block_store_options options, incarnation life, random_source random);
    block_store(const block_store&) = delete;
    block_store& operator=(const block_store&) = delete;

    /// Applies one event. @param now does not go back.
    /// Complexity: logarithmic in pins and pending writes; an eviction looks
    /// at eviction_sample blocks; free_scope looks at all.
    [[nodiscard]] std::vector<store_command> handle(
        const store_event& what, mono_time now);

    /// Returns how many leading blocks of the chain are committed here, as a
    /// hint: only open_block gives a right to read.
    [[nodiscard]] std::size_t held_pieces(
        scope_tag scope, const prefix_chain& chain) const;

    [[nodiscard]] const block_store_counts& counts() const noexcept
    {
        return counts_;
    }
    [[nodiscard]] std::size_t size() const noexcept { return index_.size(); }
    [[nodiscard]] byte_count used(tier of) const noexcept
    {
        return of == tier::memory ? memory_used_ : disk_used_;
    }

private:
    using slot = std::uint32_t;
    static constexpr slot no_slot = UINT32_MAX;
    static constexpr std::size_t tier_count = 2;

    enum class block_state : std::uint8_t
    {
        freed,
        pending,
        committed,
    };

    struct entry
    {
        block_id id;
        digest content;
        block_generation generation;
        scope_tag scope;
        byte_count length;
        /// When the write began or the block was last opened.
        mono_time last_used;
        std::uint32_t recompute_us = 0;
        std::uint32_t uses = 0;
        /// The entry of the piece before, no_slot for a first piece. The link
        /// holds while that entry still has parent_generation.
        slot parent = no_slot;
        block_generation parent_generation;
        /// @invariant the number of entries in each tier whose link to this
        /// one holds.
        std::array<std::uint32_t, tier_count> children{};
        std::uint32_t pins = 0;
        /// Index in candidates_ of the tier, no_slot when not there.
        std::uint32_t position = no_slot;
        block_state state = block_state::freed;
        tier at = tier::memory;
        bool demoting = false;
    };

    struct pin
    {
        slot at = no_slot;
        block_generation generation;
        mono_time expires;
    };

    struct demotion
    {
        block_ref ref;
        /// Room reserved on disk.
        byte_count length;
    };

    /// Looks entries up by block id without a second copy of the id.
    struct slot_hash
    {
        using is_transparent = void;
        const std::vector<entry>* entries;
        std::size_t operator()(slot at) const noexcept;
        std::size_t operator()(const block_id& id) const noexcept;
    };
    struct slot_equal
    {
        using is_transparent = void;
        const std::vector<entry>* entries;
        bool operator()(slot a, slot b) const noexcept { return a == b; }
        bool operator()(slot a, const block_id& id) const noexcept;
        bool operator()(const block_id& id, slot a) const noexcept;
    };

    void on(const begin_write& asked);
    void on(const finish_write& done);
    void on(const abort_write& gone);
    void on(const open_block& asked);
    void on(const read_chunk& asked);
    void on(const chunk_read& done);
    void on(const release_pin& done);
    void on(const demotion_ended& done);
    void on(const free_block& asked);
    void on(const free_scope& asked);
    void on(const store_tick& tick);

    [[nodiscard]] slot find(const block_id& id) const;
    [[nodiscard]] slot find(const block_ref& ref) const;
    [[nodiscard]] block_ref ref_of(slot at) const;
    /// Returns the code that forbids a read under the pin, or ok.
    [[nodiscard]] result_code check_read(
        pin_id pinned, const block_ref& ref) const;
    void refuse(call_id call, result_code code);
    void refuse_read(call_id call, result_code code);
    void accept(const begin_write& asked, slot parent);
    void link(slot at, slot parent);
    void unlink(slot at);
    [[nodiscard]] bool parent_holds(slot at) const;
    void move_to_disk(slot at);
    void free_slot(slot at);
    void drop_pin(std::uint64_t number);
    void expire();

    // Eviction and demotion, in block_store_eviction.cpp.
    [[nodiscard]] bool is_candidate(slot at) const;
    /// Puts the entry into or out of candidates_ after a change.
    void update_candidate(slot at);
    [[nodiscard]] bool has_children(slot at) const;
    [[nodiscard]] reuse_history history_of(slot at) const;
    [[nodiscard]] double value_of(slot at) const;
    [[nodiscard]] slot least_valuable(tier in, bool leaf_only);
    /// Evicts until length more bytes fit. @return false when they cannot.
    [[nodiscard]] bool make_room(tier in, byte_count length);
    [[nodiscard]] bool make_disk_room(byte_count length, double value);
    void evict(slot at);
    void demote_over_threshold();
    [[nodiscard]] bool demote_one();

    block_store_options options_;
    incarnation life_;
    random_source random_;
    return_model returns_;
    mono_time now_{};
    mono_time disk_rests_until_{};
    std::vector<entry> entries_;
    std::vector<slot> free_slots_;
    /// @invariant holds each slot that is pending or committed.
    boost::unordered_flat_set<slot, slot_hash, slot_equal> index_;
    /// Blocks that may be evicted or demoted: committed, not pinned, not under
    /// demotion, without children in the same tier.
    std::array<std::vector<slot>, tier_count> candidates_;
    std::map<std::uint64_t, pin> pins_;
    /// @invariant holds each pin once, by its expiry.
    std::set<std::pair<mono_time, std::uint64_t>> pin_expiry_;
    /// Unfinished writes by their start; bounded by the memory tier.
    std::set<std::pair<mono_time, slot>> pending_;
    std::uint64_t last_generation_ = 0;
    std::uint64_t last_pin_ = 0;
    /// Demotions under way. They are numbered, since a block may be demoted
    /// again after a demotion that was dropped.
    std::map<demotion_id, demotion> demotions_;
    std::uint64_t last_demotion_ = 0;
    /// @invariant memory_used_ <= memory_capacity, disk_used_ <= disk_capacity;
    /// a block under demotion counts in both.
    byte_count memory_used_{0};
    byte_count disk_used_{0};
    block_store_counts counts_;
    std::vector<store_command> out_;
};

} // namespace wagtailseam::kept_cache

#endif
