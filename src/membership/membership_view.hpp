// The status of the upstreams as one process sees it: from the sidecars'
// heartbeats, which processes relay within a cell, and from the platform's VM
// list, which may be stale. Performs no I/O.
#ifndef WAGTAILSEAM_MEMBERSHIP_MEMBERSHIP_VIEW_HPP
#define WAGTAILSEAM_MEMBERSHIP_MEMBERSHIP_VIEW_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <variant>

namespace wagtailseam::membership
{

/// What a sidecar reports about its upstream.
struct heartbeat
{
    upstream_id upstream;
    incarnation sender_incarnation;
    bool draining = false;

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/// A heartbeat arrived, from its sidecar (age 0) or relayed by another process.
struct heartbeat_received
{
    heartbeat received;
    /// Time since the sidecar sent it. Each relaying process adds the time that
    /// it held the heartbeat by its own clock, so clocks are not compared.
    duration age{};
};

/// The platform's VM list, which may be stale, contains the upstream's VM.
struct vm_listed
{
    upstream_id upstream;
    vm_id vm;
    bool leaving = false;
};

/// The configuration no longer contains the upstream.
struct upstream_removed
{
    upstream_id upstream;
};

using membership_event =
    std::variant<heartbeat_received, vm_listed, upstream_removed>;

enum class upstream_status : std::uint8_t
{
    /// No heartbeat was received.
    unknown,
    serving,
    /// Silent for too long: receives no new work. Attempts under way continue;
    /// this status alone does not end them.
    suspected,
    /// The upstream or the platform reported that it leaves: receives no new
    /// work.
    leaving,
};

struct membership_view_options
{
    duration heartbeat_interval = std::chrono::milliseconds(500);
    /// An upstream that is silent for more than this many intervals is
    /// suspected.
    std::uint32_t silent_heartbeats = 4;
};

/// The view of one process. Views may differ between processes without harm: a
/// view only selects where to send work, and the sidecar protects each request
/// by checking its own incarnation and draining state.
class membership_view
{
public:
    explicit membership_view(membership_view_options options)
        : options_(options)
    {
    }

    /// Processes an event. Complexity: logarithmic in the upstreams.
    void handle(const membership_event& event, mono_time now);

    [[nodiscard]] upstream_status status_of(
        const upstream_id& upstream, mono_time now) const;

    /// Returns the incarnation that sent the newest heartbeat; incarnation{}
    /// if there is none.
    [[nodiscard]] incarnation incarnation_of(const upstream_id& upstream) const;

    /// Returns whether new work may be sent to the upstream.
    [[nodiscard]] bool accepts_new_work(
        const upstream_id& upstream, mono_time now) const
    {
        return status_of(upstream, now) == upstream_status::serving;
    }

private:
    struct entry
    {
        /// The newest heartbeat. Once an incarnation drains, it stays draining.
        heartbeat newest;
        mono_time sent_at{};
        bool has_heartbeat = false;
        vm_id vm;
        bool listed_as_leaving = false;
    };

    void on(const heartbeat_received& event, mono_time now);
    void on(const vm_listed& event, mono_time now);
    void on(const upstream_removed& event, mono_time now);

    membership_view_options options_;
    /// At most the configured upstreams; removed ones are erased.
    std::map<upstream_id, entry> entries_;
};

} // namespace wagtailseam::membership

#endif
