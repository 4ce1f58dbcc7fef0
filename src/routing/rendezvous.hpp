// Rendezvous (highest random weight) hashing: every process that knows the
// same members finds the same home for a key, and a member that joins or
// leaves moves only its own keys.
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

/// Returns a hash of the text that is the same on every platform.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text) noexcept;

/// Returns the first eight bytes of a digest as a number.
[[nodiscard]] std::uint64_t short_key(const digest& full) noexcept;

/// Returns the weight of a member for a key; the highest is the home.
[[nodiscard]] std::uint64_t rendezvous_weight(
    std::uint64_t key, std::uint64_t member) noexcept;

/// Returns the members in descending weight for the key, at most `count`.
/// Complexity: members times logarithm of members.
[[nodiscard]] std::vector<upstream_id> rendezvous_order(
    const digest& key, std::span<const upstream_id> members, std::size_t count);

/// Returns the cell that a runner belongs to among `cells` cells.
/// @pre cells > 0
[[nodiscard]] cell_id cell_of(const upstream_id& runner, std::uint32_t cells);

} // namespace wagtailseam::routing

#endif
