// Parsing of limits.
#include "rate_limit/limit_statement.hpp"

#include <charconv>
#include <cmath>
#include <cstddef>

namespace wagtailseam::rate_limit
{
namespace
{

/// Longer texts are shortened in logs.
constexpr std::size_t max_kept_text = 32;

} // namespace

limit_statement parse_limit(std::string_view text)
{
    if (text.empty())
    {
        return no_limit{};
    }
    double rate = 0;
    const char* const end = text.data() + text.size();
    const auto [parsed, error] =
        std::from_chars(text.data(), end, rate, std::chars_format::fixed);
    const bool is_rate = error == std::errc() && parsed == end &&
                         std::isfinite(rate) && rate >= 0;
    return is_rate ? limit_statement(request_rate{rate})
                   : limit_statement(unreadable_limit{
                         std::string(text.substr(0, max_kept_text))});
}

} // namespace wagtailseam::rate_limit
