// Steps of a request, from its acceptance to its final response.
#include "gateway/request_handler.hpp"

#include "telemetry/event_log.hpp"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/assert.hpp>

#include <algorithm>
#include <exception>

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// A running VM accepts a connection within a few round trips between data
/// centres. A VM without power does not reply.
constexpr std::chrono::milliseconds connect_timeout{120};
/// Time within which an upstream that accepts no connections is assumed to have
/// started again, and to be listed by then.
constexpr std::chrono::seconds assumed_restart_time{2};
/// Time to the first byte of an engine beside wait and prefill: the first step
/// and the network.
constexpr std::chrono::milliseconds usual_first_byte_time{50};
/// Unit of the response times of upstreams that are no engines. Only their
/// quotients count.
constexpr std::chrono::milliseconds usual_response_time{30};
/// Maximum number of dispatches per request, including refused ones.
constexpr std::uint32_t max_dispatches = 4;
/// Maximum number of waits per request for an upstream to become available.
constexpr std::uint32_t max_upstream_waits = 2;
/// A request waits for an upstream at most for its latency target divided by
/// this number.
constexpr int upstream_wait_divisor = 8;
/// A stream that has not begun after this multiple of its latency target is
/// retried at another upstream. Callers disconnect at four times the target.
constexpr int streaming_silence_factor = 2;
/// The silence limit is extended by this multiple of the expected queue wait,
/// up to `max_silence_factor` times the latency target.
constexpr int queue_wait_factor = 2;
constexpr int max_silence_factor = 4;
/// How often it is checked whether another attempt may replace one whose
/// upstream is silent.
constexpr std::chrono::milliseconds silence_check_interval{100};
/// A request is retried only if more than its latency target divided by this
/// number is left.
constexpr int min_retry_time_divisor = 4;
/// Returns the ids of the prompt parts that other requests may share.
std::string list_shared_parts(const serving::call& call)
{
    std::string ids;
    if (call.prompt)
    {
        for (const auto& part : call.prompt->shared_parts())
        {
            ids += (ids.empty() ? "" : ",") + part.id.value();
        }
    }
    return ids.empty() ? "none" : ids;
}

} // namespace

request_handler::request_handler(
    shared_state& state, http::client& upstream_client,
    process_check& processes, http::exchange& exchange)
    : state_(state), upstream_client_(upstream_client),
      process_check_(processes), exchange_(exchange)
{
    request_.received = monotonic_clock::now();
    request_.deadline = request_.received;
}

asio::awaitable<void> request_handler::serve()
{
    std::optional<std::string> failure;
    try
    {
        co_await serve_request();
    }
    catch (const std::exception& exception)
    {
        failure = exception.what();
    }
    if (failure)
    {
        co_await end_failed_request(*failure);
    }
}

asio::awaitable<void> request_handler::end_failed_request(std::string detail)
{
    telemetry::event("request_failed")
        .with("request", request_.call.id)
        .with("detail", detail)
        .with("runs", record_.executions)
        .warning();
    cancel_attempts();
    drop_successor();
    for (const auto& successor : dropped_successors_)
    {
        co_await wait_until_decided(*successor);
    }
    open_attempts_.clear();
    pending_prompt_.reset();
    end_trial();
    drop_trial_claims(record_.executions == 0);
    record_.code = result_code::internal_failure;
    co_await send_final_error();
    record_stream_end();
    record_request_end(state_, request_, record_);
}

asio::awaitable<void> request_handler::serve_request()
{
    const auto accepted = accept_request();
    if (!accepted)
    {
        co_await reject(accepted.error().code);
        record_request_end(state_, request_, record_);
        co_return;
    }
    exchange_.on_caller_disconnect(
        [this]
        {
            caller_disconnected_ = true;
            cancel_attempts();
        });
    const drain_state::registration registration(
        state_.drain, [this] { end_for_drain(); });
    state_.retry_budget_for(request_.service).on_request();
    bool may_run = true;
    if (is_resumption())
    {
        may_run = co_await find_stream_origin();
    }
    if (may_run)
    {
        co_await run_attempts();
    }
    else
    {
        co_await send_final_error();
    }
    record_stream_end();
    record_request_end(state_, request_, record_);
    co_await report_broken_attempt();
    end_trial();
    drop_trial_claims(true);
    drop_successor();
    for (const auto& successor : dropped_successors_)
    {
        co_await wait_until_decided(*successor);
    }
}

void request_handler::end_for_drain()
{
    ended_by_drain_ = true;
    request_.deadline = std::min(request_.deadline, monotonic_clock::now());
    telemetry::event("request_ended_by_drain")
        .with("request", request_.call.id)
        .with("runs", record_.executions);
    cancel_attempts();
}

void request_handler::cancel_attempts()
{
    if (cancellation_handle_)
    {
        cancellation_handle_->cancel();
    }
    if (successor_)
    {
        successor_->cancellation->cancel();
    }
}

result<void> request_handler::accept_request()
{
    auto decoded = platform::decode_call(exchange_.release_request());
    if (!decoded)
    {
        return boost::outcome_v2::failure(decoded.error());
    }
    request_.call = std::move(decoded).value();
    if (state_.drain.refuses_requests())
    {
        return fail(result_code::draining);
    }
    request_.routes = state_.routes;
    if (!request_.routes || state_.is_being_introduced())
    {
        return fail(result_code::not_ready);
    }
    return resolve_route();
}

result<void> request_handler::resolve_route()
{
    if (auto found = find_route(state_, request_); !found)
    {
        return found;
    }
    request_.service = serving::draw_service(*request_.route, state_.random);
    request_.deadline =
        request_.received +
        std::min(request_.call.time_left, request_.route->timeout);
    if (const auto drain_deadline = state_.drain.response_deadline())
    {
        request_.deadline = std::min(request_.deadline, *drain_deadline);
    }
    return boost::outcome_v2::success();
}

bool request_handler::may_retry() const
{
    return request_.route->retryable() && may_continue_stream() &&
           record_.executions < request_.route->max_attempts &&
           record_.dispatches < max_dispatches &&
           request_.time_left() >
               request_.route->latency_target / min_retry_time_divisor;
}

asio::awaitable<void> request_handler::run_attempts()
{
    for (;;)
    {
        caller_disconnected_ =
            caller_disconnected_ || !exchange_.is_caller_connected();
        if (caller_disconnected_)
        {
            record_.code = result_code::caller_gone;
            co_return;
        }
        if (!co_await may_start_attempt())
        {
            break;
        }
        if (caller_disconnected_)
        {
            // The caller left while the trial was claimed.
            continue;
        }
        const auto target = take_upstream();
        if (!target)
        {
            if (co_await wait_for_upstream())
            {
                continue;
            }
            break;
        }
        if (record_.dispatches >= max_dispatches)
        {
            record_.code = result_code::queue_full;
            break;
        }
        if (record_.dispatches > 0 && !pay_for_retry())
        {
            record_.code = result_code::retry_budget_spent;
            break;
        }
        is_retry_paid_ = false;
        state_.statements.record_request(target->entry.id);
        auto next = co_await run_attempt(*target);
        while (next == next_step::take_over)
        {
            next = co_await continue_with_successor();
        }
        if (next == next_step::finished)
        {
            co_return;
        }
        if (next == next_step::give_up)
        {
            break;
        }
        co_await report_broken_attempt();
        state_.metrics.count(
            "wagtail_retries_total", "reason", record_.last_result);
    }
    co_await send_final_error();
}

serving::choice request_handler::select_upstream()
{
    // Few upstreams can continue a stream, and its caller waits for the rest.
    const bool limit_queue_length = record_.executions == 0 && !stream_origin_;
    auto query = make_upstream_query(
        state_, request_, tried_upstreams_, limit_queue_length);
    query.software = required_software();
    auto selection =
        state_.upstreams.choose(query, state_.random, monotonic_clock::now());
    if (!stream_origin_ && query.processes != nullptr &&
        std::holds_alternative<serving::none_available>(selection))
    {
        // A new stream of an unknown version is better than none.
        query.processes = nullptr;
        selection = state_.upstreams.choose(
            query, state_.random, monotonic_clock::now());
    }
    return selection;
}

std::optional<serving::chosen_upstream> request_handler::take_upstream()
{
    auto reserved = std::exchange(next_upstream_, std::nullopt);
    // A reserved upstream may have left the list meanwhile.
    const bool is_usable = reserved &&
                           !state_.upstreams.is_leaving(
                               reserved->entry.id, monotonic_clock::now()) &&
                           !state_.upstreams.is_evacuated(reserved->entry.id);
    return is_usable ? std::move(reserved) : choose_upstream();
}

std::optional<serving::chosen_upstream> request_handler::choose_upstream()
{
    auto selection = select_upstream();
    if (auto* const chosen = std::get_if<serving::chosen_upstream>(&selection))
    {
        return std::move(*chosen);
    }
    record_.code = refusal_code(state_, request_, selection);
    if (stream_origin_ &&
        std::holds_alternative<serving::none_available>(selection))
    {
        record_.code = result_code::software_version_gone;
    }
    record_.restricted_upstreams.clear();
    if (auto* const restricted =
            std::get_if<serving::all_restricted>(&selection))
    {
        record_.restricted_upstreams = std::move(restricted->upstreams);
    }
    else if (
        const auto* const overloaded =
            std::get_if<serving::all_overloaded>(&selection))
    {
        record_.overload = *overloaded;
    }
    return std::nullopt;
}

asio::awaitable<bool> request_handler::wait_for_upstream()
{
    // Upstreams that leave never take the request, and a limit that no share is
    // left of ends late.
    if (record_.code == result_code::upstreams_limited ||
        record_.code == result_code::upstreams_leaving)
    {
        co_return false;
    }
    const auto now = monotonic_clock::now();
    const auto available_in =
        record_.code == result_code::upstreams_paused
            ? state_.statements.first_end(record_.restricted_upstreams)
                  .remaining
            : state_.upstreams.retry_after(
                  request_.service, request_.data_centres, now);
    const auto limit = std::min(
        request_.route->latency_target / upstream_wait_divisor,
        request_.received +
            request_.route->latency_target / upstream_wait_divisor - now);
    if (upstream_waits_ >= max_upstream_waits || available_in > limit ||
        record_.executions > 0)
    {
        co_return false;
    }
    ++upstream_waits_;
    asio::steady_timer timer(co_await asio::this_coro::executor, available_in);
    co_await timer.async_wait(completion);
    tried_upstreams_.clear();
    co_return true;
}

duration request_handler::silence_limit(
    const serving::chosen_upstream& target) const
{
    const int target_factor =
        request_.route->kind == serving::route_kind::streaming
            ? streaming_silence_factor
            : 1;
    // An engine does not respond before it has processed its queue.
    const duration limit = request_.route->latency_target * target_factor +
                           target.expected_wait * queue_wait_factor;
    return std::min<duration>(
        limit, request_.route->latency_target * max_silence_factor);
}

void request_handler::watch_silence(
    const std::shared_ptr<silence_watch>& watch,
    const std::shared_ptr<http::cancellation_handle>& attempt)
{
    watch->timer.expires_after(std::max<duration>(
        watch->due - monotonic_clock::now(), duration::zero()));
    watch->timer.async_wait(
        [this, watch, attempt](auto ec)
        {
            // The handler may outlive this object once the watch is stopped.
            if (ec || watch->stopped || !may_retry())
            {
                return;
            }
            const auto now = monotonic_clock::now();
            if (now >= watch->due)
            {
                if (reserve_next_attempt())
                {
                    attempt->cancel();
                    return;
                }
                watch->due = now + silence_check_interval;
            }
            watch_silence(watch, attempt);
        });
}

void request_handler::record_silence_when_due(
    const std::shared_ptr<silence_watch>& watch, const upstream_id& id)
{
    watch->timer.expires_after(std::max<duration>(
        watch->due - monotonic_clock::now(), duration::zero()));
    watch->timer.async_wait(
        [this, watch, id](auto ec)
        {
            // A handler that was queued when the watch was stopped still runs.
            if (ec || watch->stopped)
            {
                return;
            }
            const auto now = monotonic_clock::now();
            if (cancellation_handle_->has_unread_input())
            {
                watch->due = now + silence_check_interval;
                record_silence_when_due(watch, id);
                return;
            }
            state_.upstreams.record_result(
                id, serving::response_timed_out{}, now);
        });
}

bool request_handler::reserve_next_attempt()
{
    // A suspect may be refused its trial, and a request that is being tried
    // does not run twice.
    const bool is_unrestricted =
        !state_.crashes.quarantine().has_records() ||
        std::holds_alternative<quarantine::unrestricted>(
            state_.crashes.check(request_.content()));
    if (caller_disconnected_ || !is_unrestricted)
    {
        return false;
    }
    auto selection = select_upstream();
    auto* const chosen = std::get_if<serving::chosen_upstream>(&selection);
    if (chosen == nullptr || !pay_for_retry())
    {
        return false;
    }
    next_upstream_ = std::move(*chosen);
    return true;
}

bool request_handler::pay_for_retry()
{
    is_retry_paid_ =
        is_retry_paid_ || state_.retry_budget_for(request_.service)
                              .try_spend(retry::retry_cause::failure);
    return is_retry_paid_;
}

http::open_options request_handler::make_open_options(
    std::shared_ptr<http::cancellation_handle> cancellation)
{
    return http::open_options{
        .timeout = request_.time_left(),
        .connect_timeout =
            std::min<duration>(connect_timeout, request_.time_left()),
        .force_new_connection = !request_.route->retryable(),
        .correlation_header = platform::request_id_header,
        .before_write =
            [this]
        {
            ++record_.dispatches;
            ++record_.executions;
        },
        .cancellation = std::move(cancellation)};
}

void request_handler::begin_attempt(
    const serving::chosen_upstream& target, const planned_dispatch& planned)
{
    const auto& id = target.entry.id;
    attempt_began_at_ = monotonic_clock::now();
    const serving::prompt_load load{
        .prefill_time = planned.prefill_time,
        .tokens = request_.call.prompt ? request_.call.prompt->needed_memory()
                                       : token_count{}};
    open_attempts_.push_back(std::make_unique<open_attempt>(state_, id, load));
    pending_prompt_ = pending_prompt{
        .upstream = id,
        .load = load,
        .dispatched_at = attempt_began_at_,
        .expected_wait = target.expected_wait,
        .slowness = target.slowness,
        .main_cache_source = planned.main_cache_source};
    state_.on_pending_prefill_changed(id);
}

void request_handler::record_speed(
    const pending_prompt& prompt, mono_time first_byte_at)
{
    duration expected = usual_response_time;
    if (request_.call.prompt)
    {
        const std::chrono::duration<double, std::micro> usual_wait(
            static_cast<double>(prompt.expected_wait.count()) /
            prompt.slowness);
        expected = usual_first_byte_time + prompt.load.prefill_time +
                   std::chrono::duration_cast<duration>(usual_wait);
    }
    state_.upstreams.record_first_byte(
        prompt.upstream, first_byte_at - prompt.dispatched_at, expected,
        first_byte_at);
}

void request_handler::finish_prefill(bool response_began)
{
    if (!pending_prompt_)
    {
        return;
    }
    const auto ended_at = monotonic_clock::now();
    const auto attempt = find_open_attempt(pending_prompt_->upstream);
    if (attempt != open_attempts_.end())
    {
        (*attempt)->finish_prefill(ended_at);
    }
    if (response_began)
    {
        record_speed(*pending_prompt_, ended_at);
    }
    if (response_began && request_.call.prompt)
    {
        const auto now = monotonic_clock::now();
        state_.caches.record_first_byte(
            pending_prompt_->main_cache_source,
            now - pending_prompt_->dispatched_at -
                pending_prompt_->expected_wait -
                pending_prompt_->load.prefill_time,
            request_.route->latency_target, now);
    }
    pending_prompt_.reset();
}

void request_handler::end_attempt(
    const serving::chosen_upstream& target,
    const serving::attempt_result& outcome)
{
    // A successor's prefill may be pending.
    if (pending_prompt_ && pending_prompt_->upstream == target.entry.id)
    {
        finish_prefill(false);
    }
    record_.last_result = serving::name(outcome);
    const auto attempt = find_open_attempt(target.entry.id);
    BOOST_ASSERT(attempt != open_attempts_.end());
    if (attempt != open_attempts_.end())
    {
        (*attempt)->end(outcome, monotonic_clock::now());
        open_attempts_.erase(attempt);
    }
    state_.metrics.count("wagtail_attempts_total", "end", record_.last_result);
    const bool is_logged =
        !std::holds_alternative<serving::answered>(outcome) &&
        !std::holds_alternative<serving::abandoned>(outcome);
    if (is_logged)
    {
        telemetry::event("attempt_ended")
            .with("request", request_.call.id)
            .with("attempt", record_.dispatches)
            .with("upstream", target.entry.id)
            .with("end", record_.last_result)
            .with("detail", std::exchange(failure_detail_, {}))
            .with("content", short_name(request_.content().request))
            .with("shared_parts", list_shared_parts(request_.call))
            .with("upstream_started_ms", target.entry.started_ms)
            .with("cost_us", target.cost.count())
            .with("in_flight", target.in_flight)
            .with(
                "failure_percent",
                static_cast<int>(target.failure_share * 100.0))
            .with("left_us", request_.time_left().count());
    }
}

asio::awaitable<request_handler::next_step> request_handler::run_attempt(
    serving::chosen_upstream target)
{
    tried_upstreams_.insert(target.entry.id);
    record_.last_upstream = target.entry.id;
    record_.last_software = target.entry.software;
    auto planned = plan_dispatch(state_, request_, target, resume_position());
    record_.expected_wait = target.expected_wait;
    record_.dispatch = planned.summary;
    cancellation_handle_ = std::make_shared<http::cancellation_handle>();
    const auto options = make_open_options(cancellation_handle_);
    begin_attempt(target, planned);
    const silence_watch_scope time_out(
        co_await asio::this_coro::executor,
        request_.route->latency_target * streaming_silence_factor);
    record_silence_when_due(time_out.watch(), target.entry.id);
    const silence_watch_scope silence(
        co_await asio::this_coro::executor, silence_limit(target));
    watch_silence(silence.watch(), cancellation_handle_);
    auto opened = co_await upstream_client_.open(
        target.entry.address, std::move(planned.message), options);
    time_out.stop();
    silence.stop();
    if (!opened)
    {
        co_return handle_open_failure(target, opened.error());
    }
    if (next_upstream_)
    {
        // The response head arrived while the connection was being closed.
        const error closed(result_code::stream_broken, "silent");
        co_return handle_open_failure(target, closed);
    }
    co_return co_await handle_response(target, std::move(opened).value());
}

request_handler::next_step request_handler::handle_open_failure(
    const serving::chosen_upstream& target, const error& failure)
{
    if (caller_disconnected_)
    {
        end_attempt(target, serving::abandoned{});
        // The caller may have left because the upstream crashed silently.
        broken_attempt_ =
            broken_attempt{.upstream = target.entry, .timed_out = true};
        record_.code = result_code::caller_gone;
        return next_step::finished;
    }
    if (failure.code == result_code::upstream_unreachable)
    {
        const auto rate = state_.cold_rate(target.entry.service);
        const bool is_refused =
            monotonic_clock::now() - attempt_began_at_ < connect_timeout;
        if (rate && is_refused)
        {
            // Its port is closed: it may be restarting under the same id, and
            // is cold then before the list says so.
            state_.statements.record_cold(
                serving::process_of(target.entry), *rate,
                assumed_restart_time + state_.cold_time(target.entry.service));
        }
        end_attempt(target, serving::connect_failed{});
        record_.code = result_code::upstream_unreachable;
        return next_step::retry;
    }
    failure_detail_ = failure.detail;
    if (failure.code == result_code::malformed_message)
    {
        // The request cannot be encoded, and no upstream is at fault.
        end_attempt(target, serving::abandoned{});
        record_.code = result_code::malformed_http;
        return next_step::give_up;
    }
    const bool deadline_passed = monotonic_clock::now() >= request_.deadline;
    const bool timed_out = deadline_passed || next_upstream_.has_value();
    end_attempt(
        target, timed_out
                    ? serving::attempt_result(serving::response_timed_out{})
                    : serving::attempt_result(serving::response_failed{}));
    broken_attempt_ =
        broken_attempt{.upstream = target.entry, .timed_out = timed_out};
    record_.code = deadline_passed ? result_code::deadline_passed
                                   : result_code::outcome_unknown;
    return may_retry() ? next_step::retry : next_step::give_up;
}

} // namespace wagtailseam::gateway
