// Parser for log lines that telemetry::event writes. A log collector may have
// prefixed them with a timestamp and a source.
#ifndef WAGTAILSEAM_LOG_STORY_LOG_LINE_HPP
#define WAGTAILSEAM_LOG_STORY_LOG_LINE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wagtailseam::log_story
{

/// A parsed log line.
struct log_line
{
    /// Source that the collector put before the line: a VM or file; may be
    /// empty.
    std::string source;
    /// Timestamp of the collector in seconds, if present. Lines are ordered by
    /// it, because the clocks of the processes differ.
    std::optional<double> collector_time_s;
    /// Timestamp of the process in ISO 8601; empty if it is missing.
    std::string time;
    std::string event;
    /// All fields except time and event, in the order of the line.
    std::vector<std::pair<std::string, std::string>> fields;
    /// The line ends inside a quoted value.
    bool truncated = false;

    /// Returns the value of a field, or an empty string if it is missing.
    [[nodiscard]] std::string_view field(std::string_view key) const noexcept;
    /// Returns a field as an integer, or std::nullopt if it is missing or not
    /// an integer.
    [[nodiscard]] std::optional<std::int64_t> number(
        std::string_view key) const noexcept;
};

/// Parses a line; returns std::nullopt if it has no event field.
/// Complexity: linear in the length of the line.
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view text);

} // namespace wagtailseam::log_story

#endif
