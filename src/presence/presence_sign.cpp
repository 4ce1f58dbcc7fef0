// Encodes a sign as four decimal numbers.
#include "presence/presence_sign.hpp"

#include <charconv>
#include <system_error>

namespace wagtailseam::presence
{
namespace
{

using std::chrono::milliseconds;

/// Separates the numbers.
constexpr char separator = ' ';
/// Later times do not fit into a wall_time.
constexpr std::uint64_t max_milliseconds = 9'000'000'000'000'000;

/// Removes a number and `end` from the start of the text.
std::optional<std::uint64_t> take_number(
    std::string_view& text, std::optional<char> end)
{
    std::uint64_t number = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc())
    {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    const bool ends = end ? text.starts_with(*end) : text.empty();
    if (!ends)
    {
        return std::nullopt;
    }
    text.remove_prefix(end ? 1 : 0);
    return number;
}

} // namespace

std::string encode_sign(const presence_sign& sign)
{
    const auto written_at = std::chrono::duration_cast<milliseconds>(
        sign.written_at.time_since_epoch());
    return std::to_string(sign.writer.value()) + separator +
           std::to_string(sign.number) + separator +
           std::to_string(written_at.count()) + separator +
           (sign.rejoining ? '1' : '0');
}

std::optional<presence_sign> decode_sign(std::string_view text)
{
    const auto writer = take_number(text, separator);
    const auto number =
        writer ? take_number(text, separator) : std::optional<std::uint64_t>();
    const auto written_at =
        number ? take_number(text, separator) : std::optional<std::uint64_t>();
    const auto rejoining = written_at ? take_number(text, std::nullopt)
                                      : std::optional<std::uint64_t>();
    if (!rejoining || *rejoining > 1 || *written_at > max_milliseconds)
    {
        return std::nullopt;
    }
    return presence_sign{
        .writer = incarnation{*writer},
        .number = *number,
        .written_at = wall_time(
            milliseconds(static_cast<milliseconds::rep>(*written_at))),
        .rejoining = *rejoining == 1};
}

} // namespace wagtailseam::presence
