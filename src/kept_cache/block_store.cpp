// The block store's rules for writing, opening, reading and freeing blocks.
#include "kept_cache/block_store.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cstring>
#include <string>

namespace wagtailseam::kept_cache
{
namespace
{

std::uint32_t saturated_microseconds(duration time)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(time.count(), 0, UINT32_MAX));
}

} // namespace

scope_tag scope_tag_of(const digest& root)
{
    const digest hidden =
        sha256(std::string("wagtailseam scope tag 1") += root.view());
    std::uint64_t word = 0;
    std::memcpy(&word, hidden.bytes.data(), sizeof word);
    return scope_tag{word};
}

std::size_t block_store::slot_hash::operator()(slot at) const noexcept
{
    return (*this)((*entries)[at].id);
}

std::size_t block_store::slot_hash::operator()(
    const block_id& id) const noexcept
{
    return std::hash<digest>{}(id);
}

bool block_store::slot_equal::operator()(
    slot a, const block_id& id) const noexcept
{
    return (*entries)[a].id == id;
}

bool block_store::slot_equal::operator()(
    const block_id& id, slot a) const noexcept
{
    return (*entries)[a].id == id;
}

block_store::block_store(
    block_store_options options, incarnation life, random_source random)
    : options_(options), life_(life), random_(random),
      index_(0, slot_hash{&entries_}, slot_equal{&entries_})
{
    BOOST_ASSERT(options_.max_blocks < no_slot);
    BOOST_ASSERT(options_.eviction_sample > 0);
}

std::vector<store_command> block_store::handle(
    const store_event& what, mono_time now)
{
    now_ = now;
    out_.clear();
    expire();
    std::visit([this](const auto& event) { on(event); }, what);
    demote_over_threshold();
    BOOST_ASSERT(memory_used_ <= options_.memory_capacity);
    BOOST_ASSERT(disk_used_ <= options_.disk_capacity);
    return std::move(out_);
}

std::size_t block_store::held_pieces(
    scope_tag scope, const prefix_chain& chain) const
{
    std::size_t held = 0;
    for (const block_id& id : chain)
    {
        const slot at = find(id);
        if (at == no_slot || entries_[at].scope != scope ||
            entries_[at].state != block_state::committed)
        {
            break;
        }
        ++held;
    }
    return held;
}

void block_store::on(const begin_write& asked)
{
    if (const slot at = find(asked.id); at != no_slot)
    {
        const entry& held = entries_[at];
        const bool ready =
            held.state == block_state::committed && held.scope == asked.scope;
        if (ready)
        {
            out_.emplace_back(write_committed{asked.call, ref_of(at)});
            return;
        }
        refuse(asked.call, result_code::upstream_busy);
        return;
    }
    slot parent = no_slot;
    if (asked.parent != block_id{})
    {
        parent = find(asked.parent);
        if (parent == no_slot || entries_[parent].scope != asked.scope)
        {
            refuse(asked.call, result_code::block_not_committed);
            return;
        }
        // Holds the parent while room is made for its child.
        ++entries_[parent].pins;
        update_candidate(parent);
    }
    const bool fits = make_room(tier::memory, asked.length);
    if (parent != no_slot)
    {
        --entries_[parent].pins;
        update_candidate(parent);
    }
    if (!fits)
    {
        ++counts_.write_refused_full;
        refuse(asked.call, result_code::store_full);
        return;
    }
    accept(asked, parent);
}

void block_store::accept(const begin_write& asked, slot parent)
{
    if (free_slots_.empty())
    {
        free_slots_.push_back(static_cast<slot>(entries_.size()));
        entries_.emplace_back();
    }
    const slot at = free_slots_.back();
    free_slots_.pop_back();
    entries_[at] = entry{
        .id = asked.id,
        .content = asked.content,
        .generation = block_generation{++last_generation_},
        .scope = asked.scope,
        .length = asked.length,
        .last_used = now_,
        .recompute_us = saturated_microseconds(asked.recompute_cost),
        .state = block_state::pending};
    link(at, parent);
    index_.insert(at);
    pending_.emplace(now_, at);
    memory_used_ += asked.length;
    out_.emplace_back(write_accepted{asked.call, ref_of(at), asked.length});
}

void block_store::on(const finish_write& done)
{
    const slot at = find(done.ref);
    if (at == no_slot || entries_[at].state != block_state::pending)
    {
        refuse(done.call, result_code::block_freed);
        return;
    }
    entry& held = entries_[at];
    if (done.length != held.length || done.content != held.content)
    {
        ++counts_.write_digest_mismatch;
        free_slot(at);
        refuse(done.call, result_code::block_digest_mismatch);
        return;
    }
    pending_.erase({held.last_used, at});
    held.state = block_state::committed;
    held.last_used = now_;
    ++counts_.committed;
    update_candidate(at);
    out_.emplace_back(write_committed{done.call, done.ref});
}

void block_store::on(const abort_write& gone)
{
    const slot at = find(gone.ref);
    if (at != no_slot && entries_[at].state == block_state::pending)
    {
        free_slot(at);
    }
}

void block_store::on(const open_block& asked)
{
    const slot at = find(asked.id);
    if (at == no_slot || entries_[at].scope != asked.scope ||
        entries_[at].state != block_state::committed)
    {
        ++counts_.opened_missing;
        refuse(asked.call, result_code::block_not_committed);
        return;
    }
    if (pins_.size() >= options_.max_pins)
    {
        refuse(asked.call, result_code::upstream_busy);
        return;
    }
    entry& held = entries_[at];
    returns_.note_return(history_of(at), now_ - held.last_used);
    held.last_used = now_;
    ++held.uses;
    ++held.pins;
    update_candidate(at);
    const mono_time expires = now_ + options_.pin_lifetime;
    pins_.emplace(++last_pin_, pin{at, held.generation, expires});
    pin_expiry_.emplace(expires, last_pin_);
    ++counts_.opened;
    out_.emplace_back(block_opened{
        asked.call, ref_of(at), pin_id{last_pin_}, held.length, held.content});
}

result_code block_store::check_read(pin_id pinned, const block_ref& ref) const
{
    const auto held = pins_.find(pinned.value());
    if (held == pins_.end())
    {
        return result_code::pin_expired;
    }
    if (held->second.generation != ref.generation)
    {
        return result_code::block_generation_mismatch;
    }
    const slot at = find(ref);
    if (at == no_slot || entries_[at].state != block_state::committed)
    {
        return result_code::block_freed;
    }
    return result_code::ok;
}

void block_store::on(const read_chunk& asked)
{
    const result_code code = check_read(asked.pin, asked.ref);
    if (code != result_code::ok)
    {
        refuse_read(asked.call, code);
        return;
    }
    const entry& held = entries_[find(asked.ref)];
    if (asked.offset > held.length || asked.length > held.length - asked.offset)
    {
        refuse(asked.call, result_code::out_of_range);
        return;
    }
    pin& reader = pins_.at(asked.pin.value());
    pin_expiry_.erase({reader.expires, asked.pin.value()});
    reader.expires = now_ + options_.pin_lifetime;
    pin_expiry_.emplace(reader.expires, asked.pin.value());
    out_.emplace_back(chunk_allowed{
        asked.call, asked.pin, asked.ref, held.at, asked.offset, asked.length});
}

void block_store::on(const chunk_read& done)
{
    const result_code code = check_read(done.pin, done.ref);
    if (code != result_code::ok)
    {
        refuse_read(done.call, code);
        return;
    }
    if (!done.succeeded)
    {
        ++counts_.disk_read_failed;
        free_slot(find(done.ref));
        refuse(done.call, result_code::block_freed);
        return;
    }
    out_.emplace_back(chunk_ready{done.call});
}

void block_store::on(const release_pin& done)
{
    drop_pin(done.pin.value());
}

void block_store::on(const demotion_ended& done)
{
    const auto reserved = demotions_.find(done.number);
    if (reserved == demotions_.end() || reserved->second.ref != done.ref)
    {
        return;
    }
    const byte_count length = reserved->second.length;
    demotions_.erase(reserved);
    if (!done.succeeded)
    {
        ++counts_.disk_write_failed;
        disk_rests_until_ = now_ + options_.disk_rest;
    }
    const slot at = find(done.ref);
    if (at != no_slot)
    {
        entries_[at].demoting = false;
    }
    // A block pinned meanwhile stays: its reader may be copying from memory.
    if (at != no_slot && done.succeeded && entries_[at].pins == 0)
    {
        move_to_disk(at);
        return;
    }
    disk_used_ -= length;
    out_.emplace_back(release_bytes{done.ref, tier::disk});
    if (at != no_slot)
    {
        update_candidate(at);
    }
}

void block_store::move_to_disk(slot at)
{
    entry& held = entries_[at];
    const slot parent = parent_holds(at) ? held.parent : no_slot;
    unlink(at);
    held.at = tier::disk;
    link(at, parent);
    update_candidate(at);
    memory_used_ -= held.length;
    ++counts_.demoted;
    out_.emplace_back(release_bytes{ref_of(at), tier::memory});
}

void block_store::on(const free_block& asked)
{
    if (const slot at = find(asked.id); at != no_slot)
    {
        free_slot(at);
    }
}

void block_store::on(const free_scope& asked)
{
    for (slot at = 0; at < entries_.size(); ++at)
    {
        const entry& held = entries_[at];
        if (held.state != block_state::freed && held.scope == asked.scope)
        {
            free_slot(at);
        }
    }
}

void block_store::on(const store_tick& /*tick*/)
{
    // handle() lets pins and writes expire at each event.
}

block_store::slot block_store::find(const block_id& id) const
{
    const auto found = index_.find(id);
    return found == index_.end() ? no_slot : *found;
}

block_store::slot block_store::find(const block_ref& ref) const
{
    const slot at = ref.store == life_ ? find(ref.id) : no_slot;
    const bool same =
        at != no_slot && entries_[at].generation == ref.generation;
    return same ? at : no_slot;
}

block_ref block_store::ref_of(slot at) const
{
    return {life_, entries_[at].id, entries_[at].generation};
}

void block_store::refuse(call_id call, result_code code)
{
    out_.emplace_back(call_refused{call, code});
}

void block_store::refuse_read(call_id call, result_code code)
{
    ++(code == result_code::pin_expired ? counts_.pin_expired
                                        : counts_.read_of_freed);
    refuse(call, code);
}

bool block_store::parent_holds(slot at) const
{
    const entry& child = entries_[at];
    return child.parent != no_slot &&
           entries_[child.parent].generation == child.parent_generation &&
           entries_[child.parent].state != block_state::freed;
}

void block_store::link(slot at, slot parent)
{
    entry& child = entries_[at];
    child.parent = parent;
    if (parent == no_slot)
    {
        return;
    }
    child.parent_generation = entries_[parent].generation;
    ++entries_[parent].children[static_cast<std::size_t>(child.at)];
    update_candidate(parent);
}

void block_store::unlink(slot at)
{
    const entry& child = entries_[at];
    if (parent_holds(at))
    {
        --entries_[child.parent].children[static_cast<std::size_t>(child.at)];
        update_candidate(child.parent);
    }
}

void block_store::free_slot(slot at)
{
    entry& held = entries_[at];
    unlink(at);
    index_.erase(at);
    if (held.state == block_state::pending)
    {
        pending_.erase({held.last_used, at});
    }
    // The room on disk of a demotion under way is given back when it ends.
    (held.at == tier::memory ? memory_used_ : disk_used_) -= held.length;
    out_.emplace_back(release_bytes{ref_of(at), held.at});
    held.state = block_state::freed;
    held.generation = block_generation{++last_generation_};
    held.pins = 0;
    update_candidate(at);
    free_slots_.push_back(at);
}

void block_store::drop_pin(std::uint64_t number)
{
    const auto found = pins_.find(number);
    if (found == pins_.end())
    {
        return;
    }
    const pin held = found->second;
    pin_expiry_.erase({held.expires, number});
    pins_.erase(found);
    if (entries_[held.at].generation == held.generation)
    {
        BOOST_ASSERT(entries_[held.at].pins > 0);
        --entries_[held.at].pins;
        update_candidate(held.at);
    }
}

void block_store::expire()
{
    while (!pin_expiry_.empty() && pin_expiry_.begin()->first <= now_)
    {
        drop_pin(pin_expiry_.begin()->second);
    }
    while (!pending_.empty() &&
           pending_.begin()->first + options_.write_lifetime <= now_)
    {
        ++counts_.write_expired;
        free_slot(pending_.begin()->second);
    }
}

} // namespace wagtailseam::kept_cache
