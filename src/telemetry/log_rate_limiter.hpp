// Rate limiter for log lines of one kind.
#ifndef WAGTAILSEAM_TELEMETRY_LOG_RATE_LIMITER_HPP
#define WAGTAILSEAM_TELEMETRY_LOG_RATE_LIMITER_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <optional>

namespace wagtailseam::telemetry
{

/// Admits up to max_lines_per_second lines in each window of one second and
/// counts the suppressed ones.
class log_rate_limiter
{
public:
    explicit log_rate_limiter(std::uint32_t max_lines_per_second)
        : max_lines_per_second_(max_lines_per_second)
    {
    }

    /// Requests permission to write one line. @return std::nullopt if the line
    /// must be suppressed, otherwise the number of lines suppressed since the
    /// last admitted line
    [[nodiscard]] std::optional<std::uint64_t> try_acquire(mono_time now);

private:
    std::uint32_t max_lines_per_second_;
    mono_time window_start_;
    std::uint32_t admitted_ = 0;
    std::uint64_t suppressed_ = 0;
};

} // namespace wagtailseam::telemetry

#endif
