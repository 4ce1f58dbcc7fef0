// Cells: groups of upstreams that hear each other's heartbeats.
#ifndef WAGTAILSEAM_MEMBERSHIP_CELLS_HPP
#define WAGTAILSEAM_MEMBERSHIP_CELLS_HPP

#include "core/ids.hpp"

#include <cstdint>

namespace wagtailseam::membership
{

/// Returns the cell of an upstream by rendezvous hash (Thaler and Ravishankar
/// 1998): the cell whose digest together with the id is highest. One more cell
/// takes an upstream from each other cell in equal parts and moves no other.
/// @pre cells > 0. Complexity: linear in cells.
[[nodiscard]] cell_id cell_of(const upstream_id& id, std::uint32_t cells);

} // namespace wagtailseam::membership

#endif
