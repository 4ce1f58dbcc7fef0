// Bounds the log lines of one kind in a second.
#ifndef WAGTAILSEAM_TELEMETRY_LOG_RATE_LIMITER_HPP
#define WAGTAILSEAM_TELEMETRY_LOG_RATE_LIMITER_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <optional>

namespace wagtailseam::telemetry
{

/// Grants up to `lines_a_second` lines in each second, and counts the others.
class log_rate_limiter
{
public:
    explicit log_rate_limiter(std::uint32_t lines_a_second)
        : lines_a_second_(lines_a_second)
    {
    }

    /// @return nothing when the line is not to be written; otherwise how many
    /// lines were left out since the last one that was written.
    [[nodiscard]] std::optional<std::uint64_t> try_acquire(mono_time now);

private:
    std::uint32_t lines_a_second_;
    mono_time second_began_;
    std::uint32_t written_ = 0;
    std::uint64_t left_out_ = 0;
};

} // namespace wagtailseam::telemetry

#endif
