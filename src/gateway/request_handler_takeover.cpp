// Streams whose upstream is silent: another upstream takes them over once it
// has accepted them.
#include "gateway/request_handler.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/assert.hpp>

#include <algorithm>
#include <exception>
#include <optional>
#include <utility>

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
/// How often it is checked whether a successor may start.
constexpr std::chrono::milliseconds successor_check_interval{100};
/// The events of a successor are discarded if its process is unknown.
constexpr std::chrono::milliseconds max_process_check_wait{400};

} // namespace

void request_handler::watch_event_gap(
    const std::shared_ptr<silence_watch>& watch)
{
    watch->timer.expires_after(std::max<duration>(
        watch->due - monotonic_clock::now(), duration::zero()));
    watch->timer.async_wait(
        [this, watch](auto ec)
        {
            // The handler may outlive this object once the watch is stopped.
            if (ec || watch->stopped)
            {
                return;
            }
            const auto now = monotonic_clock::now();
            if (now >= watch->due)
            {
                const bool may_start =
                    !successor_ && now >= next_successor_at_ &&
                    is_resumable_stream() && may_retry() &&
                    (next_upstream_ || reserve_next_attempt());
                if (may_start)
                {
                    start_successor(watch->timer.get_executor());
                }
                watch->due = now + successor_check_interval;
            }
            watch_event_gap(watch);
        });
}

void request_handler::start_successor(const asio::any_io_executor& executor)
{
    BOOST_ASSERT(next_upstream_.has_value());
    successor_ = std::make_shared<successor_attempt>(
        executor, std::move(*next_upstream_));
    next_upstream_.reset();
    telemetry::event("successor_started")
        .with("request", request_.call.id)
        .with("silent", record_.last_upstream.value_or(upstream_id{}))
        .with("upstream", successor_->target.entry.id)
        .with("resume_after", resume_position())
        .with("attempt", record_.dispatches + 1)
        .with("left_us", request_.time_left().count());
    asio::co_spawn(executor, run_successor(successor_), asio::detached);
}

asio::awaitable<void> request_handler::run_successor(
    std::shared_ptr<successor_attempt> successor)
{
    std::optional<http::response_stream> response;
    try
    {
        response = co_await open_successor(*successor);
    }
    catch (const std::exception& exception)
    {
        // The request waits until its successor is decided.
        telemetry::event("successor_failed")
            .with("request", request_.call.id)
            .with("upstream", successor->target.entry.id)
            .with("detail", exception.what())
            .warning();
        const auto attempt = find_open_attempt(successor->target.entry.id);
        if (attempt != open_attempts_.end())
        {
            open_attempts_.erase(attempt);
        }
    }
    if (response && successor->is_dropped)
    {
        response->close();
        response.reset();
        end_attempt(successor->target, serving::abandoned{});
    }
    if (broken_attempt_)
    {
        co_await report_broken_attempt();
    }
    const bool accepted = response.has_value();
    telemetry::event("successor_decided")
        .with("request", request_.call.id)
        .with("upstream", successor->target.entry.id)
        .with("accepted", accepted)
        .with("dropped", successor->is_dropped)
        .with("last_end", accepted ? "none" : record_.last_result)
        .with("left_us", request_.time_left().count());
    if (accepted)
    {
        is_retry_paid_ = false;
        successor->response = std::move(response);
        if (is_awaiting_bytes_)
        {
            cancellation_handle_->cancel();
        }
    }
    else if (successor_ == successor)
    {
        successor_.reset();
    }
    successor->is_decided = true;
    successor->decided.cancel();
}

asio::awaitable<std::optional<http::response_stream>>
request_handler::open_successor(successor_attempt& successor)
{
    const auto& target = successor.target;
    const auto executions = record_.executions;
    tried_upstreams_.insert(target.entry.id);
    state_.statements.record_request(target.entry.id);
    auto planned = plan_dispatch(state_, request_, target, resume_position());
    record_.dispatch = planned.summary;
    begin_attempt(target, planned);
    const silence_watch_scope silence(
        co_await asio::this_coro::executor, silence_limit(target));
    watch_silence(silence.watch(), successor.cancellation);
    auto opened = co_await upstream_client_.open(
        target.entry.address, std::move(planned.message),
        make_open_options(successor.cancellation));
    silence.stop();
    if (!opened || successor.cancellation->cancelled())
    {
        end_unopened_successor(
            successor, opened ? error(result_code::stream_broken, "cancelled")
                              : opened.error());
        co_return std::nullopt;
    }
    auto stream = std::move(opened).value();
    const auto failed = co_await check_response_head(target, stream);
    if (failed)
    {
        if (record_.executions == executions)
        {
            // It was not executed, so its budget pays for another attempt, also
            // at the same upstream later.
            tried_upstreams_.erase(target.entry.id);
            next_successor_at_ =
                monotonic_clock::now() + request_.route->max_event_gap;
        }
        else
        {
            is_retry_paid_ = false;
        }
        co_return std::nullopt;
    }
    finish_prefill(true);
    const bool confirmed = co_await process_check_.leads_to_listed_process(
        target.entry, stream.connected_at(),
        std::min<duration>(max_process_check_wait, request_.time_left()));
    if (!confirmed)
    {
        is_retry_paid_ = false;
        failure_detail_ = "process of the upstream is not listed";
        stream.close();
        end_attempt(target, serving::abandoned{});
        co_return std::nullopt;
    }
    co_return std::move(stream);
}

void request_handler::end_unopened_successor(
    const successor_attempt& successor, const error& failure)
{
    const auto& target = successor.target;
    failure_detail_ = failure.detail;
    if (failure.code == result_code::upstream_unreachable)
    {
        end_attempt(target, serving::connect_failed{});
        return;
    }
    is_retry_paid_ = next_upstream_.has_value();
    const bool is_unneeded = failure.code == result_code::malformed_message ||
                             successor.is_dropped || caller_disconnected_ ||
                             ended_by_drain_;
    if (is_unneeded)
    {
        end_attempt(target, serving::abandoned{});
        return;
    }
    const bool timed_out = successor.cancellation->cancelled() ||
                           monotonic_clock::now() >= request_.deadline;
    end_attempt(
        target, timed_out
                    ? serving::attempt_result(serving::response_timed_out{})
                    : serving::attempt_result(serving::response_failed{}));
    broken_attempt_ =
        broken_attempt{.upstream = target.entry, .timed_out = timed_out};
}

asio::awaitable<void> request_handler::wait_until_decided(
    successor_attempt& successor)
{
    while (!successor.is_decided)
    {
        (void)co_await successor.decided.async_wait(completion);
    }
}

bool request_handler::has_accepted_successor() const
{
    return successor_ && successor_->response;
}

void request_handler::drop_successor()
{
    next_upstream_.reset();
    const auto dropped = std::exchange(successor_, nullptr);
    if (!dropped)
    {
        return;
    }
    dropped->is_dropped = true;
    tried_upstreams_.erase(dropped->target.entry.id);
    if (dropped->response)
    {
        dropped->response->close();
        end_attempt(dropped->target, serving::abandoned{});
    }
    else
    {
        dropped->cancellation->cancel();
        dropped_successors_.push_back(dropped);
    }
    telemetry::event("successor_dropped")
        .with("request", request_.call.id)
        .with("upstream", dropped->target.entry.id)
        .with("caller_left", caller_disconnected_);
}

request_handler::next_step request_handler::take_over(
    const serving::chosen_upstream& silent, http::response_stream& stream)
{
    stream.close();
    failure_detail_ = "silent";
    end_broken_attempt(silent);
    event_splitter_.drop_partial();
    return next_step::take_over;
}

asio::awaitable<request_handler::next_step>
request_handler::continue_with_successor()
{
    const auto successor = std::exchange(successor_, nullptr);
    cancellation_handle_ = successor->cancellation;
    co_await report_broken_attempt();
    state_.metrics.count(
        "wagtail_retries_total", "reason", record_.last_result);
    record_.last_upstream = successor->target.entry.id;
    record_.last_software = successor->target.entry.software;
    record_.expected_wait = successor->target.expected_wait;
    co_return co_await forward_response(
        successor->target, *successor->response);
}

} // namespace wagtailseam::gateway
