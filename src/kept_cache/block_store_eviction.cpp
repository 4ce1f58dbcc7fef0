// The block store's choice of blocks to evict and to move to disk.
#include "kept_cache/block_store.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <limits>

namespace wagtailseam::kept_cache
{

bool block_store::has_children(slot at) const
{
    const auto& children = entries_[at].children;
    return std::any_of(
        children.begin(), children.end(), [](auto n) { return n > 0; });
}

bool block_store::is_candidate(slot at) const
{
    const entry& held = entries_[at];
    return held.state == block_state::committed && held.pins == 0 &&
           !held.demoting &&
           held.children[static_cast<std::size_t>(held.at)] == 0;
}

void block_store::update_candidate(slot at)
{
    entry& held = entries_[at];
    for (std::size_t in = 0; in < tier_count; ++in)
    {
        std::vector<slot>& list = candidates_[in];
        const bool listed =
            held.position < list.size() && list[held.position] == at;
        const bool wanted =
            is_candidate(at) && static_cast<std::size_t>(held.at) == in;
        if (listed && !wanted)
        {
            list[held.position] = list.back();
            entries_[list.back()].position = held.position;
            list.pop_back();
            held.position = no_slot;
        }
    }
    if (is_candidate(at) && held.position == no_slot)
    {
        std::vector<slot>& list =
            candidates_[static_cast<std::size_t>(held.at)];
        held.position = static_cast<std::uint32_t>(list.size());
        list.push_back(at);
    }
}

reuse_history block_store::history_of(slot at) const
{
    const entry& held = entries_[at];
    return {.group = held.scope.value(), .uses = held.uses};
}

double block_store::value_of(slot at) const
{
    const entry& held = entries_[at];
    if (options_.policy == eviction_policy::least_recently_used)
    {
        return static_cast<double>(held.last_used.time_since_epoch().count());
    }
    // A block whose earlier pieces are gone cannot be used.
    if (held.parent != no_slot && !parent_holds(at))
    {
        return 0.0;
    }
    const double returns =
        returns_.returns_per_second(history_of(at), now_ - held.last_used);
    const double bytes =
        static_cast<double>(std::max<std::uint64_t>(held.length.value(), 1));
    return returns * static_cast<double>(held.recompute_us) / bytes;
}

block_store::slot block_store::least_valuable(tier in, bool leaf_only)
{
    const std::vector<slot>& list = candidates_[static_cast<std::size_t>(in)];
    slot best = no_slot;
    double lowest = std::numeric_limits<double>::infinity();
    const bool all = list.size() <= options_.eviction_sample;
    const std::size_t looks = all ? list.size() : options_.eviction_sample;
    for (std::size_t i = 0; i < looks; ++i)
    {
        const slot at = list[all ? i : random_.below(list.size())];
        const double value = value_of(at);
        if (value < lowest && !(leaf_only && has_children(at)))
        {
            best = at;
            lowest = value;
        }
    }
    return best;
}

bool block_store::make_room(tier in, byte_count length)
{
    const bool memory = in == tier::memory;
    const byte_count& used = memory ? memory_used_ : disk_used_;
    const byte_count capacity =
        memory ? options_.memory_capacity : options_.disk_capacity;
    if (length > capacity)
    {
        return false;
    }
    while (used > capacity - length || index_.size() >= options_.max_blocks)
    {
        // A full index is relieved on disk, where blocks are worth least.
        slot victim = used > capacity - length
                          ? no_slot
                          : least_valuable(tier::disk, true);
        if (victim == no_slot)
        {
            victim = least_valuable(in, true);
        }
        if (victim == no_slot)
        {
            victim = least_valuable(in, false);
        }
        if (victim == no_slot)
        {
            return false;
        }
        evict(victim);
    }
    return true;
}

bool block_store::make_disk_room(byte_count length, double value)
{
    while (disk_used_ > options_.disk_capacity - length)
    {
        const slot victim = least_valuable(tier::disk, true);
        if (victim == no_slot || value_of(victim) >= value)
        {
            return false;
        }
        evict(victim);
    }
    return true;
}

void block_store::evict(slot at)
{
    const entry& held = entries_[at];
    BOOST_ASSERT(is_candidate(at));
    returns_.note_eviction(history_of(at), now_ - held.last_used);
    ++counts_.evicted;
    free_slot(at);
}

void block_store::demote_over_threshold()
{
    const double threshold =
        options_.demotion_threshold *
        static_cast<double>(options_.memory_capacity.value());
    byte_count leaving{0};
    for (const auto& [number, under_way] : demotions_)
    {
        leaving += under_way.length;
    }
    while (demotions_.size() < options_.max_demotions &&
           now_ >= disk_rests_until_ &&
           static_cast<double>(memory_used_.value()) -
                   static_cast<double>(leaving.value()) >
               threshold)
    {
        if (!demote_one())
        {
            return;
        }
        leaving += demotions_.rbegin()->second.length;
    }
}

bool block_store::demote_one()
{
    const slot at = least_valuable(tier::memory, false);
    if (at == no_slot || entries_[at].length > options_.disk_capacity)
    {
        return false;
    }
    entry& held = entries_[at];
    held.demoting = true;
    update_candidate(at);
    if (!make_disk_room(held.length, value_of(at)))
    {
        held.demoting = false;
        update_candidate(at);
        return false;
    }
    disk_used_ += held.length;
    const demotion_id number{++last_demotion_};
    demotions_.emplace(number, demotion{ref_of(at), held.length});
    out_.emplace_back(demote{number, ref_of(at), held.length});
    return true;
}

} // namespace wagtailseam::kept_cache
