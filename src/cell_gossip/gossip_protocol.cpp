// Push-pull gossip of membership rows.
#include "cell_gossip/gossip_protocol.hpp"

#include <utility>

namespace wagtailseam::cell_gossip
{

gossip_protocol::gossip_protocol(
    const gossip_options& options, random_source& random)
    : options_(options), random_(&random), table_(options.table),
      identity_{
          .process_incarnation = options.process_incarnation,
          .state = {},
          .running_version = {}},
      version_{options.epoch, 0}
{
}

std::vector<gossip_command> gossip_protocol::handle(
    const gossip_event& event, mono_time now)
{
    std::visit(
        [this, now](const auto& alternative) { on(alternative, now); }, event);
    return std::exchange(commands_, {});
}

void gossip_protocol::on(const members_configured& event, mono_time now)
{
    members_ = event.members;
    interval_ = event.interval;
    table_.set_suspect_after(event.suspect_after);
    std::erase(members_, options_.self);
    publish_own_row(now);
    commands_.emplace_back(set_gossip_timer{now + interval_});
}

void gossip_protocol::on(const local_state_changed& event, mono_time now)
{
    const bool identity_changed = !(event.identity == identity_);
    identity_ = event.identity;
    load_ = event.load;
    if (identity_changed)
    {
        publish_own_row(now);
        begin_random_exchange(now);
    }
}

void gossip_protocol::on(const gossip_timer_expired&, mono_time now)
{
    publish_own_row(now);
    table_.remove_expired(now);
    begin_random_exchange(now);
    // Jitter prevents members from synchronizing their exchanges.
    const auto jitter = static_cast<duration::rep>(
        (random_->unit() - 0.5) * 0.2 * static_cast<double>(interval_.count()));
    commands_.emplace_back(
        set_gossip_timer{now + interval_ + duration(jitter)});
}

void gossip_protocol::on(const exchange_received& event, mono_time now)
{
    merge(event.rows, now);
    std::vector<member_row> rows = table_.live_rows(now);
    append_conflicting_rows(event.rows, rows, now);
    commands_.emplace_back(reply_to_exchange{std::move(rows)});
}

void gossip_protocol::append_conflicting_rows(
    const std::vector<member_row>& received, std::vector<member_row>& rows,
    mono_time now) const
{
    for (const member_row& row : received)
    {
        const member_row* const stored = table_.find(row.member);
        const bool conflicts =
            stored != nullptr && stored->identity.process_incarnation !=
                                     row.identity.process_incarnation;
        if (conflicts && !table_.is_live(row.member, now))
        {
            rows.push_back(*stored);
        }
    }
}

void gossip_protocol::on(const exchange_reply_received& event, mono_time now)
{
    merge(event.rows, now);
}

void gossip_protocol::merge(const std::vector<member_row>& rows, mono_time now)
{
    for (const member_row& row : rows)
    {
        if (row.member != options_.self)
        {
            table_.merge(row, now);
            continue;
        }
        // Other members consider an earlier incarnation to be newer: choose a
        // higher epoch.
        if (row.identity.process_incarnation != options_.process_incarnation &&
            row.version >= version_)
        {
            version_ = {row.version.epoch + 1, 0};
            publish_own_row(now);
        }
    }
}

void gossip_protocol::publish_own_row(mono_time now)
{
    ++version_.heartbeat;
    table_.merge(
        {.member = options_.self,
         .version = version_,
         .identity = identity_,
         .load = load_,
         .clock_us = now.time_since_epoch().count()},
        now);
}

void gossip_protocol::begin_random_exchange(mono_time now)
{
    if (members_.empty())
    {
        return;
    }
    const auto index = random_->below(members_.size());
    commands_.emplace_back(
        begin_exchange{members_[index], table_.live_rows(now)});
}

} // namespace wagtailseam::cell_gossip
