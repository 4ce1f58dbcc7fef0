// Follows cache events by their numbers and resynchronises by snapshots.
#include "kept_cache/inventory.hpp"

#include "core/overloaded.hpp"

#include <algorithm>

namespace wagtailseam::kept_cache
{

std::vector<inventory_command> inventory::handle(
    const inventory_event& what, mono_time now)
{
    now_ = now;
    const bool wants_snapshot =
        std::visit([this](const auto& event) { return on(event); }, what);
    const duration wait =
        asked_ ? options_.snapshot_timeout : options_.snapshot_interval;
    const bool never_asked = asked_at_ == mono_time{};
    if (!wants_snapshot || (!never_asked && now < asked_at_ + wait))
    {
        return {};
    }
    asked_ = true;
    asked_at_ = now;
    return {ask_snapshot{}};
}

std::size_t inventory::believed_pieces(const prefix_chain& chain) const noexcept
{
    const auto missing = std::find_if_not(
        chain.begin(), chain.end(),
        [this](const block_id& id) { return held_.contains(id); });
    return static_cast<std::size_t>(missing - chain.begin());
}

bool inventory::on(const cache_event& what)
{
    const std::uint64_t number = what.number.value();
    if (what.engine != engine_)
    {
        // Another life. Which of the two is the later one, the snapshot tells.
        latest_seen_ = 0;
        lose_step();
        return true;
    }
    if (!in_step_)
    {
        latest_seen_ = std::max(latest_seen_, number);
        return true;
    }
    if (number <= reflected_)
    {
        ++counts_.ignored;
        return false;
    }
    if (number != reflected_ + 1)
    {
        ++counts_.gaps;
        latest_seen_ = number;
        lose_step();
        return true;
    }
    apply(what);
    return false;
}

bool inventory::on(const cache_snapshot& what)
{
    asked_ = false;
    const bool same_life = what.engine == engine_;
    if (same_life && what.number.value() < std::max(latest_seen_, reflected_))
    {
        // Older than what is known: events after it are lost.
        ++counts_.ignored;
        return !in_step_;
    }
    engine_ = what.engine;
    reflected_ = what.number.value();
    latest_seen_ = reflected_;
    in_step_ = true;
    ++counts_.snapshots;
    held_.clear();
    add(what.ids);
    return false;
}

bool inventory::on(const snapshot_failed& /*what*/)
{
    asked_ = false;
    return !in_step_;
}

bool inventory::on(const inventory_tick& /*what*/)
{
    return !in_step_;
}

void inventory::apply(const cache_event& what)
{
    ++counts_.applied;
    reflected_ = what.number.value();
    latest_seen_ = reflected_;
    std::visit(
        overloaded{
            [this](const blocks_cached& change) { add(change.ids); },
            [this](const blocks_evicted& change)
            {
                for (const block_id& id : change.ids)
                {
                    held_.erase(id);
                }
            },
            [this](const cache_cleared& /*change*/) { held_.clear(); }},
        what.change);
}

void inventory::add(const std::vector<block_id>& ids)
{
    for (const block_id& id : ids)
    {
        if (held_.size() >= options_.max_blocks)
        {
            ++counts_.left_out;
            continue;
        }
        held_.insert(id);
    }
}

void inventory::lose_step()
{
    in_step_ = false;
    held_.clear();
}

} // namespace wagtailseam::kept_cache
