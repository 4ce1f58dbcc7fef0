// The row by which a gateway shows that it runs.
#ifndef WAGTAILSEAM_PRESENCE_PRESENCE_SIGN_HPP
#define WAGTAILSEAM_PRESENCE_PRESENCE_SIGN_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailseam::presence
{

/// Table of signs. The key is the VM of the gateway.
inline constexpr const char* sign_table = "gateway_presence";

/// Each attempt to write a sign has its own number: a write that is reported
/// as failed may have been applied.
struct presence_sign
{
    incarnation writer;
    std::uint64_t number = 0;
    /// By the clock of the writer's VM, in whole milliseconds. Only a later
    /// process on the same VM compares it.
    wall_time written_at;
    /// Whether the writer takes no share yet, since it may be counted out.
    bool rejoining = false;

    friend bool operator==(const presence_sign&, const presence_sign&) =
        default;
};

[[nodiscard]] std::string encode_sign(const presence_sign& sign);

/// Returns nullopt if the text is not a valid sign.
[[nodiscard]] std::optional<presence_sign> decode_sign(std::string_view text);

} // namespace wagtailseam::presence

#endif
