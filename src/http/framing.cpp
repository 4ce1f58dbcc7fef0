// Check of transfer codings.
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

} // namespace wagtailseam::http
