// Transitions for acquiring, renewing and releasing the lease and for writes
// that are conditional on it.
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
    commands_.clear();
    if (holding_ && now_ >= hold_until_)
    {
        stop_holding();
    }
    std::visit([this](const auto& kind) { on(kind); }, event);
    if (pending_call_ == table_call::none)
    {
        start_next_call();
    }
    mono_time wake_time =
        pending_call_ == table_call::none ? next_call_at_ : now_;
    if (holding_)
    {
        wake_time =
            wake_time > now_ ? std::min(wake_time, hold_until_) : hold_until_;
    }
    if (wake_time > now_)
    {
        commands_.emplace_back(wake_at{wake_time});
    }
    return std::move(commands_);
}

void lease_state_machine::on(const lease_event::tick& /*event*/) {}

void lease_state_machine::on(const lease_event::row_read& event)
{
    const table_call finished = pending_call_;
    BOOST_ASSERT(
        finished == table_call::read || finished == table_call::verify);
    pending_call_ = table_call::none;
    const auto* const found =
        std::get_if<table_service::optional_row>(&event.answer);
    if (found == nullptr)
    {
        schedule_retry(finished);
        return;
    }
    if (finished == table_call::read)
    {
        update_from_row(*found);
    }
    else
    {
        verify_write(*found);
    }
}

void lease_state_machine::on(const lease_event::rows_written& event)
{
    BOOST_ASSERT(pending_call_ == table_call::write);
    pending_call_ = table_call::none;
    std::visit(
        overloaded{
            [this](const table_service::committed& result)
            { complete_write(result.versions.front()); },
            // A conflict on the lease's row may be caused by an earlier attempt
            // of this write whose answer was lost.
            [this](const table_service::conflicted& conflict)
            {
                if (conflict.index == 0)
                {
                    verify_write(conflict.current);
                    return;
                }
                fail_write(result_code::platform_conflict);
            },
            [this](const table_service::rejected&)
            { schedule_retry(table_call::write); },
            [this](const table_service::outcome_unknown&)
            {
                answer_lost_ = true;
                start_call(table_call::verify);
            }},
        event.answer);
}

void lease_state_machine::on(const lease_event::write_requested& event)
{
    if (!is_held(now_) || releasing_ ||
        queued_writes_.size() >= max_queued_writes)
    {
        commands_.emplace_back(
            write_completed{event.id, result_code::lease_lost});
        return;
    }
    queued_writes_.push_back(event);
    next_call_at_ = std::min(next_call_at_, now_);
}

void lease_state_machine::on(const lease_event::release_requested& /*event*/)
{
    releasing_ = true;
    next_call_at_ = std::min(next_call_at_, now_);
}

void lease_state_machine::update_from_row(
    const table_service::optional_row& found)
{
    const auto version =
        found ? found->version : table_service::absent_row_version;
    if (!row_known_ || version != version_)
    {
        version_seen_at_ = now_;
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
    const bool acquire = can_acquire() && !releasing_;
    next_call_at_ = acquire ? now_ : now_ + options_.renew_interval;
}

bool lease_state_machine::can_acquire() const
{
    const bool is_own =
        record_.holder == options_.holder &&
        record_.holder_incarnation == options_.holder_incarnation;
    const bool expired =
        now_ >= version_seen_at_ + record_.length + options_.margin;
    return record_.holder.empty() || is_own || expired;
}

void lease_state_machine::verify_write(const table_service::optional_row& found)
{
    if (found)
    {
        const auto current = decode_lease(found->value);
        if (current && current.value() == next_record_)
        {
            complete_write(found->version);
            return;
        }
    }
    const auto version =
        found ? found->version : table_service::absent_row_version;
    if (version == version_)
    {
        // The write has not taken effect but still may. Repeating it is safe:
        // with the same condition and nonce it takes effect at most once.
        schedule_retry(table_call::write);
        return;
    }
    // Another write changed the row. If an answer was lost, this write may have
    // taken effect before.
    stop_holding();
    fail_write(
        answer_lost_ ? result_code::platform_answer_lost
                     : result_code::lease_lost);
    row_known_ = false;
}

void lease_state_machine::complete_write(table_service::row_version version)
{
    version_ = version;
    record_ = next_record_;
    row_known_ = true;
    version_seen_at_ = now_;
    next_call_at_ = now_ + options_.renew_interval;
    if (included_write_)
    {
        commands_.emplace_back(
            write_completed{*included_write_, result_code::ok});
        included_write_.reset();
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
        commands_.emplace_back(acquired{record_.fencing});
    }
}

void lease_state_machine::fail_write(result_code code)
{
    if (included_write_)
    {
        commands_.emplace_back(write_completed{*included_write_, code});
        included_write_.reset();
    }
    next_call_at_ = now_ + options_.retry_delay;
}

void lease_state_machine::stop_holding()
{
    if (holding_)
    {
        holding_ = false;
        commands_.emplace_back(lost{});
    }
    for (const lease_event::write_requested& request : queued_writes_)
    {
        commands_.emplace_back(
            write_completed{request.id, result_code::lease_lost});
    }
    queued_writes_.clear();
}

void lease_state_machine::start_next_call()
{
    if (now_ < next_call_at_)
    {
        return;
    }
    if (retry_call_ != table_call::none)
    {
        start_call(std::exchange(retry_call_, table_call::none));
        return;
    }
    if (!row_known_)
    {
        start_call(table_call::read);
        return;
    }
    lease_record record = record_;
    record.length = options_.length;
    if (holding_)
    {
        record.holder = releasing_ ? std::string() : options_.holder;
        send_write(std::move(record));
    }
    else if (can_acquire() && !releasing_)
    {
        record.holder = options_.holder;
        record.holder_incarnation = options_.holder_incarnation;
        record.fencing = fencing_number{record_.fencing.value() + 1};
        send_write(std::move(record));
    }
    else if (!releasing_)
    {
        start_call(table_call::read);
    }
    else
    {
        next_call_at_ = mono_time::max();
    }
}

void lease_state_machine::send_write(lease_record record)
{
    record.nonce = next_nonce();
    next_record_ = std::move(record);
    transaction_ = {
        {{lease_row_key(options_.lease_name), version_, encode(next_record_)}}};
    if (holding_ && !queued_writes_.empty())
    {
        auto& writes = queued_writes_.front().writes;
        std::ranges::move(writes, std::back_inserter(transaction_.writes));
        included_write_ = queued_writes_.front().id;
        queued_writes_.pop_front();
    }
    sent_at_ = now_;
    answer_lost_ = false;
    start_call(table_call::write);
}

void lease_state_machine::schedule_retry(table_call call)
{
    retry_call_ = call;
    next_call_at_ = now_ + options_.retry_delay;
}

void lease_state_machine::start_call(table_call call)
{
    pending_call_ = call;
    if (call == table_call::write)
    {
        commands_.emplace_back(write_rows{transaction_});
        return;
    }
    commands_.emplace_back(read_row{lease_row_key(options_.lease_name)});
}

std::uint64_t lease_state_machine::next_nonce()
{
    // The SplitMix64 increment separates the nonces of different seeds.
    constexpr std::uint64_t increment = 0x9E3779B97F4A7C15ULL;
    nonce_ += increment;
    return nonce_;
}

} // namespace wagtailseam::lease
