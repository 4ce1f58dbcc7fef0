// Implements the membership view. The newest heartbeat determines the status;
// a draining flag holds for the incarnation that sent it.
#include "membership/membership_view.hpp"

namespace wagtailseam::membership
{

void membership_view::handle(const membership_event& event, mono_time now)
{
    std::visit(
        [&](const auto& concrete_event) { on(concrete_event, now); }, event);
}

void membership_view::on(const heartbeat_received& event, mono_time now)
{
    entry& known = entries_[event.received.upstream];
    const mono_time sent_at = now - event.age;
    const bool same_incarnation =
        known.has_heartbeat &&
        known.newest.sender_incarnation == event.received.sender_incarnation;
    if (same_incarnation)
    {
        // Heartbeats may arrive out of order, so an older one of this
        // incarnation may be the first that reports draining.
        known.newest.draining =
            known.newest.draining || event.received.draining;
    }
    if (known.has_heartbeat && sent_at <= known.sent_at)
    {
        return;
    }
    const bool draining =
        event.received.draining || (same_incarnation && known.newest.draining);
    known.newest = event.received;
    known.newest.draining = draining;
    known.sent_at = sent_at;
    known.has_heartbeat = true;
}

void membership_view::on(const vm_listed& event, mono_time /*now*/)
{
    entry& known = entries_[event.upstream];
    const bool same_vm = known.vm == event.vm;
    // The list may be stale: a VM once listed as leaving stays leaving.
    known.listed_as_leaving =
        event.leaving || (same_vm && known.listed_as_leaving);
    known.vm = event.vm;
}

void membership_view::on(const upstream_removed& event, mono_time /*now*/)
{
    entries_.erase(event.upstream);
}

upstream_status membership_view::status_of(
    const upstream_id& upstream, mono_time now) const
{
    const auto found = entries_.find(upstream);
    if (found == entries_.end())
    {
        return upstream_status::unknown;
    }
    const entry& known = found->second;
    if (known.listed_as_leaving ||
        (known.has_heartbeat && known.newest.draining))
    {
        return upstream_status::leaving;
    }
    if (!known.has_heartbeat)
    {
        return upstream_status::unknown;
    }
    const duration heartbeat_timeout =
        options_.heartbeat_interval * options_.silent_heartbeats;
    return now - known.sent_at > heartbeat_timeout ? upstream_status::suspected
                                                   : upstream_status::serving;
}

incarnation membership_view::incarnation_of(const upstream_id& upstream) const
{
    const auto found = entries_.find(upstream);
    return found == entries_.end() ? incarnation{}
                                   : found->second.newest.sender_incarnation;
}

} // namespace wagtailseam::membership
