// Push and pull of rows.
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
    std::visit([this, now](const auto& known) { on(known, now); }, event);
    return std::exchange(commands_, {});
}

void gossip_protocol::on(const members_configured& event, mono_time now)
{
    members_ = event.members;
    interval_ = event.interval;
    table_.set_suspect_after(event.suspect_after);
    std::erase(members_, options_.self);
    speak(now);
    commands_.emplace_back(set_gossip_timer{now + interval_});
}

void gossip_protocol::on(const local_state_changed& event, mono_time now)
{
    const bool news = !(event.identity == identity_);
    identity_ = event.identity;
    load_ = event.load;
    if (news)
    {
        speak(now);
        begin(now);
    }
}

void gossip_protocol::on(const gossip_timer_expired&, mono_time now)
{
    speak(now);
    table_.remove_expired(now);
    begin(now);
    // Jitter keeps members from speaking in step.
    const auto jitter = static_cast<duration::rep>(
        (random_->unit() - 0.5) * 0.2 * static_cast<double>(interval_.count()));
    commands_.emplace_back(
        set_gossip_timer{now + interval_ + duration(jitter)});
}

void gossip_protocol::on(const exchange_received& event, mono_time now)
{
    merge(event.rows, now);
    std::vector<member_row> rows = table_.live_rows(now);
    append_contradictions(event.rows, rows, now);
    commands_.emplace_back(reply_to_exchange{std::move(rows)});
}

void gossip_protocol::append_contradictions(
    const std::vector<member_row>& asked, std::vector<member_row>& rows,
    mono_time now) const
{
    for (const member_row& row : asked)
    {
        const member_row* const ours = table_.find(row.member);
        const bool contradicts =
            ours != nullptr && ours->identity.process_incarnation !=
                                   row.identity.process_incarnation;
        if (contradicts && !table_.is_live(row.member, now))
        {
            rows.push_back(*ours);
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
        // Others remember an earlier life as newer: speak above it.
        if (row.identity.process_incarnation != options_.process_incarnation &&
            row.version >= version_)
        {
            version_ = {row.version.epoch + 1, 0};
            speak(now);
        }
    }
}

void gossip_protocol::speak(mono_time now)
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

void gossip_protocol::begin(mono_time now)
{
    if (members_.empty())
    {
        return;
    }
    const auto drawn = random_->below(members_.size());
    commands_.emplace_back(
        begin_exchange{members_[drawn], table_.live_rows(now)});
}

} // namespace wagtailseam::cell_gossip
