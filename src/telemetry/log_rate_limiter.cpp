// Fixed-window rate limiting.
#include "telemetry/log_rate_limiter.hpp"

#include <utility>

namespace wagtailseam::telemetry
{

std::optional<std::uint64_t> log_rate_limiter::try_acquire(mono_time now)
{
    if (now - window_start_ >= std::chrono::seconds(1))
    {
        window_start_ = now;
        admitted_ = 0;
    }
    if (admitted_ >= max_lines_per_second_)
    {
        ++suppressed_;
        return std::nullopt;
    }
    ++admitted_;
    return std::exchange(suppressed_, 0);
}

} // namespace wagtailseam::telemetry
