// Clock types. State machines receive the time from their callers and never
// read a clock, so that tests can run them in virtual time.
#ifndef WAGTAILSEAM_CORE_CLOCK_HPP
#define WAGTAILSEAM_CORE_CLOCK_HPP

#include <chrono>
#include <ctime>

namespace wagtailseam
{

using duration = std::chrono::microseconds;

/// Monotonic clock of one host. Time points of different hosts must not be
/// compared.
struct monotonic_clock
{
    using rep = wagtailseam::duration::rep;
    using period = wagtailseam::duration::period;
    using duration = wagtailseam::duration;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;

    /// Reads CLOCK_BOOTTIME, which also counts the time that a VM spends
    /// suspended: state observed before a suspension must not look recent
    /// after it. Called by I/O code only.
    [[nodiscard]] static time_point now() noexcept
    {
        timespec since_boot{};
        ::clock_gettime(CLOCK_BOOTTIME, &since_boot);
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(since_boot.tv_sec) +
            std::chrono::nanoseconds(since_boot.tv_nsec)));
    }
};

/// Calendar time in microseconds since 1970-01-01 UTC.
struct wall_clock
{
    using rep = wagtailseam::duration::rep;
    using period = wagtailseam::duration::period;
    using duration = wagtailseam::duration;
    using time_point = std::chrono::time_point<wall_clock>;
    static constexpr bool is_steady = false;

    /// Reads the system clock. Called by I/O code only.
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
