// Implements the scheduler of block transfers.
#include "link/link_scheduler.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace wagtailseam::link
{

namespace
{

std::size_t level_of(transfer_class priority) noexcept
{
    return static_cast<std::size_t>(priority);
}

double as_double(byte_count bytes) noexcept
{
    return static_cast<double>(bytes.value());
}

} // namespace

std::size_t link_scheduler::job_key_hash::operator()(
    const job_key& key) const noexcept
{
    return std::hash<digest>{}(key.block) ^
           (std::hash<upstream_id>{}(key.target) << 1);
}

link_scheduler::link_scheduler(const options& settings)
    : settings_(settings), rate_(
                               {.initial = settings.rate_limit.value(),
                                .half_life = settings.rate_half_life})
{
    BOOST_ASSERT(settings.concurrency_limit > 0);
    BOOST_ASSERT(settings.queue_limit > 0);
}

std::vector<command> link_scheduler::handle(
    const event& incoming, mono_time now)
{
    std::vector<command> out;
    std::visit(
        overloaded{
            [&](const transfer_requested& request) { enqueue(request, out); },
            [&](const transfer_finished& finished)
            { finish(finished.id, now, out); },
            [&](const transfer_failed& failed) { fail(failed, now, out); },
            [&](const transfer_cancelled& cancelled) { cancel(cancelled.id); },
            [](const timer_fired&) {}},
        incoming);
    start_ready(now, out);
    return out;
}

void link_scheduler::enqueue(
    const transfer_requested& request, std::vector<command>& out)
{
    BOOST_ASSERT(!jobs_by_transfer_.contains(request.id));
    const job_key key{request.block, request.target};
    if (const auto found = jobs_by_key_.find(key); found != jobs_by_key_.end())
    {
        coalesce(found->second, request);
        return;
    }
    const auto level = level_of(request.priority);
    if (queued_jobs_[level] >= settings_.queue_limit)
    {
        ++statistics_.rejected;
        out.emplace_back(
            complete_transfer{request.id, result_code::queue_full});
        return;
    }
    const auto number = next_number_++;
    jobs_.emplace(
        number, job{.key = key,
                    .priority = request.priority,
                    .bytes = request.bytes,
                    .completion_deadline = request.completion_deadline,
                    .started_at = std::nullopt,
                    .transfers = {request.id}});
    jobs_by_key_.emplace(key, number);
    jobs_by_transfer_.emplace(request.id, number);
    queues_[level].push_back(number);
    ++queued_jobs_[level];
    queued_bytes_[level] += request.bytes.value();
}

void link_scheduler::coalesce(
    job_number number, const transfer_requested& request)
{
    auto& existing = jobs_.at(number);
    ++statistics_.coalesced;
    existing.transfers.push_back(request.id);
    jobs_by_transfer_.emplace(request.id, number);
    if (existing.completion_deadline && request.completion_deadline)
    {
        existing.completion_deadline = std::max(
            *existing.completion_deadline, *request.completion_deadline);
    }
    else
    {
        existing.completion_deadline.reset();
    }
    if (existing.started_at || request.priority >= existing.priority)
    {
        return;
    }
    const auto from = level_of(existing.priority);
    const auto to = level_of(request.priority);
    --queued_jobs_[from];
    queued_bytes_[from] -= existing.bytes.value();
    ++queued_jobs_[to];
    queued_bytes_[to] += existing.bytes.value();
    existing.priority = request.priority;
    queues_[to].push_back(number);
}

link_scheduler::job_number link_scheduler::job_of(transfer_id id) const
{
    const auto found = jobs_by_transfer_.find(id);
    return found == jobs_by_transfer_.end() ? 0 : found->second;
}

void link_scheduler::finish(
    transfer_id id, mono_time now, std::vector<command>& out)
{
    const auto number = job_of(id);
    const auto position =
        std::find(active_jobs_.begin(), active_jobs_.end(), number);
    if (position == active_jobs_.end())
    {
        return;
    }
    const auto& finished = jobs_.at(number);
    update_busy_time(now);
    // Concurrent jobs share the link, so each one's time counts from the end of
    // the previous one.
    const auto begin = std::max(*finished.started_at, last_finish_);
    rate_.record(as_double(finished.bytes), now - begin, now);
    last_finish_ = now;
    statistics_.bytes_transferred += finished.bytes;
    for (const auto& transfer : finished.transfers)
    {
        out.emplace_back(complete_transfer{transfer, result_code::ok});
    }
    active_jobs_.erase(position);
    erase_job(number);
}

void link_scheduler::fail(
    const transfer_failed& failed, mono_time now, std::vector<command>& out)
{
    const auto number = job_of(failed.id);
    const auto position =
        std::find(active_jobs_.begin(), active_jobs_.end(), number);
    if (position == active_jobs_.end())
    {
        return;
    }
    update_busy_time(now);
    for (const auto& transfer : jobs_.at(number).transfers)
    {
        out.emplace_back(complete_transfer{transfer, failed.code});
    }
    active_jobs_.erase(position);
    erase_job(number);
}

void link_scheduler::cancel(transfer_id id)
{
    const auto number = job_of(id);
    if (number == 0)
    {
        return;
    }
    auto& cancelled = jobs_.at(number);
    if (cancelled.started_at)
    {
        return; // the job continues; the caller ignores its complete_transfer
    }
    std::erase(cancelled.transfers, id);
    jobs_by_transfer_.erase(id);
    if (cancelled.transfers.empty())
    {
        const auto level = level_of(cancelled.priority);
        --queued_jobs_[level];
        queued_bytes_[level] -= cancelled.bytes.value();
        erase_job(number);
        compact(level);
    }
}

void link_scheduler::compact(std::size_t level)
{
    constexpr std::size_t stale_entry_allowance = 64;
    auto& queue = queues_[level];
    if (queue.size() <= 2 * queued_jobs_[level] + stale_entry_allowance)
    {
        return;
    }
    std::erase_if(
        queue,
        [&](job_number number)
        {
            const auto found = jobs_.find(number);
            return found == jobs_.end() || found->second.started_at ||
                   level_of(found->second.priority) != level;
        });
}

void link_scheduler::erase_job(job_number number)
{
    const auto found = jobs_.find(number);
    for (const auto& transfer : found->second.transfers)
    {
        jobs_by_transfer_.erase(transfer);
    }
    jobs_by_key_.erase(found->second.key);
    jobs_.erase(found);
}

std::optional<link_scheduler::job_number> link_scheduler::next_queued()
{
    for (std::size_t level = 0; level < transfer_class_count; ++level)
    {
        auto& queue = queues_[level];
        while (!queue.empty())
        {
            const auto found = jobs_.find(queue.front());
            const bool queued = found != jobs_.end() &&
                                !found->second.started_at &&
                                level_of(found->second.priority) == level;
            if (queued)
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
    while (active_jobs_.size() < settings_.concurrency_limit)
    {
        const auto number = next_queued();
        if (!number)
        {
            return;
        }
        if (now < next_start_)
        {
            out.emplace_back(wake_at{next_start_});
            return;
        }
        const auto& next = jobs_.at(*number);
        const auto completion =
            now + seconds_to_duration(as_double(next.bytes) / rate_.value());
        if (next.completion_deadline && completion > *next.completion_deadline)
        {
            abandon(*number, out);
            continue;
        }
        start(*number, now, out);
    }
}

void link_scheduler::start(
    job_number number, mono_time now, std::vector<command>& out)
{
    auto& next = jobs_.at(number);
    const auto level = level_of(next.priority);
    --queued_jobs_[level];
    queued_bytes_[level] -= next.bytes.value();
    queues_[level].pop_front();
    next.started_at = now;
    active_jobs_.push_back(number);
    next_start_ =
        now + seconds_to_duration(
                  as_double(next.bytes) / settings_.rate_limit.value());
    if (!busy_since_)
    {
        busy_since_ = now;
    }
    out.emplace_back(start_transfer{
        next.transfers.front(), next.key.block, next.key.target, next.bytes});
}

void link_scheduler::abandon(job_number number, std::vector<command>& out)
{
    const auto& late = jobs_.at(number);
    const auto level = level_of(late.priority);
    --queued_jobs_[level];
    queued_bytes_[level] -= late.bytes.value();
    queues_[level].pop_front();
    for (const auto& transfer : late.transfers)
    {
        ++statistics_.abandoned;
        out.emplace_back(
            complete_transfer{transfer, result_code::import_abandoned});
    }
    erase_job(number);
}

void link_scheduler::update_busy_time(mono_time now)
{
    if (busy_since_)
    {
        statistics_.busy_time += now - *busy_since_;
        busy_since_ = now;
    }
    if (active_jobs_.size() <= 1)
    {
        busy_since_.reset();
    }
}

duration link_scheduler::backlog(transfer_class priority, mono_time now) const
{
    double bytes = 0.0;
    for (std::size_t level = 0; level <= level_of(priority); ++level)
    {
        bytes += static_cast<double>(queued_bytes_[level]);
    }
    for (const auto number : active_jobs_)
    {
        const auto& active = jobs_.at(number);
        const auto elapsed = duration_to_seconds(now - *active.started_at);
        bytes +=
            std::max(0.0, as_double(active.bytes) - elapsed * rate_.value());
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

std::size_t link_scheduler::active_jobs() const noexcept
{
    return active_jobs_.size();
}

std::size_t link_scheduler::queued_jobs(transfer_class priority) const noexcept
{
    return queued_jobs_[level_of(priority)];
}

} // namespace wagtailseam::link
