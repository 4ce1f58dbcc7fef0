// How long an upstream that left the list stays in use.
#ifndef WAGTAILSEAM_SERVING_REMOVAL_GRACE_HPP
#define WAGTAILSEAM_SERVING_REMOVAL_GRACE_HPP

#include "core/clock.hpp"

#include <vector>

namespace wagtailseam::serving
{

/// A time in which this process could not read the store.
struct store_outage
{
    mono_time began_at;
    /// Start of the last read that failed. The store was away at some time
    /// after it.
    mono_time last_failed_read;
    /// When a read succeeded again; the current time if none has.
    mono_time ended_at;

    friend bool operator==(const store_outage&, const store_outage&) = default;
};

struct removal_grace_options
{
    /// Time from the confirmation of a removal to the last request.
    duration drain_deadline = std::chrono::seconds(2);
    /// Time after an outage within which a process has to catch up.
    duration resync_deadline = std::chrono::seconds(3);
    /// Longest time from the confirmation to the receipt of a change.
    duration max_delivery_delay = std::chrono::milliseconds(400);
    /// Longest time from the choice of an upstream to the receipt of the
    /// request there.
    duration max_send_delay = std::chrono::milliseconds(300);
    /// Entries do not lapse in shorter outages.
    duration min_outage = std::chrono::seconds(1);
    /// Upstreams whose entries lapsed while the store was away are listed again
    /// within this time after its return.
    duration relisting_time = std::chrono::milliseconds(2200);
};

/// A removal has one of two reasons: it was confirmed while the list could be
/// read, or the entry may have lapsed while the store was away. A confirmed one
/// ends the use so early that the last request arrives within the drain
/// deadline. One that may be a lapse extends the use, at most until this
/// process has to be in step with the list again.
class removal_grace
{
public:
    explicit removal_grace(const removal_grace_options& options = {});

    /// Returns until when an upstream is used whose removal was received now.
    /// @param outages the last ones, in any order
    [[nodiscard]] mono_time end_of_use(
        mono_time now, const std::vector<store_outage>& outages) const;
    /// Returns whether an entry that was received as removed may have lapsed,
    /// so that its upstream may be running and is listed again soon.
    [[nodiscard]] bool may_have_lapsed(
        mono_time now, const std::vector<store_outage>& outages) const;
    /// Returns the longest time from the confirmation of a removal to the
    /// receipt of the last request.
    [[nodiscard]] duration longest_path() const;

private:
    /// Returns when entries that lapsed are listed again, or this process has
    /// to be in step, whichever is earlier; the epoch if none can have lapsed.
    [[nodiscard]] mono_time end_of_lapses(
        const std::vector<store_outage>& outages) const;

    removal_grace_options options_;
    /// Use after the receipt of a confirmed removal.
    duration confirmed_grace_;
};

} // namespace wagtailseam::serving

#endif
