// I/O of one attempt.
#include "entry/attempt_run.hpp"

#include "entry/tombstone_call.hpp"
#include "messages/delimited.hpp"
#include "peer/signed_http.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wagtailseam::entry
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
/// The core decides when to give up; this only frees a dead connection.
constexpr std::chrono::seconds stream_silence{130};
constexpr std::chrono::milliseconds control_timeout{300};
constexpr unsigned status_ok = 200;

} // namespace

messages::control_reply decode_refusal(const result<http::response>& answer)
{
    messages::control_reply refusal;
    // A message without a code parses too, and its code is that of a success.
    if (!answer || !refusal.ParseFromString(answer.value().body) ||
        refusal.code() == static_cast<std::uint32_t>(result_code::ok))
    {
        refusal.set_code(
            static_cast<std::uint32_t>(result_code::outcome_unknown));
    }
    return refusal;
}

attempt_run::attempt_run(
    peers& shared, attempt::attempt_options options, messages::dispatch asked,
    payload_sink sink)
    : shared_(shared), core_(std::move(options)), asked_(std::move(asked)),
      sink_(std::move(sink)), timer_(shared.context),
      concluded_(shared.context, asio::steady_timer::time_point::max())
{
    const auto& wanted = core_.options();
    asked_.set_request(wanted.id.request.value());
    asked_.set_attempt(wanted.id.number.value());
    asked_.set_incarnation(wanted.target.sidecar_incarnation.value());
    asked_.set_valid_until_us(
        wanted.target.valid_until.time_since_epoch().count());
    asked_.set_idempotent(wanted.idempotent);
    asked_.set_entry(shared.settings.entry.value());
    asked_.set_entry_address(shared.settings.control_listen.value());
}

asio::awaitable<attempt::attempt_result> attempt_run::run()
{
    const auto self = shared_from_this();
    const upstream_id upstream = core_.options().target.upstream;
    shared_.upstreams.attempt_started(upstream);
    feed(attempt::start{});
    while (!verdict_ || delivering_)
    {
        co_await concluded_.async_wait(completion);
    }
    shared_.upstreams.attempt_ended(upstream);
    timer_.cancel();
    ++reader_;
    co_return *verdict_;
}

void attempt_run::feed(const attempt::attempt_event& event)
{
    for (const auto& command : core_.handle(event, monotonic_clock::now()))
    {
        obey(command);
    }
}

void attempt_run::obey(const attempt::attempt_command& command)
{
    std::visit([this](const auto& known) { obey_one(known); }, command);
}

void attempt_run::obey_one(const attempt::send_dispatch&)
{
    asio::co_spawn(
        shared_.context,
        [self = shared_from_this()] { return self->dispatch(); },
        asio::detached);
}

void attempt_run::obey_one(const attempt::send_tombstone&)
{
    if (!std::exchange(asking_, true))
    {
        asio::co_spawn(
            shared_.context,
            [self = shared_from_this()] { return self->ask_tombstone(); },
            asio::detached);
    }
}

void attempt_run::obey_one(const attempt::resume_stream& command)
{
    if (!std::exchange(resuming_, true))
    {
        shared_.metrics.count_retry(result_code::stream_broken);
        asio::co_spawn(
            shared_.context,
            [self = shared_from_this(), next = command.next_frame]
            { return self->resume(next); },
            asio::detached);
    }
}

void attempt_run::obey_one(const attempt::deliver& command)
{
    undelivered_ += command.payload;
}

void attempt_run::obey_one(const attempt::cancel_run&)
{
    asio::co_spawn(
        shared_.context,
        [self = shared_from_this()] { return self->ask_cancel(); },
        asio::detached);
}

void attempt_run::obey_one(const attempt::set_timer& command)
{
    const duration left = command.at - monotonic_clock::now();
    timer_.expires_after(left);
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code failed)
        {
            const auto self = weak.lock();
            if (!failed && self && !self->verdict_)
            {
                self->feed(attempt::timer_expired{});
            }
        });
}

void attempt_run::obey_one(const attempt::report_result& command)
{
    verdict_ = command.result;
    concluded_.cancel();
}

http::address attempt_run::data_address() const
{
    const auto* const view =
        shared_.upstreams.find(core_.options().target.upstream);
    return http::address{view != nullptr ? view->settings.sidecar : ""};
}

asio::awaitable<void> attempt_run::dispatch()
{
    const http::address to = data_address();
    const std::uint64_t reader = ++reader_;
    http::request request = peer::signed_post(
        shared_.keys, shared_.random.bits(), "/v1/dispatch",
        asked_.SerializeAsString());
    std::function<void()> on_sent = [this]
    { feed(attempt::dispatch_written{}); };
    auto opened = co_await shared_.client.open(
        to, std::move(request), stream_silence, std::move(on_sent));
    if (!opened)
    {
        const bool unreachable =
            opened.error().code == result_code::upstream_unreachable;
        unreachable ? feed(attempt::connect_failed{})
                    : feed(attempt::connection_lost{});
        co_return;
    }
    if (opened.value().head().status != status_ok)
    {
        const auto answer = co_await http::read_to_end(
            std::move(opened).value(), control_timeout);
        const auto refusal = decode_refusal(answer);
        const auto code = result_code_from_number(refusal.code());
        if (code == result_code::stale_configuration)
        {
            // Catches up first, so that the next attempt is not refused too.
            (void)co_await shared_.spread->wait_for_number(
                refusal.config_number(), peer::control_address(to).value(),
                control_timeout);
        }
        feed(attempt::dispatch_refused{code});
        co_return;
    }
    feed(attempt::dispatch_accepted{});
    co_await read_frames(std::move(opened).value(), reader);
}

asio::awaitable<void> attempt_run::resume(std::uint64_t next_frame)
{
    const http::address to = data_address();
    messages::resume asked;
    asked.set_request(asked_.request());
    asked.set_attempt(asked_.attempt());
    asked.set_incarnation(asked_.incarnation());
    asked.set_next_frame(next_frame);
    http::request request = peer::signed_post(
        shared_.keys, shared_.random.bits(), "/v1/resume",
        asked.SerializeAsString());
    const std::uint64_t reader = ++reader_;
    auto opened =
        co_await shared_.client.open(to, std::move(request), stream_silence);
    resuming_ = false;
    if (!opened)
    {
        // The core's timer asks again while it is worth it.
        co_return;
    }
    if (opened.value().head().status != status_ok)
    {
        feed(attempt::resume_refused{});
        co_return;
    }
    co_await read_frames(std::move(opened).value(), reader);
}

asio::awaitable<void> attempt_run::read_frames(
    http::response_stream stream, std::uint64_t reader)
{
    messages::delimited_reader frames;
    while (!verdict_ && reader == reader_)
    {
        const auto bytes = co_await stream.read(stream_silence);
        if (verdict_ || reader != reader_)
        {
            co_return;
        }
        const bool broken = !bytes || bytes.value().empty();
        // The verdict may come with these frames; run() must not return
        // before their payload was delivered.
        delivering_ = true;
        const bool malformed = !broken && !take_frames(frames, bytes.value());
        if (!undelivered_.empty())
        {
            co_await sink_(std::exchange(undelivered_, {}));
        }
        delivering_ = false;
        if (broken || malformed)
        {
            feed(attempt::connection_lost{});
            co_return;
        }
    }
    concluded_.cancel();
    // The rest of the body is its end; then the connection is used again.
    (void)co_await stream.read(control_timeout);
}

bool attempt_run::take_frames(
    messages::delimited_reader& frames, std::string_view bytes)
{
    frames.feed(bytes);
    messages::frame frame;
    for (;;)
    {
        const auto more = frames.next(frame);
        if (!more || !more.value())
        {
            return more.has_value();
        }
        take_frame(std::move(frame));
    }
}

void attempt_run::take_frame(messages::frame frame)
{
    const attempt::attempt_id id{
        request_id{frame.request()}, attempt_number{frame.attempt()}};
    const incarnation life{frame.incarnation()};
    if (!frame.has_end())
    {
        tokens_ += frame.tokens();
        feed(attempt::frame{
            id, life, frame.number(), std::move(*frame.mutable_payload())});
        return;
    }
    const bool mine = id == core_.options().id &&
                      life == core_.options().target.sidecar_incarnation;
    const messages::stream_end& end = frame.end();
    const auto code = result_code_from_number(end.code());
    if (mine && code != result_code::ok)
    {
        feed(attempt::run_failed{});
        return;
    }
    if (mine)
    {
        last_ = end;
    }
    feed(attempt::end_frame{
        id, life, end.frames(), digest::from_bytes(end.digest()),
        end.status()});
}

asio::awaitable<void> attempt_run::ask_tombstone()
{
    const auto answer = co_await send_tombstone(
        shared_, core_.options().id, core_.options().target);
    asking_ = false;
    if (answer)
    {
        feed(attempt::tombstone_replied{*answer});
    }
}

asio::awaitable<void> attempt_run::ask_cancel()
{
    messages::control_request asked;
    asked.set_sender(shared_.settings.entry.value());
    asked.set_config_number(shared_.config_in_force.value());
    auto& cancel = *asked.mutable_cancel();
    cancel.set_request(asked_.request());
    cancel.set_attempt(asked_.attempt());
    cancel.set_incarnation(asked_.incarnation());
    const http::address to = peer::control_address(data_address());
    (void)co_await shared_.control.ask(to, std::move(asked), control_timeout);
}

} // namespace wagtailseam::entry
