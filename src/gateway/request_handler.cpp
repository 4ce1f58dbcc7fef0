// The course of a request, step by step.
#include "gateway/request_handler.hpp"

#include "telemetry/event_log.hpp"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// A VM without power does not answer; a live one accepts within a few round
/// trips between data centres.
constexpr std::chrono::milliseconds connect_timeout{120};
/// Messages of one request at most, refused ones included.
constexpr std::uint32_t max_sends = 4;
/// Waits for an upstream that is about to be free.
constexpr std::uint32_t max_waits = 2;
/// Part of the latency target that a request may wait for an upstream.
constexpr int wait_divisor = 8;
/// Streams that have not begun after this multiple of their target go on
/// elsewhere; callers leave at four times the target.
constexpr int silent_targets = 2;
/// Silence beyond that is allowed for an engine's queue, as a multiple of its
/// expected time, and at most up to this multiple of the target.
constexpr int queue_allowance = 2;
constexpr int longest_silence = 4;
/// A pause of this multiple of the longest pause agreed ends a stream's
/// attempt; callers leave at eight times the pause.
constexpr int silent_gaps = 4;
/// Least part of the latency target that is worth another attempt.
constexpr int least_time_divisor = 4;
constexpr duration least_retry_after = std::chrono::milliseconds(100);
/// Callers heed a Retry-After up to this part of the time they have left.
constexpr int retry_after_divisor = 3;

constexpr unsigned status_server_error = 500;

unsigned status_of(result_code code)
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

} // namespace

request_handler::request_handler(
    shared_state& known, http::client& upstreams, http::exchange& exchange)
    : known_(known), upstreams_(upstreams), exchange_(exchange)
{
    asked_.received = monotonic_clock::now();
    asked_.deadline = asked_.received;
}

asio::awaitable<void> request_handler::serve()
{
    const auto accepted = accept();
    if (!accepted)
    {
        const auto code = accepted.error().code;
        co_await answer(status_of(code), code, least_retry_after);
        tell(known_, asked_, record_);
        co_return;
    }
    exchange_.on_caller_gone(
        [this]
        {
            caller_gone_ = true;
            if (control_)
            {
                control_->cancel();
            }
        });
    known_.budget(asked_.service).on_request();
    co_await attempt_until_done();
    tell(known_, asked_, record_);
}

result<void> request_handler::accept()
{
    auto decoded = platform::decode_call(exchange_.release());
    if (!decoded)
    {
        return boost::outcome_v2::failure(decoded.error());
    }
    asked_.call = std::move(decoded).value();
    asked_.routes = known_.routes;
    if (!asked_.routes)
    {
        return fail(result_code::not_ready);
    }
    return find_route();
}

result<void> request_handler::find_route()
{
    asked_.route =
        asked_.routes->find_route(asked_.call.host, asked_.call.message.path());
    if (asked_.route == nullptr)
    {
        return fail(result_code::unknown_route);
    }
    if (!asked_.route->is_public)
    {
        if (asked_.call.key.empty())
        {
            return fail(result_code::missing_credentials);
        }
        asked_.workspace = asked_.routes->find_workspace(asked_.call.key);
        if (asked_.workspace == nullptr)
        {
            return fail(result_code::unknown_caller_key);
        }
    }
    asked_.service = serving::draw_service(*asked_.route, known_.random);
    asked_.deadline = asked_.received +
                      std::min(asked_.call.time_left, asked_.route->timeout);
    return boost::outcome_v2::success();
}

bool request_handler::may_run_again() const
{
    return asked_.route->retryable() &&
           record_.runs < asked_.route->max_attempts &&
           record_.sent < max_sends &&
           asked_.time_left() >
               asked_.route->latency_target / least_time_divisor;
}

asio::awaitable<void> request_handler::attempt_until_done()
{
    for (;;)
    {
        if (caller_gone_)
        {
            record_.code = result_code::caller_gone;
            co_return;
        }
        if (asked_.time_left() <= duration::zero())
        {
            record_.code = result_code::deadline_passed;
            break;
        }
        const auto choice = known_.upstreams.choose(
            query_for(known_, asked_, tried_, record_.runs == 0), known_.random,
            monotonic_clock::now());
        const auto* const target =
            std::get_if<serving::chosen_upstream>(&choice);
        if (target == nullptr)
        {
            record_.code =
                std::holds_alternative<serving::all_overloaded>(choice)
                    ? result_code::queue_full
                    : result_code::no_upstream;
            if (co_await wait_for_upstream())
            {
                continue;
            }
            break;
        }
        if (record_.sent >= max_sends)
        {
            record_.code = result_code::queue_full;
            break;
        }
        if (record_.sent > 0 && !known_.budget(asked_.service)
                                     .try_spend(retry::retry_cause::failure))
        {
            record_.code = result_code::retry_budget_spent;
            break;
        }
        const auto next = co_await attempt(*target);
        if (next == next_step::finished)
        {
            co_return;
        }
        if (next == next_step::give_up)
        {
            break;
        }
        known_.metrics.count(
            "wagtail_retries_total", "reason", record_.last_end);
    }
    co_await give_final_answer();
}

asio::awaitable<bool> request_handler::wait_for_upstream()
{
    const auto now = monotonic_clock::now();
    const auto free_in = known_.upstreams.retry_after(asked_.service, now);
    const auto limit = std::min(
        asked_.route->latency_target / wait_divisor,
        asked_.received + asked_.route->latency_target / wait_divisor - now);
    if (waits_ >= max_waits || free_in > limit || record_.runs > 0)
    {
        co_return false;
    }
    ++waits_;
    asio::steady_timer timer(co_await asio::this_coro::executor, free_in);
    co_await timer.async_wait(completion);
    tried_.clear();
    co_return true;
}

duration request_handler::silence_limit(
    const serving::chosen_upstream& target) const
{
    const bool another = asked_.route->retryable() &&
                         record_.runs + 1 < asked_.route->max_attempts &&
                         record_.sent + 1 < max_sends;
    if (!another)
    {
        return asked_.time_left();
    }
    const int targets = asked_.route->kind == serving::route_kind::streaming
                            ? silent_targets
                            : 1;
    // An engine with a queue is not silent before its queue is through.
    const duration limit = asked_.route->latency_target * targets +
                           target.expected_wait * queue_allowance;
    return std::min(
        {asked_.time_left(), limit,
         asked_.route->latency_target * longest_silence});
}

http::open_options request_handler::options_for(
    const serving::chosen_upstream& target)
{
    control_ = std::make_shared<http::call_control>();
    const duration limit = silence_limit(target);
    silent_at_ = monotonic_clock::now() + limit;
    return http::open_options{
        .timeout = limit,
        .connect_timeout =
            std::min<duration>(connect_timeout, asked_.time_left()),
        .fresh_connection = !asked_.route->retryable(),
        .echoed_header = platform::request_id_header,
        .before_write =
            [this]
        {
            ++record_.sent;
            ++record_.runs;
        },
        .control = control_};
}

void request_handler::begin_attempt(
    const serving::chosen_upstream& target, const planned_dispatch& planned)
{
    const auto& id = target.entry.id;
    known_.upstreams.begin_attempt(id, planned.reading);
    unread_ = unread_prompt{
        .at = id,
        .reading = planned.reading,
        .sent = monotonic_clock::now(),
        .expected_wait = target.expected_wait,
        .fetched_from = planned.fetched_from};
    known_.unread_changed(id);
}

void request_handler::prompt_read(bool answered)
{
    if (!unread_)
    {
        return;
    }
    known_.upstreams.finish_prefill(unread_->at, unread_->reading);
    known_.unread_changed(unread_->at);
    if (answered && asked_.call.prompt)
    {
        const auto now = monotonic_clock::now();
        known_.caches.record_first_byte(
            unread_->fetched_from,
            now - unread_->sent - unread_->expected_wait - unread_->reading,
            asked_.route->latency_target, now);
    }
    unread_.reset();
}

void request_handler::end_attempt(
    const serving::chosen_upstream& target, const serving::attempt_result& how)
{
    prompt_read(false);
    record_.last_end = serving::name(how);
    known_.upstreams.end_attempt(target.entry.id, how, monotonic_clock::now());
    known_.metrics.count("wagtail_attempts_total", "end", record_.last_end);
    const bool worth_a_line = !std::holds_alternative<serving::answered>(how) &&
                              !std::holds_alternative<serving::abandoned>(how);
    if (worth_a_line)
    {
        telemetry::event("attempt_ended")
            .with("request", asked_.call.id)
            .with("attempt", record_.sent)
            .with("upstream", target.entry.id)
            .with("end", record_.last_end)
            .with("cost_us", target.cost.count())
            .with("in_flight", target.in_flight)
            .with(
                "failure_percent",
                static_cast<int>(target.failure_share * 100.0))
            .with("left_us", asked_.time_left().count());
    }
}

asio::awaitable<request_handler::next_step> request_handler::attempt(
    serving::chosen_upstream target)
{
    tried_.insert(target.entry.id);
    record_.last_upstream = target.entry.id;
    auto planned = plan_dispatch(
        known_, asked_, target,
        events_.last_id().empty() ? asked_.call.last_event_id
                                  : events_.last_id());
    record_.expected_wait = target.expected_wait;
    record_.dispatch = planned.facts;
    const auto options = options_for(target);
    begin_attempt(target, planned);
    // A silent upstream is avoided by others before this request ends.
    asio::steady_timer overdue(
        co_await asio::this_coro::executor,
        asked_.route->latency_target * silent_targets);
    overdue.async_wait(
        [&known = known_, id = target.entry.id](auto failed)
        {
            if (!failed)
            {
                known.upstreams.record_result(
                    id, serving::response_timed_out{}, monotonic_clock::now());
            }
        });
    auto opened = co_await upstreams_.open(
        target.entry.address, std::move(planned.message), options);
    overdue.cancel();
    if (!opened)
    {
        co_return after_open_failure(target, opened.error());
    }
    co_return co_await judge(target, std::move(opened).value());
}

request_handler::next_step request_handler::after_open_failure(
    const serving::chosen_upstream& target, const error& why)
{
    if (caller_gone_)
    {
        end_attempt(target, serving::abandoned{});
        record_.code = result_code::caller_gone;
        return next_step::finished;
    }
    if (why.code == result_code::upstream_unreachable)
    {
        end_attempt(target, serving::connect_failed{});
        record_.code = result_code::upstream_unreachable;
        return next_step::try_again;
    }
    const auto now = monotonic_clock::now();
    const bool late = now >= asked_.deadline;
    const bool silent = late || now >= silent_at_;
    end_attempt(
        target, silent ? serving::attempt_result(serving::response_timed_out{})
                       : serving::attempt_result(serving::response_failed{}));
    record_.code =
        late ? result_code::deadline_passed : result_code::outcome_unknown;
    return may_run_again() ? next_step::try_again : next_step::give_up;
}

serving::attempt_result request_handler::refusal_of(
    const serving::chosen_upstream& target,
    const platform::upstream_response& said) const
{
    if (!said.misdirected)
    {
        return serving::refused_busy{said.retry_after};
    }
    const bool other = said.instance && *said.instance != target.entry.id;
    if (other || !asked_.call.prompt)
    {
        return serving::misdirected{};
    }
    const auto& model = asked_.call.prompt->model;
    auto running = said.weights;
    const auto named = known_.weight_targets.find(model);
    if (!running && named != known_.weight_targets.end())
    {
        running = named->second.version;
    }
    return serving::weights_differ{.model = model, .running = running};
}

asio::awaitable<request_handler::next_step> request_handler::judge(
    const serving::chosen_upstream& target, http::response_stream stream)
{
    const auto said = platform::decode_response_head(stream.head());
    if (said.not_run)
    {
        --record_.runs;
        const auto end = refusal_of(target, said);
        end_attempt(target, end);
        if (std::holds_alternative<serving::weights_differ>(end))
        {
            // The same upstream serves it under the weights that it has.
            tried_.erase(target.entry.id);
        }
        record_.code = said.misdirected ? result_code::upstream_refused
                                        : result_code::upstream_busy;
        // Reads what is left, so that the connection can be used again.
        (void)co_await stream.read(connect_timeout);
        co_return next_step::try_again;
    }
    const bool failed = stream.head().status >= status_server_error;
    if (failed && (may_run_again() || head_sent_))
    {
        end_attempt(target, serving::response_failed{});
        record_.code = result_code::outcome_unknown;
        co_return may_run_again() ? next_step::try_again : next_step::give_up;
    }
    co_return co_await pass_on(target, stream);
}

asio::awaitable<void> request_handler::begin_answer(
    const http::response& received)
{
    prompt_read(true);
    if (!record_.first_byte)
    {
        record_.first_byte = monotonic_clock::now() - asked_.received;
    }
    if (head_sent_)
    {
        co_return;
    }
    auto head = platform::strip_hop_by_hop_headers(received);
    record_.status = head.status;
    if (cut_at_events())
    {
        // A part of it may come from another upstream.
        head.stream_length.reset();
    }
    head_sent_ = true;
    const auto begun = co_await exchange_.begin_stream(std::move(head));
    caller_gone_ = caller_gone_ || !begun;
}

bool request_handler::cut_at_events() const
{
    return asked_.route->kind == serving::route_kind::streaming &&
           asked_.route->resumable;
}

asio::awaitable<void> request_handler::pass_part(std::string_view part)
{
    std::string whole_events;
    if (cut_at_events())
    {
        whole_events = events_.feed(part);
        part = whole_events;
    }
    const auto written = co_await exchange_.write(part);
    caller_gone_ = caller_gone_ || !written;
}

asio::awaitable<void> request_handler::end_answer(
    const serving::chosen_upstream& target)
{
    const std::string rest = events_.partial();
    (void)co_await exchange_.write(rest);
    (void)co_await exchange_.end_stream();
    if (record_.status < status_server_error)
    {
        end_attempt(target, serving::answered{});
        record_.code = result_code::ok;
        co_return;
    }
    end_attempt(target, serving::response_failed{});
    record_.code = result_code::upstream_lost;
}

request_handler::next_step request_handler::after_break(
    const serving::chosen_upstream& target)
{
    end_attempt(target, serving::response_failed{});
    record_.code = asked_.time_left() <= duration::zero()
                       ? result_code::deadline_passed
                       : result_code::stream_broken;
    events_.drop_partial();
    return cut_at_events() && may_run_again() ? next_step::try_again
                                              : next_step::give_up;
}

asio::awaitable<request_handler::next_step> request_handler::pass_on(
    const serving::chosen_upstream& target, http::response_stream& stream)
{
    co_await begin_answer(stream.head());
    while (!caller_gone_)
    {
        const duration limit =
            cut_at_events() && may_run_again()
                ? std::min(
                      asked_.time_left(),
                      asked_.route->max_event_gap * silent_gaps)
                : asked_.time_left();
        const auto part = co_await stream.read(limit);
        if (!part && caller_gone_)
        {
            break;
        }
        if (!part)
        {
            co_return after_break(target);
        }
        if (part.value().empty())
        {
            co_await end_answer(target);
            co_return next_step::finished;
        }
        co_await pass_part(part.value());
    }
    stream.close();
    end_attempt(target, serving::abandoned{});
    record_.code = result_code::caller_gone;
    co_return next_step::finished;
}

asio::awaitable<void> request_handler::give_final_answer()
{
    if (head_sent_)
    {
        record_.code = result_code::stream_broken;
        exchange_.abort();
        co_return;
    }
    const auto now = monotonic_clock::now();
    if (record_.runs > 0 && record_.code != result_code::deadline_passed)
    {
        record_.code = result_code::outcome_unknown;
    }
    const bool never_ran = record_.runs == 0;
    const auto wait = std::clamp<duration>(
        known_.upstreams.retry_after(asked_.service, now), least_retry_after,
        std::max<duration>(
            least_retry_after, asked_.time_left() / retry_after_divisor));
    const unsigned status = never_ran ? 503 : status_of(record_.code);
    co_await answer(status, record_.code, never_ran ? wait : duration::zero());
}

asio::awaitable<void> request_handler::answer(
    unsigned status, result_code code, duration retry_after)
{
    constexpr unsigned status_unavailable = 503;
    record_.status = status;
    record_.code = code;
    if (status == status_unavailable)
    {
        known_.metrics.count_refusal(code);
    }
    auto message = platform::make_local_response(
        status, asked_.call.id, name(code),
        status == status_unavailable ? retry_after : duration::zero());
    (void)co_await exchange_.send(std::move(message));
}

} // namespace wagtailseam::gateway
