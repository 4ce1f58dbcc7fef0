// Keeps announcements in the order of their versions.
#include "serving/weight_announcements.hpp"

#include <algorithm>

namespace wagtailseam::serving
{
namespace
{

/// Longer than any deadline that counts from an announcement.
constexpr std::chrono::minutes announcement_retention{1};

} // namespace

bool weight_announcements::add(const weight_announcement& received)
{
    if (!announcements_.empty() &&
        announcements_.back().version >= received.version)
    {
        return false;
    }
    announcements_.push_back(received);
    // Of several announcements whose deadlines have passed, the newest implies
    // the others.
    while (announcements_.size() > 1 &&
           received.received_at - announcements_[1].received_at >
               announcement_retention)
    {
        announcements_.erase(announcements_.begin());
    }
    return true;
}

const weight_announcement* weight_announcements::newest() const noexcept
{
    return announcements_.empty() ? nullptr : &announcements_.back();
}

const weight_announcement* weight_announcements::oldest_newer_than(
    weight_version running) const noexcept
{
    const auto found = std::find_if(
        announcements_.begin(), announcements_.end(),
        [&](const auto& announced) { return announced.version > running; });
    return found == announcements_.end() ? nullptr : &*found;
}

std::optional<weight_version> weight_announcements::newest_older_than(
    duration limit, duration limit_at_startup, mono_time now) const
{
    std::optional<weight_version> newest;
    for (const auto& announced : announcements_)
    {
        const duration age = now - announced.received_at;
        if (age >
            (announced.at_startup ? std::min(limit, limit_at_startup) : limit))
        {
            newest = announced.version;
        }
    }
    return newest;
}

} // namespace wagtailseam::serving
