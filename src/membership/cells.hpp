// Cells: groups of upstreams that exchange heartbeats.
#ifndef WAGTAILSEAM_MEMBERSHIP_CELLS_HPP
#define WAGTAILSEAM_MEMBERSHIP_CELLS_HPP

#include "core/ids.hpp"

#include <cstdint>

namespace wagtailseam::membership
{

/// Returns the cell of an upstream by rendezvous hashing (Thaler and
/// Ravishankar 1998): the cell for which the digest of the cell and the id is
/// highest. An additional cell takes an equal share of the upstreams of each
/// existing cell, and no other upstream moves.
/// @pre cells > 0. Complexity: linear in cells.
[[nodiscard]] cell_id cell_of(const upstream_id& upstream, std::uint32_t cells);

} // namespace wagtailseam::membership

#endif
