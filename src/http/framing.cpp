// Checks of transfer codings and header lines.
#include "http/framing.hpp"

#include <algorithm>

namespace wagtailseam::http
{
namespace
{

constexpr std::string_view chunked = "chunked";

/// Compares with lower-case text without regard to the case of ASCII letters.
bool equals_ignoring_case(std::string_view text, std::string_view lower_case)
{
    return std::equal(
        text.begin(), text.end(), lower_case.begin(), lower_case.end(),
        [](char character, char expected)
        {
            const bool is_upper = character >= 'A' && character <= 'Z';
            return (is_upper ? static_cast<char>(character - 'A' + 'a')
                             : character) == expected;
        });
}

} // namespace

bool is_readable_framing(
    const std::vector<std::string_view>& transfer_encodings, bool has_length)
{
    return transfer_encodings.empty() ||
           (transfer_encodings.size() == 1 && !has_length &&
            equals_ignoring_case(transfer_encodings.front(), chunked));
}

bool has_folded_line(std::string_view section)
{
    constexpr std::string_view line_end = "\r\n";
    for (;;)
    {
        const auto end = section.find(line_end);
        // An empty line ends the header.
        if (end == std::string_view::npos || end == 0)
        {
            return false;
        }
        section.remove_prefix(end + line_end.size());
        if (section.starts_with(' ') || section.starts_with('\t'))
        {
            return true;
        }
    }
}

} // namespace wagtailseam::http
