// Slot rows, the rate limit of loads, and messages to runners.
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
    const std::size_t separator = text.find(' ');
    if (separator == std::string::npos)
    {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const char* const end = text.data() + separator;
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return slot_row{
        fencing_number{number}, upstream_id{text.substr(separator + 1)}};
}

std::vector<rollout_command> rollout::handle(
    const rollout_event& event, mono_time now)
{
    now_ = now;
    commands_.clear();
    std::visit([this](const auto& kind) { on(kind); }, event);
    plan();
    return std::move(commands_);
}

bool rollout::finished() const
{
    return std::all_of(
        runners_.begin(), runners_.end(),
        [](const auto& entry)
        {
            const runner_state& runner = entry.second;
            return !runner.target || runner.setup == runner.target->setup;
        });
}

void rollout::on(const lease_acquired& event)
{
    deactivate();
    fencing_ = event.fencing;
    // A previous holder may have started loads just before.
    for (const auto& [id, runner] : runners_)
    {
        delay_next_load(runner.target ? runner.target->size : byte_count{0});
    }
}

void rollout::on(const lease_lost& /*event*/)
{
    deactivate();
}

void rollout::deactivate()
{
    fencing_.reset();
    slots_known_ = false;
    slots_ = {};
    slots_requested_at_.reset();
    for (auto& [id, runner] : runners_)
    {
        runner.setup.reset();
        runner.idle = false;
        runner.queried_at.reset();
    }
}

void rollout::on(const targets_changed& event)
{
    for (auto& [id, runner] : runners_)
    {
        runner.target.reset();
    }
    for (const runner_target& target : event.targets)
    {
        runners_[target.runner].target = target;
    }
    std::erase_if(
        runners_, [this](const auto& entry)
        { return !entry.second.target && !occupies_slot(entry.first); });
}

void rollout::on(const runner_removed& event)
{
    runners_.erase(event.runner);
    for (std::size_t i = 0; i < load_slot_count; ++i)
    {
        const slot_state& slot = slots_[i];
        if (slot.owned && slot.pending_write == 0 &&
            slot.row.runner == event.runner)
        {
            write(i, {});
        }
    }
}

void rollout::on(const slots_read& event)
{
    if (!fencing_ || slots_known_)
    {
        return;
    }
    slots_ = {};
    for (const table_service::row& row : event.rows)
    {
        for (std::size_t i = 0; i < load_slot_count; ++i)
        {
            if (row.key == slot_key(i))
            {
                slots_[i].version = row.version;
                slots_[i].row = decode_slot(row.value).value_or(slot_row{});
            }
        }
    }
    const bool superseded = std::any_of(
        slots_.begin(), slots_.end(),
        [this](const slot_state& slot)
        { return slot.row.fencing > *fencing_; });
    if (superseded)
    {
        deactivate();
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

void rollout::on(const slot_written& event)
{
    slot_state& slot = slots_[event.slot];
    if (!fencing_ || slot.pending_write == 0 ||
        slot.pending_write != event.write_id)
    {
        return;
    }
    slot.pending_write = 0;
    const auto* const committed =
        std::get_if<table_service::committed>(&event.answer);
    if (committed == nullptr)
    {
        // Conflict or lost answer: the rows are read again.
        slots_known_ = false;
        return;
    }
    const bool assigned =
        slot.owned && !slot.pending_row.runner.value().empty();
    slot.row = slot.pending_row;
    slot.version = committed->versions.front();
    slot.owned = true;
    if (assigned)
    {
        start_load(slot.row.runner);
    }
}

void rollout::on(const runner_answered& event)
{
    if (!fencing_ || event.number.fencing != *fencing_)
    {
        return;
    }
    if (event.code == result_code::stale_fencing_number)
    {
        // This runner has received a message of a later holder.
        deactivate();
        return;
    }
    const auto found = runners_.find(event.runner);
    if (found == runners_.end() ||
        event.number.message < found->second.min_message)
    {
        return;
    }
    runner_state& runner = found->second;
    runner.idle = event.code == result_code::ok && !event.loading;
    if (event.sidecar != incarnation{})
    {
        runner.sidecar = event.sidecar;
    }
    if (event.setup)
    {
        runner.setup = event.setup;
    }
}

void rollout::on(const rollout_tick& /*event*/)
{
    // handle() calls plan() after every event.
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
        assign_slots();
        query_runners();
        return;
    }
    if (!slots_requested_at_ ||
        now_ >= *slots_requested_at_ + options_.read_interval)
    {
        slots_requested_at_ = now_;
        commands_.emplace_back(read_slots{});
    }
}

void rollout::claim_and_free_slots()
{
    for (std::size_t i = 0; i < load_slot_count; ++i)
    {
        const slot_state& slot = slots_[i];
        if (slot.pending_write != 0)
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

void rollout::assign_slots()
{
    for (std::size_t i = 0; i < load_slot_count; ++i)
    {
        const slot_state& slot = slots_[i];
        const bool free = slot.owned && slot.pending_write == 0 &&
                          slot.row.runner.value().empty();
        const runner_target* const target = next_target();
        if (free && now_ >= next_load_at_ && target != nullptr)
        {
            delay_next_load(target->size);
            write(i, target->runner);
        }
    }
}

const runner_target* rollout::next_target() const
{
    for (const auto& [id, runner] : runners_)
    {
        const bool outdated = runner.target && runner.setup &&
                              *runner.setup != runner.target->setup;
        if (outdated && runner.idle && !occupies_slot(id))
        {
            return &*runner.target;
        }
    }
    return nullptr;
}

bool rollout::occupies_slot(const upstream_id& runner) const
{
    return std::any_of(
        slots_.begin(), slots_.end(),
        [&](const slot_state& slot)
        {
            return slot.row.runner == runner ||
                   (slot.pending_write != 0 &&
                    slot.pending_row.runner == runner);
        });
}

void rollout::query_runners()
{
    for (auto& [id, runner] : runners_)
    {
        const bool up_to_date = runner.idle && runner.target &&
                                runner.setup == runner.target->setup;
        const bool due = !runner.queried_at ||
                         now_ >= *runner.queried_at + options_.query_interval;
        if (due && !up_to_date)
        {
            runner.queried_at = now_;
            commands_.emplace_back(
                query_runner{id, {*fencing_, ++last_message_}});
        }
    }
}

void rollout::write(std::size_t slot, const upstream_id& runner)
{
    slot_state& state = slots_[slot];
    state.pending_write = ++last_write_id_;
    state.pending_row = {*fencing_, runner};
    table_service::row_write row_write{
        .key = slot_key(slot),
        .expected = state.version,
        .value = encode(state.pending_row)};
    commands_.emplace_back(
        write_slot{slot, state.pending_write, {{std::move(row_write)}}});
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
    state.queried_at = now_;
    state.min_message = ++last_message_;
    commands_.emplace_back(send_runner_order{
        runner,
        {{*fencing_, last_message_}, state.sidecar, state.target->setup}});
}

void rollout::delay_next_load(byte_count size)
{
    const std::chrono::duration<double> load_time(
        static_cast<double>(size.value()) / options_.store_rate.value());
    next_load_at_ = std::max(
        next_load_at_, now_ + std::chrono::duration_cast<duration>(load_time));
}

} // namespace wagtailseam::weights
