// The position of a process among its peers.
#ifndef WAGTAILSEAM_CORE_FLEET_POSITION_HPP
#define WAGTAILSEAM_CORE_FLEET_POSITION_HPP

#include <cstddef>

namespace wagtailseam
{

/// Processes that know the same peers have different indices.
struct fleet_position
{
    /// Less than `size`.
    std::size_t index = 0;
    std::size_t size = 1;

    friend bool operator==(const fleet_position&, const fleet_position&) =
        default;
};

} // namespace wagtailseam

#endif
