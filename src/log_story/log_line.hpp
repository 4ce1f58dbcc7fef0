// One line of a program's log, as telemetry::event writes it and as collectors
// pass it on, with words of their own in front.
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

struct log_line
{
    /// The collector's word before the line: a VM or file; may be empty.
    std::string source;
    /// The collector's clock in seconds, when it gives one. Process clocks
    /// differ, so this one orders lines if it is there.
    std::optional<double> collected_s;
    /// The process's clock, ISO 8601; empty when it is missing.
    std::string time;
    std::string event;
    /// Every field but time and event, in the order of the line.
    std::vector<std::pair<std::string, std::string>> fields;
    /// The line ends in the middle of a quoted value.
    bool cut = false;

    /// Returns a field's value, empty when it is missing.
    [[nodiscard]] std::string_view field(std::string_view key) const noexcept;
    /// Returns a field as a number, nothing when it is missing or is none.
    [[nodiscard]] std::optional<std::int64_t> number(
        std::string_view key) const noexcept;
};

/// Reads a line; nothing for one without an event.
/// Complexity: linear in the line.
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view text);

} // namespace wagtailseam::log_story

#endif
