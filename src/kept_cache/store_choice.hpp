// Which store keeps which prefix: rendezvous hashing, weighted by capacity.
#ifndef WAGTAILSEAM_KEPT_CACHE_STORE_CHOICE_HPP
#define WAGTAILSEAM_KEPT_CACHE_STORE_CHOICE_HPP

#include "kept_cache/prefix.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace wagtailseam::kept_cache
{

/// A store that takes and gives blocks.
struct store_candidate
{
    upstream_id id;
    /// Memory and disk together. @invariant positive
    byte_count capacity{1};
};

/// Piece whose id places a chain: early enough that a conversation keeps its
/// store while it grows, late enough that conversations with a common opening
/// do not all share one.
inline constexpr std::size_t anchor_piece = 3;

/// Returns the store for a chain, nothing without stores or pieces. Follows
/// the logarithmic method of Schindelhauer and Schomaker, "Weighted
/// Distributed Hash Tables" (SPAA 2005): a change of one store moves only the
/// chains of that store. Complexity: linear in the stores.
[[nodiscard]] std::optional<upstream_id> store_for(
    const prefix_chain& chain, const std::vector<store_candidate>& stores);

/// Returns the stores that may hold leading pieces of the chain, the likeliest
/// first: a chain was placed by an earlier piece while it was short.
[[nodiscard]] std::vector<upstream_id> stores_to_ask(
    const prefix_chain& chain, const std::vector<store_candidate>& stores);

} // namespace wagtailseam::kept_cache

#endif
