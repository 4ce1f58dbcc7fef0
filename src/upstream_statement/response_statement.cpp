// Parsing of pauses.
#include "upstream_statement/response_statement.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace wagtailseam::upstream_statement
{

duration parse_pause(std::string_view text) noexcept
{
    double seconds = 0;
    const char* const end = text.data() + text.size();
    const auto [parsed, error] =
        std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    if (error != std::errc() || parsed != end || !std::isfinite(seconds) ||
        seconds <= 0)
    {
        return duration::zero();
    }
    const std::chrono::duration<double> longest = max_pause;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(seconds, longest.count())));
}

} // namespace wagtailseam::upstream_statement
