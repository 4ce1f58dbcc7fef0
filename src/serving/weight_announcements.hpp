// The weight versions that an operator announced for one model, and when.
#ifndef WAGTAILSEAM_SERVING_WEIGHT_ANNOUNCEMENTS_HPP
#define WAGTAILSEAM_SERVING_WEIGHT_ANNOUNCEMENTS_HPP

#include "core/clock.hpp"
#include "serving/ids.hpp"

#include <optional>
#include <vector>

namespace wagtailseam::serving
{

struct weight_announcement
{
    weight_version version;
    /// When this process received it.
    mono_time received_at;
    /// Received at the start of this process, so that its age is unknown.
    bool at_startup = false;
};

/// Keeps the versions that were announced before the newest one: each has its
/// own deadline, which a later announcement does not extend. Not thread-safe.
/// Complexity of every call: linear in the announcements of the last minute.
class weight_announcements
{
public:
    /// Adds an announcement unless its version is not newer than the newest
    /// one.
    /// @return whether it was added
    bool add(const weight_announcement& received);

    /// Returns the newest announcement, or null if there is none.
    [[nodiscard]] const weight_announcement* newest() const noexcept;

    /// Returns the oldest announcement of a version newer than `running`, whose
    /// deadline applies to an engine that runs `running`; null if there is
    /// none.
    [[nodiscard]] const weight_announcement* oldest_newer_than(
        weight_version running) const noexcept;

    /// Returns the newest version whose announcement is older than a limit.
    /// @param limit_at_startup limit for announcements of unknown age
    [[nodiscard]] std::optional<weight_version> newest_older_than(
        duration limit, duration limit_at_startup, mono_time now) const;

private:
    /// @invariant versions and times increase; at most one is older than
    ///            announcement_retention
    std::vector<weight_announcement> announcements_;
};

} // namespace wagtailseam::serving

#endif
