// Observing, taking, renewing, guarding writes, releasing.
#include "lease/lease_state_machine.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace wagtailseam::lease
{

lease_state_machine::lease_state_machine(
    lease_options options, std::uint64_t seed)
    : options_(std::move(options)), nonce_(seed)
{
    BOOST_ASSERT(options_.margin < options_.length);
}

std::vector<lease_command> lease_state_machine::handle(
    const lease_input& event, mono_time now)
{
    now_ = now;
    out_.clear();
    if (holding_ && now_ >= hold_until_)
    {
        stop_holding();
    }
    std::visit([this](const auto& kind) { on(kind); }, event);
    if (call_ == open_call::none)
    {
        next_call();
    }
    mono_time next = call_ == open_call::none ? next_call_at_ : now_;
    if (holding_)
    {
        next = next > now_ ? std::min(next, hold_until_) : hold_until_;
    }
    if (next > now_)
    {
        out_.emplace_back(wake_at{next});
    }
    return std::move(out_);
}

void lease_state_machine::on(const lease_event::tick& /*event*/) {}

void lease_state_machine::on(const lease_event::row_read& event)
{
    const open_call asked = call_;
    BOOST_ASSERT(asked == open_call::read || asked == open_call::read_back);
    call_ = open_call::none;
    const auto* const found =
        std::get_if<table_service::found_row>(&event.answer);
    if (found == nullptr)
    {
        retry(asked);
        return;
    }
    if (asked == open_call::read)
    {
        observe(*found);
    }
    else
    {
        read_back(*found);
    }
}

void lease_state_machine::on(const lease_event::rows_written& event)
{
    BOOST_ASSERT(call_ == open_call::write);
    call_ = open_call::none;
    std::visit(
        overloaded{
            [this](const table_service::committed& done)
            { write_took_effect(done.versions.front()); },
            // A conflict on the lease's own row may be an earlier copy of this
            // write whose answer was lost.
            [this](const table_service::conflicted& conflict)
            {
                if (conflict.index == 0)
                {
                    read_back(conflict.current);
                    return;
                }
                write_failed(result_code::platform_conflict);
            },
            [this](const table_service::refused&) { retry(open_call::write); },
            [this](const table_service::answer_lost&)
            {
                answer_lost_ = true;
                make(open_call::read_back);
            }},
        event.answer);
}

void lease_state_machine::on(const lease_event::write_requested& event)
{
    if (!may_act(now_) || releasing_ || waiting_.size() >= max_waiting)
    {
        out_.emplace_back(write_completed{event.id, result_code::lease_lost});
        return;
    }
    waiting_.push_back(event);
    next_call_at_ = std::min(next_call_at_, now_);
}

void lease_state_machine::on(const lease_event::release_requested& /*event*/)
{
    releasing_ = true;
    next_call_at_ = std::min(next_call_at_, now_);
}

void lease_state_machine::observe(const table_service::found_row& found)
{
    const auto version = found ? found->version : table_service::absent_row;
    if (!row_known_ || version != version_)
    {
        version_seen_ = now_;
    }
    row_known_ = true;
    version_ = version;
    record_ = lease_record{};
    if (found)
    {
        const auto decoded = decode_lease(found->value);
        if (decoded)
        {
            record_ = decoded.value();
        }
    }
    const bool take = free_for_taking() && !releasing_;
    next_call_at_ = take ? now_ : now_ + options_.renew_interval;
}

bool lease_state_machine::free_for_taking() const
{
    const bool own =
        record_.holder == options_.holder && record_.life == options_.life;
    const bool silent =
        now_ >= version_seen_ + record_.length + options_.margin;
    return record_.holder.empty() || own || silent;
}

void lease_state_machine::read_back(const table_service::found_row& found)
{
    if (found)
    {
        const auto current = decode_lease(found->value);
        if (current && current.value() == next_record_)
        {
            write_took_effect(found->version);
            return;
        }
    }
    const auto version = found ? found->version : table_service::absent_row;
    if (version == version_)
    {
        // Not in effect, though it may yet be: the same write, with the same
        // condition and nonce, can take effect once only.
        retry(open_call::write);
        return;
    }
    // The row moved on; a write whose answer was lost may have taken effect
    // before that.
    stop_holding();
    write_failed(
        answer_lost_ ? result_code::platform_answer_lost
                     : result_code::lease_lost);
    row_known_ = false;
}

void lease_state_machine::write_took_effect(table_service::row_version version)
{
    version_ = version;
    record_ = next_record_;
    row_known_ = true;
    version_seen_ = now_;
    next_call_at_ = now_ + options_.renew_interval;
    if (riding_)
    {
        out_.emplace_back(write_completed{*riding_, result_code::ok});
        riding_.reset();
    }
    if (record_.holder.empty())
    {
        stop_holding();
        return;
    }
    hold_until_ = sent_at_ + options_.length - options_.margin;
    if (hold_until_ <= now_)
    {
        stop_holding();
        next_call_at_ = now_;
    }
    else if (!holding_)
    {
        holding_ = true;
        out_.emplace_back(acquired{record_.fencing});
    }
}

void lease_state_machine::write_failed(result_code code)
{
    if (riding_)
    {
        out_.emplace_back(write_completed{*riding_, code});
        riding_.reset();
    }
    next_call_at_ = now_ + options_.retry_delay;
}

void lease_state_machine::stop_holding()
{
    if (holding_)
    {
        holding_ = false;
        out_.emplace_back(lost{});
    }
    for (const lease_event::write_requested& each : waiting_)
    {
        out_.emplace_back(write_completed{each.id, result_code::lease_lost});
    }
    waiting_.clear();
}

void lease_state_machine::next_call()
{
    if (now_ < next_call_at_)
    {
        return;
    }
    if (retry_ != open_call::none)
    {
        make(std::exchange(retry_, open_call::none));
        return;
    }
    if (!row_known_)
    {
        make(open_call::read);
        return;
    }
    lease_record next = record_;
    next.length = options_.length;
    if (holding_)
    {
        next.holder = releasing_ ? std::string() : options_.holder;
        send_write(std::move(next));
    }
    else if (free_for_taking() && !releasing_)
    {
        next.holder = options_.holder;
        next.life = options_.life;
        next.fencing = fencing_number{record_.fencing.value() + 1};
        send_write(std::move(next));
    }
    else if (!releasing_)
    {
        make(open_call::read);
    }
    else
    {
        next_call_at_ = mono_time::max();
    }
}

void lease_state_machine::send_write(lease_record next)
{
    next.nonce = next_nonce();
    next_record_ = std::move(next);
    open_write_ = {
        {{lease_row_key(options_.duty), version_, encode(next_record_)}}};
    if (holding_ && !waiting_.empty())
    {
        auto& writes = waiting_.front().writes;
        std::ranges::move(writes, std::back_inserter(open_write_.writes));
        riding_ = waiting_.front().id;
        waiting_.pop_front();
    }
    sent_at_ = now_;
    answer_lost_ = false;
    make(open_call::write);
}

void lease_state_machine::retry(open_call call)
{
    retry_ = call;
    next_call_at_ = now_ + options_.retry_delay;
}

void lease_state_machine::make(open_call call)
{
    call_ = call;
    if (call == open_call::write)
    {
        out_.emplace_back(write_rows{open_write_});
        return;
    }
    out_.emplace_back(read_row{lease_row_key(options_.duty)});
}

std::uint64_t lease_state_machine::next_nonce()
{
    // A step of SplitMix64 keeps nonces of different seeds apart.
    constexpr std::uint64_t step = 0x9E3779B97F4A7C15ULL;
    nonce_ += step;
    return nonce_;
}

} // namespace wagtailseam::lease
