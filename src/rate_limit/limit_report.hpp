// Datagrams in which gateways report the begin and the end of limits.
#ifndef WAGTAILSEAM_RATE_LIMIT_LIMIT_REPORT_HPP
#define WAGTAILSEAM_RATE_LIMIT_LIMIT_REPORT_HPP

#include "core/result.hpp"
#include "rate_limit/upstream_limits.hpp"

#include <string>
#include <string_view>

namespace wagtailseam::rate_limit
{

[[nodiscard]] std::string encode(const limit_report& report);

/// Returns whether a datagram contains a limit report; does not validate it.
[[nodiscard]] bool is_limit_report(std::string_view datagram) noexcept;

/// @errors malformed_message
[[nodiscard]] result<limit_report> decode_limit_report(
    std::string_view datagram);

} // namespace wagtailseam::rate_limit

#endif
