// Lookups in HTTP messages.
#include "http/message.hpp"

#include <algorithm>
#include <cctype>

namespace wagtailseam::http
{
namespace
{

bool equal_ignoring_case(std::string_view a, std::string_view b) noexcept
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(),
        [](char x, char y)
        {
            return std::tolower(static_cast<unsigned char>(x)) ==
                   std::tolower(static_cast<unsigned char>(y));
        });
}

} // namespace

std::string_view find_header(
    const header_list& headers, std::string_view name) noexcept
{
    for (const auto& [field, value] : headers)
    {
        if (equal_ignoring_case(field, name))
        {
            return value;
        }
    }
    return {};
}

std::string_view request::path() const noexcept
{
    const std::string_view view = target;
    return view.substr(0, view.find('?'));
}

} // namespace wagtailseam::http
