// Orders the block transfers of one limited link.
#include "link/link_scheduler.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace wagtailseam::link
{

namespace
{

std::size_t index(transfer_class priority) noexcept
{
    return static_cast<std::size_t>(priority);
}

double as_double(byte_count bytes) noexcept
{
    return static_cast<double>(bytes.value());
}

} // namespace

std::size_t link_scheduler::flight_key_hash::operator()(
    const flight_key& key) const noexcept
{
    return std::hash<digest>{}(key.block) ^
           (std::hash<upstream_id>{}(key.target) << 1);
}

link_scheduler::link_scheduler(const options& settings)
    : settings_(settings), rate_(
                               {.initial = settings.rate_limit.value(),
                                .half_life = settings.rate_half_life})
{
    BOOST_ASSERT(settings.flight_limit > 0);
    BOOST_ASSERT(settings.queue_limit > 0);
}

std::vector<command> link_scheduler::handle(
    const event& incoming, mono_time now)
{
    std::vector<command> out;
    std::visit(
        overloaded{
            [&](const transfer_requested& wanted) { request(wanted, out); },
            [&](const transfer_finished& done) { finish(done.id, now, out); },
            [&](const transfer_failed& failed)
            { fail_flight(failed, now, out); },
            [&](const transfer_cancelled& gone) { cancel(gone.id); },
            [](const timer_fired&) {}},
        incoming);
    start_ready(now, out);
    return out;
}

void link_scheduler::request(
    const transfer_requested& wanted, std::vector<command>& out)
{
    BOOST_ASSERT(!by_transfer_.contains(wanted.id));
    const flight_key key{wanted.block, wanted.target};
    if (const auto known = by_key_.find(key); known != by_key_.end())
    {
        join(known->second, wanted);
        return;
    }
    const auto level = index(wanted.priority);
    if (waiting_[level] >= settings_.queue_limit)
    {
        ++use_.rejected;
        out.emplace_back(complete_transfer{wanted.id, result_code::queue_full});
        return;
    }
    const auto number = next_number_++;
    flights_.emplace(
        number, flight{
                    .key = key,
                    .priority = wanted.priority,
                    .bytes = wanted.bytes,
                    .completion_deadline = wanted.completion_deadline,
                    .started = std::nullopt,
                    .waiters = {wanted.id}});
    by_key_.emplace(key, number);
    by_transfer_.emplace(wanted.id, number);
    queues_[level].push_back(number);
    ++waiting_[level];
    waiting_bytes_[level] += wanted.bytes.value();
}

void link_scheduler::join(
    flight_number number, const transfer_requested& wanted)
{
    auto& known = flights_.at(number);
    ++use_.joined;
    known.waiters.push_back(wanted.id);
    by_transfer_.emplace(wanted.id, number);
    if (known.completion_deadline && wanted.completion_deadline)
    {
        known.completion_deadline =
            std::max(*known.completion_deadline, *wanted.completion_deadline);
    }
    else
    {
        known.completion_deadline.reset();
    }
    if (known.started || wanted.priority >= known.priority)
    {
        return;
    }
    const auto from = index(known.priority);
    const auto to = index(wanted.priority);
    --waiting_[from];
    waiting_bytes_[from] -= known.bytes.value();
    ++waiting_[to];
    waiting_bytes_[to] += known.bytes.value();
    known.priority = wanted.priority;
    queues_[to].push_back(number);
}

link_scheduler::flight_number link_scheduler::number_of(transfer_id id) const
{
    const auto known = by_transfer_.find(id);
    return known == by_transfer_.end() ? 0 : known->second;
}

void link_scheduler::finish(
    transfer_id id, mono_time now, std::vector<command>& out)
{
    const auto number = number_of(id);
    const auto position = std::find(moving_.begin(), moving_.end(), number);
    if (position == moving_.end())
    {
        return;
    }
    const auto& done = flights_.at(number);
    account_busy(now);
    // Flights that overlap share the link, so each counts from the end of the
    // one before.
    const auto since = std::max(*done.started, last_finish_);
    rate_.record(as_double(done.bytes), now - since, now);
    last_finish_ = now;
    use_.moved += done.bytes;
    for (const auto& waiter : done.waiters)
    {
        out.emplace_back(complete_transfer{waiter, result_code::ok});
    }
    moving_.erase(position);
    forget(number);
}

void link_scheduler::fail_flight(
    const transfer_failed& failed, mono_time now, std::vector<command>& out)
{
    const auto number = number_of(failed.id);
    const auto position = std::find(moving_.begin(), moving_.end(), number);
    if (position == moving_.end())
    {
        return;
    }
    account_busy(now);
    for (const auto& waiter : flights_.at(number).waiters)
    {
        out.emplace_back(complete_transfer{waiter, failed.code});
    }
    moving_.erase(position);
    forget(number);
}

void link_scheduler::cancel(transfer_id id)
{
    const auto number = number_of(id);
    if (number == 0)
    {
        return;
    }
    auto& known = flights_.at(number);
    if (known.started)
    {
        return; // its bytes are on the way; the answer is ignored above
    }
    std::erase(known.waiters, id);
    by_transfer_.erase(id);
    if (known.waiters.empty())
    {
        const auto level = index(known.priority);
        --waiting_[level];
        waiting_bytes_[level] -= known.bytes.value();
        forget(number);
        compact(level);
    }
}

void link_scheduler::compact(std::size_t level)
{
    constexpr std::size_t slack = 64;
    auto& queue = queues_[level];
    if (queue.size() <= 2 * waiting_[level] + slack)
    {
        return;
    }
    std::erase_if(
        queue,
        [&](flight_number number)
        {
            const auto known = flights_.find(number);
            return known == flights_.end() || known->second.started ||
                   index(known->second.priority) != level;
        });
}

void link_scheduler::forget(flight_number number)
{
    const auto known = flights_.find(number);
    for (const auto& waiter : known->second.waiters)
    {
        by_transfer_.erase(waiter);
    }
    by_key_.erase(known->second.key);
    flights_.erase(known);
}

std::optional<link_scheduler::flight_number> link_scheduler::next_waiting()
{
    for (std::size_t level = 0; level < transfer_class_count; ++level)
    {
        auto& queue = queues_[level];
        while (!queue.empty())
        {
            const auto known = flights_.find(queue.front());
            const bool current = known != flights_.end() &&
                                 !known->second.started &&
                                 index(known->second.priority) == level;
            if (current)
            {
                return queue.front();
            }
            queue.pop_front();
        }
    }
    return std::nullopt;
}

void link_scheduler::start_ready(mono_time now, std::vector<command>& out)
{
    while (moving_.size() < settings_.flight_limit)
    {
        const auto number = next_waiting();
        if (!number)
        {
            return;
        }
        if (now < next_start_)
        {
            out.emplace_back(wake_at{next_start_});
            return;
        }
        const auto& next = flights_.at(*number);
        const auto ends =
            now + seconds_to_duration(as_double(next.bytes) / rate_.value());
        if (next.completion_deadline && ends > *next.completion_deadline)
        {
            abandon(*number, out);
            continue;
        }
        start(*number, now, out);
    }
}

void link_scheduler::start(
    flight_number number, mono_time now, std::vector<command>& out)
{
    auto& next = flights_.at(number);
    const auto level = index(next.priority);
    --waiting_[level];
    waiting_bytes_[level] -= next.bytes.value();
    queues_[level].pop_front();
    next.started = now;
    moving_.push_back(number);
    next_start_ =
        now + seconds_to_duration(
                  as_double(next.bytes) / settings_.rate_limit.value());
    if (!busy_since_)
    {
        busy_since_ = now;
    }
    out.emplace_back(start_transfer{
        next.waiters.front(), next.key.block, next.key.target, next.bytes});
}

void link_scheduler::abandon(flight_number number, std::vector<command>& out)
{
    const auto& late = flights_.at(number);
    const auto level = index(late.priority);
    --waiting_[level];
    waiting_bytes_[level] -= late.bytes.value();
    queues_[level].pop_front();
    for (const auto& waiter : late.waiters)
    {
        ++use_.abandoned;
        out.emplace_back(
            complete_transfer{waiter, result_code::import_abandoned});
    }
    forget(number);
}

void link_scheduler::account_busy(mono_time now)
{
    if (busy_since_)
    {
        use_.busy += now - *busy_since_;
        busy_since_ = now;
    }
    if (moving_.size() <= 1)
    {
        busy_since_.reset();
    }
}

duration link_scheduler::backlog(transfer_class priority, mono_time now) const
{
    double bytes = 0.0;
    for (std::size_t level = 0; level <= index(priority); ++level)
    {
        bytes += static_cast<double>(waiting_bytes_[level]);
    }
    for (const auto number : moving_)
    {
        const auto& flown = flights_.at(number);
        const auto elapsed = duration_to_seconds(now - *flown.started);
        bytes +=
            std::max(0.0, as_double(flown.bytes) - elapsed * rate_.value());
    }
    return seconds_to_duration(bytes / rate_.value());
}

duration link_scheduler::estimated_transfer_time(
    transfer_class priority, byte_count bytes, mono_time now) const
{
    return backlog(priority, now) +
           seconds_to_duration(as_double(bytes) / rate_.value());
}

byte_rate link_scheduler::rate() const noexcept
{
    return byte_rate{rate_.value()};
}

std::size_t link_scheduler::flights() const noexcept
{
    return moving_.size();
}

std::size_t link_scheduler::waiting(transfer_class priority) const noexcept
{
    return waiting_[index(priority)];
}

} // namespace wagtailseam::link
