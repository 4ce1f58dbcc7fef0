// Uses SHA-256 as the rendezvous hash, so that all processes compute the same
// cell.
#include "membership/cells.hpp"

#include "core/digest.hpp"

#include <boost/assert.hpp>

namespace wagtailseam::membership
{

cell_id cell_of(const upstream_id& upstream, std::uint32_t cells)
{
    BOOST_ASSERT(cells > 0);
    std::uint32_t best_cell = 0;
    digest highest_weight;
    for (std::uint32_t cell = 0; cell < cells; ++cell)
    {
        const digest weight =
            sha256(std::to_string(cell) + "/" + upstream.value());
        if (cell == 0 || weight > highest_weight)
        {
            highest_weight = weight;
            best_cell = cell;
        }
    }
    return cell_id{best_cell};
}

} // namespace wagtailseam::membership
