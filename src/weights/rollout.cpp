// Slots in the table, pacing, and what to ask of which runner.
#include "weights/rollout.hpp"

#include <algorithm>
#include <charconv>

namespace wagtailseam::weights
{
namespace
{

table_service::row_key slot_key(std::size_t slot)
{
    return {slot_table, std::to_string(slot)};
}

} // namespace

std::string encode(const slot_row& row)
{
    return std::to_string(row.fencing.value()) + " " + row.runner.value();
}

std::optional<slot_row> decode_slot(const std::string& text)
{
    const std::size_t space = text.find(' ');
    if (space == std::string::npos)
    {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const char* const end = text.data() + space;
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return slot_row{
        fencing_number{number}, upstream_id{text.substr(space + 1)}};
}

std::vector<rollout_command> rollout::handle(
    const rollout_event& what, mono_time now)
{
    now_ = now;
    out_.clear();
    std::visit([this](const auto& event) { on(event); }, what);
    plan();
    return std::move(out_);
}

bool rollout::finished() const
{
    return std::all_of(
        runners_.begin(), runners_.end(),
        [](const auto& one)
        {
            const runner_state& runner = one.second;
            return !runner.target || runner.setup == runner.target->setup;
        });
}

void rollout::on(const lease_acquired& gained)
{
    stop();
    fencing_ = gained.fencing;
    // An earlier holder may have begun a load just now.
    for (const auto& [id, runner] : runners_)
    {
        pace(runner.target ? runner.target->size : byte_count{0});
    }
}

void rollout::on(const lease_lost& /*ended*/)
{
    stop();
}

void rollout::stop()
{
    fencing_.reset();
    slots_known_ = false;
    slots_ = {};
    read_at_.reset();
    for (auto& [id, runner] : runners_)
    {
        runner.setup.reset();
        runner.idle = false;
        runner.asked_at.reset();
    }
}

void rollout::on(const targets_changed& changed)
{
    for (auto& [id, runner] : runners_)
    {
        runner.target.reset();
    }
    for (const runner_target& target : changed.targets)
    {
        runners_[target.runner].target = target;
    }
    std::erase_if(
        runners_, [this](const auto& one)
        { return !one.second.target && !in_slot(one.first); });
}

void rollout::on(const runner_removed& left)
{
    runners_.erase(left.runner);
    for (std::size_t i = 0; i < load_slot_count; ++i)
    {
        const slot_state& slot = slots_[i];
        if (slot.owned && slot.write == 0 && slot.row.runner == left.runner)
        {
            write(i, {});
        }
    }
}

void rollout::on(const slots_read& read)
{
    if (!fencing_ || slots_known_)
    {
        return;
    }
    slots_ = {};
    for (const table_service::row& row : read.rows)
    {
        for (std::size_t i = 0; i < load_slot_count; ++i)
        {
            if (row.at == slot_key(i))
            {
                slots_[i].version = row.version;
                slots_[i].row = decode_slot(row.value).value_or(slot_row{});
            }
        }
    }
    const bool superseded = std::any_of(
        slots_.begin(), slots_.end(),
        [this](const slot_state& s) { return s.row.fencing > *fencing_; });
    if (superseded)
    {
        stop();
        return;
    }
    slots_known_ = true;
    for (const slot_state& slot : slots_)
    {
        if (!slot.row.runner.value().empty())
        {
            runners_.try_emplace(slot.row.runner);
        }
    }
}

void rollout::on(const slot_written& written)
{
    slot_state& slot = slots_[written.slot];
    if (!fencing_ || slot.write == 0 || slot.write != written.write)
    {
        return;
    }
    slot.write = 0;
    const auto* const done =
        std::get_if<table_service::committed>(&written.answer);
    if (done == nullptr)
    {
        // A conflict or a lost answer: what stands is read back.
        slots_known_ = false;
        return;
    }
    const bool starts = slot.owned && !slot.next.runner.value().empty();
    slot.row = slot.next;
    slot.version = done->versions.front();
    slot.owned = true;
    if (starts)
    {
        start_load(slot.row.runner);
    }
}

void rollout::on(const runner_answered& answered)
{
    if (!fencing_ || answered.number.fencing != *fencing_)
    {
        return;
    }
    if (answered.code == result_code::stale_fencing_number)
    {
        // A later holder has spoken to this runner.
        stop();
        return;
    }
    const auto found = runners_.find(answered.runner);
    if (found == runners_.end() ||
        answered.number.message < found->second.heard_from)
    {
        return;
    }
    runner_state& runner = found->second;
    runner.idle = answered.code == result_code::ok && !answered.loading;
    if (answered.life != incarnation{})
    {
        runner.life = answered.life;
    }
    if (answered.setup)
    {
        runner.setup = answered.setup;
    }
}

void rollout::on(const rollout_tick& /*tick*/)
{
    // plan() runs after each event.
}

void rollout::plan()
{
    if (!fencing_)
    {
        return;
    }
    if (slots_known_)
    {
        claim_and_free_slots();
        fill_slots();
        ask_runners();
        return;
    }
    if (!read_at_ || now_ >= *read_at_ + options_.read_interval)
    {
        read_at_ = now_;
        out_.emplace_back(read_slots{});
    }
}

void rollout::claim_and_free_slots()
{
    for (std::size_t i = 0; i < load_slot_count; ++i)
    {
        const slot_state& slot = slots_[i];
        if (slot.write != 0)
        {
            continue;
        }
        if (!slot.owned)
        {
            write(i, slot.row.runner);
            continue;
        }
        const auto found = runners_.find(slot.row.runner);
        if (found != runners_.end() && found->second.idle)
        {
            write(i, {});
        }
    }
}

void rollout::fill_slots()
{
    for (std::size_t i = 0; i < load_slot_count; ++i)
    {
        const slot_state& slot = slots_[i];
        const bool free =
            slot.owned && slot.write == 0 && slot.row.runner.value().empty();
        const runner_target* const next = next_runner();
        if (free && now_ >= next_load_ && next != nullptr)
        {
            pace(next->size);
            write(i, next->runner);
        }
    }
}

const runner_target* rollout::next_runner() const
{
    for (const auto& [id, runner] : runners_)
    {
        const bool behind = runner.target && runner.setup &&
                            *runner.setup != runner.target->setup;
        if (behind && runner.idle && !in_slot(id))
        {
            return &*runner.target;
        }
    }
    return nullptr;
}

bool rollout::in_slot(const upstream_id& runner) const
{
    return std::any_of(
        slots_.begin(), slots_.end(),
        [&](const slot_state& slot)
        {
            return slot.row.runner == runner ||
                   (slot.write != 0 && slot.next.runner == runner);
        });
}

void rollout::ask_runners()
{
    for (auto& [id, runner] : runners_)
    {
        const bool settled = runner.idle && runner.target &&
                             runner.setup == runner.target->setup;
        const bool due = !runner.asked_at ||
                         now_ >= *runner.asked_at + options_.ask_interval;
        if (due && !settled)
        {
            runner.asked_at = now_;
            out_.emplace_back(query_runner{id, {*fencing_, ++last_message_}});
        }
    }
}

void rollout::write(std::size_t slot, const upstream_id& runner)
{
    slot_state& state = slots_[slot];
    state.write = ++last_write_;
    state.next = {*fencing_, runner};
    table_service::row_write change{
        .at = slot_key(slot),
        .expected = state.version,
        .value = encode(state.next)};
    out_.emplace_back(write_slot{slot, state.write, {{std::move(change)}}});
}

void rollout::start_load(const upstream_id& runner)
{
    const auto found = runners_.find(runner);
    if (found == runners_.end() || !found->second.target)
    {
        return;
    }
    runner_state& state = found->second;
    state.idle = false;
    state.asked_at = now_;
    state.heard_from = ++last_message_;
    out_.emplace_back(send_runner_order{
        runner, {{*fencing_, last_message_}, state.life, state.target->setup}});
}

void rollout::pace(byte_count size)
{
    const std::chrono::duration<double> load_time(
        static_cast<double>(size.value()) / options_.store_rate.value());
    next_load_ = std::max(
        next_load_, now_ + std::chrono::duration_cast<duration>(load_time));
}

} // namespace wagtailseam::weights
