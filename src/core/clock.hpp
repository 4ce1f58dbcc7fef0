// Time as the decision cores see it: passed in by the caller, never read.
#ifndef WAGTAILSEAM_CORE_CLOCK_HPP
#define WAGTAILSEAM_CORE_CLOCK_HPP

#include <chrono>
#include <ctime>

namespace wagtailseam
{

using duration = std::chrono::microseconds;

/// Tag of a process's own monotonic time; does not compare across processes.
struct monotonic_clock
{
    using rep = wagtailseam::duration::rep;
    using period = wagtailseam::duration::period;
    using duration = wagtailseam::duration;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;

    /// Reads the operating system's clock since boot. It counts the time for
    /// which a VM was suspended, so that what was believed before is as old as
    /// it is. Only shells call this.
    [[nodiscard]] static time_point now() noexcept
    {
        timespec read{};
        ::clock_gettime(CLOCK_BOOTTIME, &read);
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(read.tv_sec) +
            std::chrono::nanoseconds(read.tv_nsec)));
    }
};

/// Tag of calendar time in microseconds since 1970-01-01 UTC.
struct wall_clock
{
    using rep = wagtailseam::duration::rep;
    using period = wagtailseam::duration::period;
    using duration = wagtailseam::duration;
    using time_point = std::chrono::time_point<wall_clock>;
    static constexpr bool is_steady = false;

    /// Reads the operating system's calendar clock. Only shells call this.
    [[nodiscard]] static time_point now() noexcept
    {
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::system_clock::now().time_since_epoch()));
    }
};

using mono_time = monotonic_clock::time_point;
using wall_time = wall_clock::time_point;

} // namespace wagtailseam

#endif
