// The position of a process among its peers.
#ifndef WAGTAILSEAM_CORE_FLEET_POSITION_HPP
#define WAGTAILSEAM_CORE_FLEET_POSITION_HPP

#include <cstddef>

namespace wagtailseam
{

/// Processes that know the same peers have different indices. A process that
/// does not know its peers yet has no position, rather than one without peers.
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
