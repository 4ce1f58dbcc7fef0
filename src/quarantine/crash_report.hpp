// Datagrams with crash reports, which the gateways exchange.
#ifndef WAGTAILSEAM_QUARANTINE_CRASH_REPORT_HPP
#define WAGTAILSEAM_QUARANTINE_CRASH_REPORT_HPP

#include "core/result.hpp"
#include "quarantine/crash_record_cache.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wagtailseam::quarantine
{

/// A request and what is known about its crashes.
using crash_report = std::pair<content_fingerprint, crash_record>;

/// Encodes reports as datagrams that fit into one packet each.
[[nodiscard]] std::vector<std::string> encode_datagrams(
    const std::vector<crash_report>& reports);

/// Returns whether a datagram contains crash reports; does not validate it.
[[nodiscard]] bool is_crash_report(std::string_view datagram) noexcept;

/// @errors malformed_message
[[nodiscard]] result<std::vector<crash_report>> decode_datagram(
    std::string_view datagram);

} // namespace wagtailseam::quarantine

#endif
