// Standard output that never blocks the program.
#ifndef WAGTAILSEAM_TELEMETRY_NONBLOCKING_LINE_WRITER_HPP
#define WAGTAILSEAM_TELEMETRY_NONBLOCKING_LINE_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailseam::telemetry
{

/// Writes whole lines to a descriptor that it makes non-blocking. What a slow
/// reader does not take is held up to a bound; further lines are dropped and
/// counted, and a line says how many once there is room again.
class nonblocking_line_writer
{
public:
    /// Held for a reader that is slow.
    static constexpr std::size_t default_bound = std::size_t{128} * 1024;

    explicit nonblocking_line_writer(
        int descriptor, std::size_t bound = default_bound);

    /// Takes a line that ends with a newline. Never blocks.
    void write(std::string_view line);

    [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

private:
    void flush();

    int descriptor_;
    std::size_t bound_;
    /// Bytes not yet taken by the reader; size <= bound_, but for one line that
    /// tells of dropped ones.
    std::string held_;
    std::uint64_t dropped_ = 0;
    /// Dropped since the last line that told it.
    std::uint64_t untold_ = 0;
};

} // namespace wagtailseam::telemetry

#endif
