// Rendezvous hash by SHA-256, so that every process computes the same cell.
#include "membership/cells.hpp"

#include "core/digest.hpp"

#include <boost/assert.hpp>

namespace wagtailseam::membership
{

cell_id cell_of(const upstream_id& id, std::uint32_t cells)
{
    BOOST_ASSERT(cells > 0);
    std::uint32_t best = 0;
    digest highest;
    for (std::uint32_t cell = 0; cell < cells; ++cell)
    {
        const digest weight = sha256(std::to_string(cell) + "/" + id.value());
        if (cell == 0 || weight > highest)
        {
            highest = weight;
            best = cell;
        }
    }
    return cell_id{best};
}

} // namespace wagtailseam::membership
