// Push and pull of rows.
#include "cell_gossip/gossip_protocol.hpp"

#include <utility>

namespace wagtailseam::cell_gossip
{

gossip_core::gossip_core(const gossip_options& options, random_source& random)
    : options_(options), random_(&random), table_(options.table),
      identity_{.life = options.life, .state = {}, .version = {}},
      age_{options.epoch, 0}
{
}

std::vector<gossip_command> gossip_core::handle(
    const gossip_event& event, mono_time now)
{
    std::visit([this, now](const auto& known) { on(known, now); }, event);
    return std::exchange(commands_, {});
}

void gossip_core::on(const members_configured& event, mono_time now)
{
    members_ = event.members;
    interval_ = event.interval;
    table_.set_suspect_after(event.suspect_after);
    std::erase(members_, options_.self);
    speak(now);
    commands_.emplace_back(wait_interval{now + interval_});
}

void gossip_core::on(const self_changed& event, mono_time now)
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

void gossip_core::on(const interval_over&, mono_time now)
{
    speak(now);
    table_.forget_silent(now);
    begin(now);
    // Jitter keeps members from speaking in step.
    const auto jitter = static_cast<duration::rep>(
        (random_->unit() - 0.5) * 0.2 * static_cast<double>(interval_.count()));
    commands_.emplace_back(wait_interval{now + interval_ + duration(jitter)});
}

void gossip_core::on(const exchange_asked& event, mono_time now)
{
    merge(event.rows, now);
    std::vector<member_row> rows = table_.live_rows(now);
    append_contradictions(event.rows, rows, now);
    commands_.emplace_back(answer_exchange{std::move(rows)});
}

void gossip_core::append_contradictions(
    const std::vector<member_row>& asked, std::vector<member_row>& rows,
    mono_time now) const
{
    for (const member_row& row : asked)
    {
        const member_row* const ours = table_.find(row.member);
        const bool contradicts =
            ours != nullptr && ours->identity.life != row.identity.life;
        if (contradicts && !table_.is_live(row.member, now))
        {
            rows.push_back(*ours);
        }
    }
}

void gossip_core::on(const exchange_answered& event, mono_time now)
{
    merge(event.rows, now);
}

void gossip_core::merge(const std::vector<member_row>& rows, mono_time now)
{
    for (const member_row& row : rows)
    {
        if (row.member != options_.self)
        {
            table_.merge(row, now);
            continue;
        }
        // Others remember an earlier life as newer: speak above it.
        if (row.identity.life != options_.life && row.age >= age_)
        {
            age_ = {row.age.epoch + 1, 0};
            speak(now);
        }
    }
}

void gossip_core::speak(mono_time now)
{
    ++age_.beat;
    table_.merge(
        {.member = options_.self,
         .age = age_,
         .identity = identity_,
         .load = load_,
         .clock_us = now.time_since_epoch().count()},
        now);
}

void gossip_core::begin(mono_time now)
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
