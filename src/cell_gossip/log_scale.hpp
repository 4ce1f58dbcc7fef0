// Quantities in one byte each, on a logarithmic scale.
#ifndef WAGTAILSEAM_CELL_GOSSIP_LOG_SCALE_HPP
#define WAGTAILSEAM_CELL_GOSSIP_LOG_SCALE_HPP

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace wagtailseam::cell_gossip
{

/// Steps for each doubling: one step is 9 %, so a value read back is within
/// 5 % of the one written.
inline constexpr double steps_per_doubling = 8.0;

/// Returns the byte for a quantity; 0 for 0, at most 255 (about 3.6e9).
[[nodiscard]] inline std::uint8_t encode_log_scale(double quantity) noexcept
{
    const double level =
        std::round(steps_per_doubling * std::log2(1.0 + quantity));
    return static_cast<std::uint8_t>(std::clamp(level, 0.0, 255.0));
}

/// Returns the quantity of a byte.
[[nodiscard]] inline double decode_log_scale(std::uint8_t level) noexcept
{
    return std::exp2(level / steps_per_doubling) - 1.0;
}

} // namespace wagtailseam::cell_gossip

#endif
