// Maps a prompt prefix to the upstream that last held it. The table has a
// fixed size and takes 16 bytes per entry, so that an entry VM can index all
// cached conversations in a few megabytes.
#ifndef WAGTAILSEAM_ROUTING_PREFIX_INDEX_HPP
#define WAGTAILSEAM_ROUTING_PREFIX_INDEX_HPP

#include "core/clock.hpp"
#include "core/digest.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace wagtailseam::routing
{

/// Index into the router's list of upstreams.
using upstream_slot = std::uint16_t;

/// A set-associative table. A full set evicts its least recently written entry.
/// An entry is only a hint: its 64-bit key may collide, and the upstream looks
/// up its cache by the whole digest.
class prefix_index
{
public:
    struct holder
    {
        upstream_slot slot = 0;
        /// Length in pieces of the prefix that the holder has.
        std::uint16_t pieces = 0;
    };

    /// @param entries capacity in prefixes, rounded up to a power of two
    explicit prefix_index(std::size_t entries);

    /// Returns the holder of the longest indexed prefix of the chain.
    /// Complexity: linear in the length of the chain.
    [[nodiscard]] std::optional<holder> find(
        std::span<const digest> chain) const;

    /// Records that the upstream holds the whole chain, and erases the entry of
    /// the longest shorter prefix, which the chain extends.
    /// Complexity: linear in the length of the chain.
    void put(std::span<const digest> chain, upstream_slot slot, mono_time now);

    /// Returns the size of the table in bytes, which never changes.
    [[nodiscard]] std::size_t memory_bytes() const noexcept;
    /// Returns the number of indexed prefixes.
    [[nodiscard]] std::size_t size() const noexcept { return size_; }

private:
    struct entry
    {
        std::uint64_t key = 0; // 0 marks an empty entry
        // Seconds of mono_time plus 1, so that empty entries are the oldest.
        std::uint32_t written_seconds = 0;
        holder held_by;
    };
    static_assert(sizeof(entry) == 16);

    [[nodiscard]] std::span<entry> set_of(std::uint64_t key);
    [[nodiscard]] std::span<const entry> set_of(std::uint64_t key) const;

    std::vector<entry> entries_;
    std::size_t set_mask_;
    std::size_t size_ = 0;
};

} // namespace wagtailseam::routing

#endif
