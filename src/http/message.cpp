// Lookups in HTTP messages.
#include "http/message.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

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

std::string_view name(body_framing framing) noexcept
{
    switch (framing)
    {
    case body_framing::length:
        return "length";
    case body_framing::chunked:
        return "chunked";
    case body_framing::until_close:
        return "until_close";
    }
    return "unknown";
}

std::optional<std::chrono::seconds> keep_alive_timeout(const response& header)
{
    constexpr std::string_view parameter = "timeout=";
    const auto field = header.header("Keep-Alive");
    const auto position = field.find(parameter);
    if (position == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto digits = field.substr(position + parameter.size());
    unsigned seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace wagtailseam::http
