// Rendezvous (highest random weight) hashing: processes that know the same
// members map a key to the same home, and a member that joins or leaves
// changes the home of its own keys only.
#ifndef WAGTAILSEAM_ROUTING_RENDEZVOUS_HPP
#define WAGTAILSEAM_ROUTING_RENDEZVOUS_HPP

#include "core/digest.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace wagtailseam::routing
{

/// Returns a 64-bit hash of the text that is equal on all platforms.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text) noexcept;

/// Returns the first eight bytes of a digest as a big-endian integer.
[[nodiscard]] std::uint64_t truncated_digest(const digest& value) noexcept;

/// Returns the weight of a member for a key. The member with the highest weight
/// is the key's home.
[[nodiscard]] std::uint64_t rendezvous_weight(
    std::uint64_t key, std::uint64_t member) noexcept;

/// Returns at most `count` members by descending weight for the key; equal
/// weights are ordered by id. Complexity: O(n log n) in the members.
[[nodiscard]] std::vector<upstream_id> rendezvous_order(
    const digest& key, std::span<const upstream_id> members, std::size_t count);

/// Returns the cell of an upstream among `cells` cells.
/// @pre cells > 0. Complexity: linear in cells.
[[nodiscard]] cell_id cell_of(const upstream_id& upstream, std::uint32_t cells);

} // namespace wagtailseam::routing

#endif
