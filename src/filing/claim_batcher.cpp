// Collecting writes, splitting them into transactions, sharing out answers.
#include "filing/claim_batcher.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace wagtailseam::filing
{

claim_batcher::claim_batcher(const claim_batcher_options& options)
    : options_(options)
{
}

std::vector<batcher_command> claim_batcher::handle(
    const batcher_event& event, mono_time now)
{
    return std::visit(
        [this, now](const auto& known) { return on(known, now); }, event);
}

std::vector<batcher_command> claim_batcher::on(
    const write_wanted& event, mono_time now)
{
    if (waiting_.size() >= options_.max_waiting)
    {
        return {write_answered{event.ticket, table_service::rejected{}}};
    }
    const duration window =
        event.urgent ? options_.urgent_window : options_.lazy_window;
    waiting_.push_back({event.ticket, event.write, now + window});
    std::vector<batcher_command> commands;
    send_due(commands, now);
    return commands;
}

std::vector<batcher_command> claim_batcher::on(
    const batch_timer_due&, mono_time now)
{
    std::vector<batcher_command> commands;
    send_due(commands, now);
    return commands;
}

std::vector<batcher_command> claim_batcher::on(
    const transaction_answered& event, mono_time)
{
    std::vector<batcher_command> commands;
    auto answered = in_flight_.extract(event.number);
    if (!answered.empty())
    {
        share_answer(commands, std::move(answered.mapped()), event.answer);
    }
    return commands;
}

std::optional<mono_time> claim_batcher::first_due() const
{
    const auto first = std::min_element(
        waiting_.begin(), waiting_.end(),
        [](const auto& a, const auto& b) { return a.due < b.due; });
    return first == waiting_.end() ? std::optional<mono_time>{} : first->due;
}

void claim_batcher::send_due(
    std::vector<batcher_command>& commands, mono_time now)
{
    auto due = first_due();
    while (due && (*due <= now || waiting_.size() >= options_.max_writes))
    {
        send(commands, take_batch());
        due = first_due();
    }
    if (due)
    {
        commands.emplace_back(set_batch_timer{*due});
    }
}

claim_batcher::batch claim_batcher::take_batch()
{
    batch taken;
    std::set<table_service::row_key> rows;
    std::deque<waiting_write> left;
    for (waiting_write& waiting : waiting_)
    {
        const bool fits = taken.size() < options_.max_writes;
        if (fits && rows.insert(waiting.write.key).second)
        {
            taken.push_back(std::move(waiting));
        }
        else
        {
            left.push_back(std::move(waiting));
        }
    }
    waiting_ = std::move(left);
    return taken;
}

void claim_batcher::send(std::vector<batcher_command>& commands, batch writes)
{
    BOOST_ASSERT(!writes.empty());
    const transaction_number number{++last_number_};
    table_service::transaction transaction;
    for (const waiting_write& one : writes)
    {
        transaction.writes.push_back(one.write);
    }
    in_flight_.emplace(number, std::move(writes));
    commands.emplace_back(send_transaction{number, std::move(transaction)});
}

void claim_batcher::share_answer(
    std::vector<batcher_command>& commands, batch writes,
    const table_service::transaction_result& answer)
{
    const auto answer_each = [&](const auto& make)
    {
        for (std::size_t i = 0; i < writes.size(); ++i)
        {
            commands.emplace_back(write_answered{writes[i].ticket, make(i)});
        }
    };
    std::visit(
        overloaded{
            [&](const table_service::committed& all)
            {
                BOOST_ASSERT(all.versions.size() == writes.size());
                answer_each(
                    [&](std::size_t i) -> table_service::transaction_result
                    { return table_service::committed{{all.versions[i]}}; });
            },
            [&](const table_service::conflicted& conflict)
            {
                BOOST_ASSERT(conflict.index < writes.size());
                commands.emplace_back(write_answered{
                    writes[conflict.index].ticket,
                    table_service::conflicted{0, conflict.current}});
                writes.erase(
                    writes.begin() +
                    static_cast<std::ptrdiff_t>(conflict.index));
                if (!writes.empty())
                {
                    send(commands, std::move(writes));
                }
            },
            [&](const auto& same_for_all)
            {
                answer_each(
                    [&](std::size_t) -> table_service::transaction_result
                    { return same_for_all; });
            }},
        answer);
}

} // namespace wagtailseam::filing
