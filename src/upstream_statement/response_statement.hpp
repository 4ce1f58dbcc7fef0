// What an upstream states about itself in the head of a response.
#ifndef WAGTAILSEAM_UPSTREAM_STATEMENT_RESPONSE_STATEMENT_HPP
#define WAGTAILSEAM_UPSTREAM_STATEMENT_RESPONSE_STATEMENT_HPP

#include "core/clock.hpp"
#include "rate_limit/limit_statement.hpp"

#include <string_view>

namespace wagtailseam::upstream_statement
{

struct response_statement
{
    /// The rate of requests that it takes from all gateways together.
    rate_limit::limit_statement limit;
    /// It takes no new requests and will end.
    bool leaving = false;
    /// Time for which it wants no requests of this gateway; zero if it states
    /// none.
    duration pause{};
    /// It did not process the request. A refusal may come from a part of the
    /// upstream that names no limits.
    bool refusal = false;
};

/// Longer pauses are shortened to this one.
inline constexpr duration max_pause = std::chrono::hours(24);

/// Parses a pause in seconds, which may have a fraction.
/// @return zero for what is no finite number above zero
[[nodiscard]] duration parse_pause(std::string_view text) noexcept;

} // namespace wagtailseam::upstream_statement

#endif
