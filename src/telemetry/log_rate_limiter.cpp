// Windows of one second.
#include "telemetry/log_rate_limiter.hpp"

#include <utility>

namespace wagtailseam::telemetry
{

std::optional<std::uint64_t> log_rate_limiter::try_acquire(mono_time now)
{
    if (now - second_began_ >= std::chrono::seconds(1))
    {
        second_began_ = now;
        written_ = 0;
    }
    if (written_ >= lines_a_second_)
    {
        ++left_out_;
        return std::nullopt;
    }
    ++written_;
    return std::exchange(left_out_, 0);
}

} // namespace wagtailseam::telemetry
