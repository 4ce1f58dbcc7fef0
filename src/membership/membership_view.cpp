// The youngest word wins; draining holds for the life that said it.
#include "membership/membership_view.hpp"

namespace wagtailseam::membership
{

void view_core::handle(const view_event& event, mono_time now)
{
    std::visit([&](const auto& kind) { on(kind, now); }, event);
}

void view_core::on(const word_heard& event, mono_time now)
{
    entry& known = entries_[event.word.upstream];
    const mono_time said_at = now - event.age;
    const bool same_life = known.heard && known.word.life == event.word.life;
    if (same_life)
    {
        // An older word of this life may still be the one that drains.
        known.word.draining = known.word.draining || event.word.draining;
    }
    if (known.heard && said_at <= known.said_at)
    {
        return;
    }
    const bool draining =
        event.word.draining || (same_life && known.word.draining);
    known.word = event.word;
    known.word.draining = draining;
    known.said_at = said_at;
    known.heard = true;
}

void view_core::on(const vm_listed& event, mono_time /*now*/)
{
    entry& known = entries_[event.upstream];
    const bool same_vm = known.vm == event.vm;
    // The list lags: a VM that was leaving does not come back.
    known.listed_leaving = event.leaving || (same_vm && known.listed_leaving);
    known.vm = event.vm;
}

void view_core::on(const upstream_removed& event, mono_time /*now*/)
{
    entries_.erase(event.upstream);
}

standing view_core::standing_of(
    const upstream_id& upstream, mono_time now) const
{
    const auto found = entries_.find(upstream);
    if (found == entries_.end())
    {
        return standing::unknown;
    }
    const entry& known = found->second;
    if (known.listed_leaving || (known.heard && known.word.draining))
    {
        return standing::leaving;
    }
    if (!known.heard)
    {
        return standing::unknown;
    }
    const duration silence =
        options_.heartbeat_interval * options_.silent_heartbeats;
    return now - known.said_at > silence ? standing::suspected
                                         : standing::serving;
}

incarnation view_core::life_of(const upstream_id& upstream) const
{
    const auto found = entries_.find(upstream);
    return found == entries_.end() ? incarnation{} : found->second.word.life;
}

} // namespace wagtailseam::membership
