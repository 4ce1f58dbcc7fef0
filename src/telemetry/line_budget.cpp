// Windows of one second.
#include "telemetry/line_budget.hpp"

#include <utility>

namespace wagtailseam::telemetry
{

std::optional<std::uint64_t> line_budget::take(mono_time now)
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
