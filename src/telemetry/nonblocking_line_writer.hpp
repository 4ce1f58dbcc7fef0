// Line writer for a file descriptor that never blocks its caller.
#ifndef WAGTAILSEAM_TELEMETRY_NONBLOCKING_LINE_WRITER_HPP
#define WAGTAILSEAM_TELEMETRY_NONBLOCKING_LINE_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailseam::telemetry
{

/// Writes whole lines to a file descriptor, which it sets to non-blocking
/// mode. Lines that a slow reader has not read are buffered up to a limit;
/// further lines are dropped. Once the buffer is empty again, a line reports
/// how many were dropped.
class nonblocking_line_writer
{
public:
    static constexpr std::size_t default_buffer_limit_bytes =
        std::size_t{128} * 1024;

    explicit nonblocking_line_writer(
        int descriptor,
        std::size_t buffer_limit_bytes = default_buffer_limit_bytes);

    /// Writes, buffers or drops a line. The line must end with a newline.
    void write(std::string_view line);

    /// Returns the total number of dropped lines.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

private:
    void flush();

    int descriptor_;
    std::size_t buffer_limit_bytes_;
    /// Bytes not yet written. Invariant: at most buffer_limit_bytes_, except
    /// while it contains a line that reports dropped lines.
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    /// Lines dropped since the last report of dropped lines.
    std::uint64_t unreported_drops_ = 0;
};

} // namespace wagtailseam::telemetry

#endif
