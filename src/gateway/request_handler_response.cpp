// Responses of upstreams: refusals, failures, and the forwarding of bodies.
#include "gateway/request_handler.hpp"
#include "http/listener_probe.hpp"

#include <algorithm>
#include <utility>

namespace wagtailseam::gateway
{
namespace
{

/// Time to read the rest of a refusal, so that its connection can be reused.
constexpr std::chrono::milliseconds refusal_body_timeout{120};
/// After a gap between events of this multiple of the maximum agreed gap
/// another upstream continues a stream. Callers disconnect at eight times the
/// agreed gap.
constexpr int event_gap_silence_factor = 4;
/// An event of a stream that is not complete after this number of bytes ends
/// the attempt. Events contain a few tokens. The buffer of an event may be
/// twice as large, and many upstreams may send such events at once.
constexpr std::size_t max_event_bytes = std::size_t{64} * 1024;
constexpr unsigned status_success = 200;
constexpr unsigned status_redirection = 300;
constexpr duration min_retry_after = std::chrono::milliseconds(100);
/// Callers respect a Retry-After of at most their remaining time divided by
/// this number.
constexpr int retry_after_divisor = 3;
/// Callers return within this time after the end of a pause, or the begin of
/// the gateway's share of a limit.
constexpr duration restriction_return_time = std::chrono::milliseconds(500);

unsigned http_status_of(result_code code)
{
    switch (code)
    {
    case result_code::malformed_http:
        return 400;
    case result_code::missing_credentials:
    case result_code::unknown_caller_key:
        return 401;
    case result_code::unknown_route:
        return 404;
    case result_code::outcome_unknown:
        return 502;
    case result_code::deadline_passed:
        return 504;
    default:
        return 503;
    }
}

constexpr unsigned status_server_error = 500;

bool is_success(unsigned status)
{
    return status >= status_success && status < status_redirection;
}

/// An error with this content type is a text that no upstream can continue.
bool is_event_stream(const http::response& head)
{
    return head.status < status_redirection &&
           head.content_type.starts_with("text/event-stream");
}

} // namespace

serving::attempt_result request_handler::classify_refusal(
    const serving::chosen_upstream& target,
    const platform::upstream_response& response) const
{
    if (!response.misdirected)
    {
        return serving::refused_busy{};
    }
    const bool is_other_upstream =
        response.instance && *response.instance != target.entry.id;
    if (is_other_upstream || !request_.call.prompt)
    {
        return serving::misdirected{};
    }
    const auto& model = request_.call.prompt->model;
    auto running_version = response.weights;
    if (!running_version)
    {
        running_version = state_.newest_weights(model);
    }
    return serving::weights_differ{.model = model, .running = running_version};
}

void request_handler::record_statements(
    const serving::chosen_upstream& target, const http::response_stream& stream,
    const platform::upstream_response& response)
{
    // Another upstream may have the address by now.
    if (response.instance && *response.instance != target.entry.id)
    {
        return;
    }
    state_.statements.record_response(
        serving::process_of(target.entry), response.statement,
        attempt_began_at_);
    state_.processes.record_response(
        target.entry, stream.connected_at(),
        std::max(attempt_began_at_, stream.connected_at()));
}

asio::awaitable<std::optional<request_handler::next_step>>
request_handler::check_response_head(
    const serving::chosen_upstream& target, http::response_stream& stream)
{
    const auto response = platform::decode_response_head(stream.head());
    record_statements(target, stream, response);
    if (response.not_run)
    {
        --record_.executions;
        const auto refusal = classify_refusal(target, response);
        end_attempt(target, refusal);
        if (std::holds_alternative<serving::weights_differ>(refusal))
        {
            // The same upstream can serve the request with its current weights.
            tried_upstreams_.erase(target.entry.id);
        }
        record_.code = response.misdirected ? result_code::upstream_refused
                                            : result_code::upstream_busy;
        // Reads the rest of the response, so that the connection can be reused.
        (void)co_await stream.read(refusal_body_timeout);
        co_return next_step::retry;
    }
    // A head that ended early may lack fields and the body.
    if (is_success(stream.head().status) && !response.proven)
    {
        failure_detail_ = "success without a proof";
        stream.close();
        end_broken_attempt(target);
        co_return may_retry() ? next_step::retry : next_step::give_up;
    }
    const bool is_server_error = stream.head().status >= status_server_error;
    const bool is_other_content =
        response_head_sent_ && (stream.head().status != record_.status ||
                                !is_event_stream(stream.head()));
    // The request may have run, so the status must not reach the caller.
    const bool is_unfounded = response.promises_not_run;
    if (is_other_content || is_unfounded || (is_server_error && may_retry()))
    {
        failure_detail_ = "status " + std::to_string(stream.head().status);
        if (is_other_content)
        {
            failure_detail_ += " instead of more events";
        }
        else if (is_unfounded)
        {
            failure_detail_ += " although it may have run";
            state_.metrics.count("wagtail_unfounded_promises_total");
        }
        end_attempt(target, serving::response_failed{});
        record_.code = result_code::outcome_unknown;
        co_return may_retry() ? next_step::retry : next_step::give_up;
    }
    co_return std::nullopt;
}

asio::awaitable<request_handler::next_step> request_handler::handle_response(
    const serving::chosen_upstream& target, http::response_stream stream)
{
    const auto failed = co_await check_response_head(target, stream);
    if (failed)
    {
        co_return *failed;
    }
    if (request_.route->is_resumable_stream() && is_event_stream(stream.head()))
    {
        finish_prefill(true);
        const bool may_forward = co_await prepare_stream(target, stream);
        if (!may_forward)
        {
            failure_detail_ = "process of the upstream is not listed";
            end_attempt(target, serving::abandoned{});
            record_.code = result_code::stream_broken;
            co_return next_upstream_ || may_retry() ? next_step::retry
                                                    : next_step::give_up;
        }
    }
    co_return co_await forward_response(target, stream);
}

asio::awaitable<void> request_handler::begin_response(
    const http::response& upstream_head)
{
    finish_prefill(true);
    if (!record_.first_byte)
    {
        record_.first_byte = monotonic_clock::now() - request_.received;
    }
    if (response_head_sent_)
    {
        co_return;
    }
    auto head = platform::make_forwarded_head(upstream_head);
    record_.status = head.status;
    if (is_resumable_stream())
    {
        // Another upstream may continue the stream, so its length is unknown.
        head.content_length.reset();
    }
    response_head_sent_ = true;
    const auto begun = co_await exchange_.begin_stream(std::move(head));
    caller_disconnected_ = caller_disconnected_ || !begun;
}

asio::awaitable<void> request_handler::forward_chunk(
    const serving::chosen_upstream& target, std::string_view chunk)
{
    std::string complete_events;
    if (is_event_stream_)
    {
        complete_events = event_splitter_.feed(chunk);
        record_.incomplete_event_bytes = event_splitter_.partial().size();
        chunk = complete_events;
        if (!chunk.empty())
        {
            co_await record_stream_begin(target);
        }
    }
    forwarded_body_bytes_ += chunk.size();
    const auto written = co_await exchange_.write(chunk);
    caller_disconnected_ = caller_disconnected_ || !written;
}

asio::awaitable<request_handler::body_end> request_handler::classify_body_end(
    const serving::chosen_upstream& target, http::body_framing framing)
{
    if (!event_splitter_.partial().empty())
    {
        failure_detail_ = "stream ended inside an event";
        co_return body_end::cut_off;
    }
    if (framing != http::body_framing::until_close)
    {
        co_return body_end::complete;
    }
    if (is_event_stream_ && forwarded_body_bytes_ == 0)
    {
        failure_detail_ = "stream without length ended before its first event";
        co_return body_end::cut_off;
    }
    // An upstream that leaves may exit after its last response.
    if (state_.statements.is_leaving(serving::process_of(target.entry)) ||
        state_.upstreams.is_leaving(target.entry.id, monotonic_clock::now()))
    {
        co_return body_end::unverified;
    }
    const bool crashed = co_await http::is_port_closed(target.entry.address);
    if (!crashed)
    {
        co_return body_end::complete;
    }
    failure_detail_ = "upstream crashed at the end of a body without length";
    state_.crashes.record_process_end(
        {target.entry.id, target.entry.started_ms}, "refused_connection");
    co_return body_end::cut_off;
}

asio::awaitable<void> request_handler::end_response(
    const serving::chosen_upstream& target, body_end end)
{
    (void)co_await exchange_.end_stream();
    if (record_.status < status_server_error)
    {
        end_attempt(target, serving::answered{});
        record_.code = result_code::ok;
        if (end == body_end::complete)
        {
            record_completion();
        }
        co_return;
    }
    end_attempt(target, serving::response_failed{});
    record_.code = result_code::upstream_lost;
}

void request_handler::record_completion()
{
    const auto& content = request_.content();
    state_.crashes.record_completion({content.request});
    // A rejection does not show that an engine processed the prompt.
    if (record_.status < status_redirection)
    {
        for (const auto& part : content.parts)
        {
            state_.crashes.record_completion(
                {part, quarantine::suspect_kind::prompt_part});
        }
    }
}

void request_handler::end_broken_attempt(const serving::chosen_upstream& target)
{
    end_attempt(target, serving::response_failed{});
    broken_attempt_ = broken_attempt{
        .upstream = target.entry,
        .timed_out = request_.time_left() <= duration::zero()};
    record_.code = request_.time_left() <= duration::zero()
                       ? result_code::deadline_passed
                       : result_code::stream_broken;
}

asio::awaitable<request_handler::next_step>
request_handler::handle_broken_response(const serving::chosen_upstream& target)
{
    const auto detail = failure_detail_;
    // Another one may start while the failure of a successor is handled.
    while (successor_ && !successor_->is_decided)
    {
        const auto successor = successor_;
        co_await wait_until_decided(*successor);
    }
    failure_detail_ = detail;
    end_broken_attempt(target);
    event_splitter_.drop_partial();
    if (has_accepted_successor())
    {
        co_return next_step::take_over;
    }
    co_return is_resumable_stream() && may_retry() ? next_step::retry
                                                   : next_step::give_up;
}

asio::awaitable<void> request_handler::begin_body(
    const http::response_stream& stream)
{
    is_event_stream_ = is_event_stream(stream.head());
    if (is_resumable_stream())
    {
        event_splitter_.begin_continuation(resume_position());
    }
    co_await begin_response(stream.head());
    forwarded_body_bytes_ = 0;
    record_.incomplete_event_bytes = 0;
    record_.framing = stream.framing();
    state_.metrics.count(
        "wagtail_upstream_responses_total", "framing",
        http::name(stream.framing()));
}

bool request_handler::are_events_valid()
{
    if (event_splitter_.is_misplaced())
    {
        failure_detail_ =
            "event does not follow event id " + event_splitter_.last_id();
        return false;
    }
    if (event_splitter_.partial().size() > max_event_bytes)
    {
        failure_detail_ =
            "event of over " + std::to_string(max_event_bytes) + " bytes";
        return false;
    }
    return true;
}

asio::awaitable<request_handler::next_step> request_handler::end_body(
    const serving::chosen_upstream& target, http::body_framing framing)
{
    const auto end = co_await classify_body_end(target, framing);
    if (end == body_end::cut_off)
    {
        co_return co_await handle_broken_response(target);
    }
    drop_successor();
    co_await end_response(target, end);
    co_return next_step::finished;
}

asio::awaitable<request_handler::next_step> request_handler::forward_response(
    const serving::chosen_upstream& target, http::response_stream& stream)
{
    co_await begin_body(stream);
    const duration max_silence =
        request_.route->max_event_gap * event_gap_silence_factor;
    const silence_watch_scope silence(
        co_await asio::this_coro::executor, max_silence);
    if (is_resumable_stream())
    {
        watch_event_gap(silence.watch());
    }
    std::string last_event = event_splitter_.last_id();
    while (!caller_disconnected_)
    {
        // Bytes that complete no event are no progress.
        if (last_event != event_splitter_.last_id())
        {
            last_event = event_splitter_.last_id();
            silence.watch()->due = monotonic_clock::now() + max_silence;
            drop_successor();
        }
        if (!are_events_valid())
        {
            co_return co_await handle_broken_response(target);
        }
        if (has_accepted_successor())
        {
            co_return take_over(target, stream);
        }
        is_awaiting_bytes_ = true;
        const auto chunk = co_await stream.read(request_.time_left());
        is_awaiting_bytes_ = false;
        if (!chunk && caller_disconnected_)
        {
            break;
        }
        if (has_accepted_successor())
        {
            co_return take_over(target, stream);
        }
        if (!chunk)
        {
            failure_detail_ = chunk.error().detail;
            co_return co_await handle_broken_response(target);
        }
        if (chunk.value().empty())
        {
            co_return co_await end_body(target, stream.framing());
        }
        co_await forward_chunk(target, chunk.value());
    }
    drop_successor();
    stream.close();
    end_attempt(target, serving::abandoned{});
    record_.code = result_code::caller_gone;
    co_return next_step::finished;
}

asio::awaitable<void> request_handler::reject(result_code code)
{
    co_await send_local_response(http_status_of(code), code, min_retry_after);
}

asio::awaitable<void> request_handler::send_final_error()
{
    if (response_head_sent_)
    {
        record_.code = result_code::stream_broken;
        exchange_.abort();
        co_return;
    }
    if (record_.executions > 0 && record_.code != result_code::deadline_passed)
    {
        record_.code = result_code::outcome_unknown;
    }
    const bool never_executed = record_.executions == 0;
    unsigned status = http_status_of(record_.code);
    // Callers repeat what was not executed, unless the request is at fault.
    if (never_executed && status >= status_server_error)
    {
        status = 503;
    }
    co_await send_local_response(
        status, record_.code,
        never_executed ? retry_delay() : duration::zero());
}

duration request_handler::retry_delay()
{
    if (record_.quarantine)
    {
        return std::max<duration>(
            min_retry_after, record_.quarantine->until - wall_clock::now());
    }
    // Callers that return at random times do not all meet at the first one.
    const auto jitter = [this](duration range)
    {
        return duration(static_cast<duration::rep>(
            state_.random.below(static_cast<std::uint64_t>(range.count()))));
    };
    if (!record_.restricted_upstreams.empty())
    {
        return std::max<duration>(
            min_retry_after,
            state_.statements.first_end(record_.restricted_upstreams)
                    .remaining +
                jitter(restriction_return_time));
    }
    const auto expected_delay = [&]() -> duration
    {
        if (record_.code == result_code::queue_full && record_.overload)
        {
            return record_.overload->excess_wait +
                   jitter(request_.route->latency_target);
        }
        if (record_.code == result_code::stream_origin_unknown &&
            origin_known_in_)
        {
            return *origin_known_in_ + jitter(restriction_return_time);
        }
        return state_.upstreams.retry_after(
            request_.service, request_.data_centres, monotonic_clock::now());
    };
    const duration delay = expected_delay();
    return std::clamp<duration>(
        delay, min_retry_after,
        std::max<duration>(
            min_retry_after, request_.time_left() / retry_after_divisor));
}

asio::awaitable<void> request_handler::send_local_response(
    unsigned status, result_code code, duration retry_after)
{
    constexpr unsigned status_unavailable = 503;
    record_.status = status;
    record_.code = code;
    if (status == status_unavailable)
    {
        state_.metrics.count_refusal(code);
    }
    auto message = platform::make_local_response(
        status, request_.call.id, name(code),
        status == status_unavailable ? retry_after : duration::zero());
    (void)co_await exchange_.send(std::move(message));
}

} // namespace wagtailseam::gateway
