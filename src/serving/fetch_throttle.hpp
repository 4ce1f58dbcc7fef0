// Whether fetching from a cache store still pays: seen in the first bytes of
// the prompts that fetched from it. A store whose link is slowed or full makes
// prompts later than reading them would.
#ifndef WAGTAILSEAM_SERVING_FETCH_THROTTLE_HPP
#define WAGTAILSEAM_SERVING_FETCH_THROTTLE_HPP

#include "core/clock.hpp"
#include "http/message.hpp"

#include <map>
#include <optional>

namespace wagtailseam::serving
{

struct fetch_throttle_options
{
    /// A first byte that comes later than expected by this part of the latency
    /// target is late: reading a long prompt takes about as much.
    double late_part_of_target = 0.25;
    /// Weight of one prompt in the share of late ones.
    double weight = 0.2;
    /// Time in which half of the share of late ones is forgiven, so that a
    /// store is tried again.
    duration forgiveness = std::chrono::seconds(2);
    /// Late prompts that are usual; below this share all fetch.
    double usual_share = 0.25;
};

/// Not thread-safe. Memory: one entry for each store that prompts fetched from.
class fetch_throttle
{
public:
    explicit fetch_throttle(const fetch_throttle_options& options = {});

    /// Notes a prompt's first byte.
    /// @param fetched_from nothing for a prompt that fetched nothing: its
    /// lateness has other causes, which then count for all
    /// @param beyond_expected negative when it came early
    void record_first_byte(
        const std::optional<http::address>& fetched_from,
        duration beyond_expected, duration latency_target, mono_time now);

    /// Returns whether the next prompt may fetch from a store. Of those that
    /// ask, the share of late ones beyond the usual is told no.
    [[nodiscard]] bool admit_fetch(const http::address& store, mono_time now);

    /// Returns the share of late prompts among those that fetched from a
    /// store, beyond that of others. @invariant within [0, 1]
    [[nodiscard]] double excess_late_share(
        const http::address& store, mono_time now) const;

private:
    struct experience
    {
        /// At `updated`; decays from then on. Within [0, 1].
        double late = 0;
        mono_time updated;
        /// Refusals that are owed; one is given when it reaches 1.
        double owed = 0;
    };

    [[nodiscard]] double late_now(const experience& of, mono_time now) const;

    fetch_throttle_options options_;
    std::map<http::address, experience> stores_;
    /// Of prompts that fetched nothing.
    experience others_;
};

} // namespace wagtailseam::serving

#endif
