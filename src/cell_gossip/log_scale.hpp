// Encodes a quantity in one byte on a logarithmic scale.
#ifndef WAGTAILSEAM_CELL_GOSSIP_LOG_SCALE_HPP
#define WAGTAILSEAM_CELL_GOSSIP_LOG_SCALE_HPP

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace wagtailseam::cell_gossip
{

/// Steps per doubling. One step is 9 %, so a decoded value is within 5 % of the
/// original.
inline constexpr double steps_per_doubling = 8.0;

/// Encodes a quantity: 0 gives 0, about 3.6e9 and above give 255.
[[nodiscard]] inline std::uint8_t encode_log_scale(double quantity) noexcept
{
    const double encoded =
        std::round(steps_per_doubling * std::log2(1.0 + quantity));
    return static_cast<std::uint8_t>(std::clamp(encoded, 0.0, 255.0));
}

/// Decodes a byte to the quantity.
[[nodiscard]] inline double decode_log_scale(std::uint8_t encoded) noexcept
{
    return std::exp2(encoded / steps_per_doubling) - 1.0;
}

} // namespace wagtailseam::cell_gossip

#endif
