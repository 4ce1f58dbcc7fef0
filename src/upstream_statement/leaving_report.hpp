// The report to other gateways that an upstream has stated that it leaves.
#ifndef WAGTAILSEAM_UPSTREAM_STATEMENT_LEAVING_REPORT_HPP
#define WAGTAILSEAM_UPSTREAM_STATEMENT_LEAVING_REPORT_HPP

#include "core/result.hpp"
#include "core/upstream_process.hpp"

#include <string>
#include <string_view>

namespace wagtailseam::upstream_statement
{

/// Encodes a report as a datagram.
[[nodiscard]] std::string encode_leaving_report(
    const upstream_process& process);

/// Returns whether a datagram has the type of a leaving report. Does not
/// validate its content.
[[nodiscard]] bool is_leaving_report(std::string_view datagram) noexcept;

/// @errors malformed_message
[[nodiscard]] result<upstream_process> decode_leaving_report(
    std::string_view datagram);

} // namespace wagtailseam::upstream_statement

#endif
