// What the response of an upstream says about the rate of its requests.
#ifndef WAGTAILSEAM_RATE_LIMIT_LIMIT_STATEMENT_HPP
#define WAGTAILSEAM_RATE_LIMIT_LIMIT_STATEMENT_HPP

#include "core/strong_type.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace wagtailseam::rate_limit
{

/// Requests per second.
using request_rate = quantity<struct request_rate_tag, double>;

/// The upstream takes requests at any rate.
struct no_limit
{
    friend bool operator==(const no_limit&, const no_limit&) = default;
};

/// The upstream names a limit that is no rate.
struct unreadable_limit
{
    std::string text;

    friend bool operator==(const unreadable_limit&, const unreadable_limit&) =
        default;
};

/// A rate limits the requests of all gateways together.
using limit_statement = std::variant<no_limit, request_rate, unreadable_limit>;

/// Parses the decimal number of a limit.
/// @param text empty if the response names no limit
/// @return unreadable_limit for what is no finite number of zero or more
[[nodiscard]] limit_statement parse_limit(std::string_view text);

} // namespace wagtailseam::rate_limit

#endif
