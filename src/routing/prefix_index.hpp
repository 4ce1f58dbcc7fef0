// Which upstream last held a prefix: a fixed table of 16 bytes an entry, so
// that an entry VM can remember every kept conversation in a few megabytes.
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

/// A place in the router's list of upstreams.
using upstream_slot = std::uint16_t;

/// A set-associative table; a full set drops its oldest entry. An entry is a
/// hint only: a key of 64 bits may collide, and the upstream decides by the
/// whole digest what it holds.
class prefix_index
{
public:
    struct holder
    {
        upstream_slot slot = 0;
        /// Pieces of the prefix that the holder had.
        std::uint16_t pieces = 0;
    };

    /// @param entries room for this many prefixes, rounded up to a power of
    /// two.
    explicit prefix_index(std::size_t entries);

    /// Returns the holder of the longest known prefix of the chain.
    /// Complexity: linear in the chain's length.
    [[nodiscard]] std::optional<holder> find(
        std::span<const digest> chain) const;

    /// Records that the upstream holds the whole chain, and forgets the
    /// longest prefix known before, which this one extends.
    void put(std::span<const digest> chain, upstream_slot slot, mono_time now);

    /// Returns the bytes of the table; constant over its life.
    [[nodiscard]] std::size_t memory_bytes() const noexcept;
    [[nodiscard]] std::size_t size() const noexcept { return size_; }

private:
    struct entry
    {
        std::uint64_t key = 0; // 0: empty
        std::uint32_t touched_seconds = 0;
        holder held;
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
