// Identifies one run of an upstream's process.
#ifndef WAGTAILSEAM_CORE_UPSTREAM_PROCESS_HPP
#define WAGTAILSEAM_CORE_UPSTREAM_PROCESS_HPP

#include "core/ids.hpp"

#include <compare>
#include <cstdint>

namespace wagtailseam
{

/// One run of an upstream's process.
struct upstream_process
{
    upstream_id id;
    /// Start time in ms that the upstream reports, which distinguishes
    /// processes with the same id; 0 if unknown.
    std::uint64_t started_ms = 0;

    friend bool operator==(const upstream_process&, const upstream_process&) =
        default;
    friend auto operator<=>(const upstream_process&, const upstream_process&) =
        default;
};

} // namespace wagtailseam

#endif
