// Dispatches and their streams.
#include "sidecar/app.hpp"

#include "cell_gossip/log_scale.hpp"
#include "core/overloaded.hpp"
#include "peer/signed_http.hpp"
#include "runtime/program.hpp"
#include "sidecar/upstream_run.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wagtailseam::sidecar
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
/// How long frames stay after the end, for streams that are resumed.
constexpr std::chrono::seconds record_retention{15};
/// How long an idempotent run goes on without a reader.
constexpr std::chrono::seconds orphan_timeout{5};
/// Entries learn that this sidecar leaves before it stops listening.
constexpr std::chrono::seconds drain_notice{1};
constexpr std::chrono::milliseconds drain_poll{50};
constexpr std::chrono::seconds store_tick_interval{1};
/// How long a dispatch waits for this process to catch up.
constexpr std::chrono::milliseconds catch_up_timeout{300};
constexpr unsigned status_refused = 409;
constexpr unsigned status_gone = 410;

attempt::attempt_id id_of(const auto& message)
{
    return {request_id{message.request()}, attempt_number{message.attempt()}};
}

attempt::sidecar_time sidecar_time_of(std::int64_t microseconds)
{
    return attempt::sidecar_time(duration(microseconds));
}

} // namespace

app::app(
    asio::io_context& context, sidecar_settings settings,
    identity::process_keys keys)
    : context_(context), settings_(std::move(settings)), keys_(std::move(keys)),
      client_(context.get_executor()),
      platform_(context.get_executor(), {.platform = settings_.platform}),
      control_client_(context.get_executor(), keys_, traffic_),
      gate_(attempt::dispatch_admission_options{
          .sidecar_incarnation = incarnation{runtime::random_incarnation()}}),
      monitor_(client_, settings_.upstream_address),
      kept_cache_(
          context, client_, keys_, metrics_, settings_.upstream_address),
      spread_(
          context, control_client_, platform_, metrics_,
          {.control_address = peer::control_address(settings_.listen),
           .peers = settings_.configuration_peers,
           .seed = runtime::random_incarnation(),
           .on_activated = [this](config_number number, const auto& accepted)
           { configure(number, accepted); }}),
      cell_(
          context, control_client_, settings_.upstream,
          gate_.sidecar_incarnation(), runtime::random_incarnation()),
      data_server_(
          context.get_executor(), {.listen = settings_.listen},
          [this](http::exchange& exchange) { return serve_data(exchange); }),
      admin_server_(
          context.get_executor(), {.listen = settings_.admin_listen},
          [this](http::exchange& exchange) { return serve_admin(exchange); }),
      control_server_(
          context.get_executor(), peer::control_address(settings_.listen),
          keys_, traffic_,
          [this](messages::control_request asked)
          { return answer_control(std::move(asked)); })
{
    if (settings_.role == configuration::upstream_kind::store)
    {
        store_ = std::make_unique<store_service>(
            kept_cache::block_store_options{
                .memory_capacity = settings_.store_memory},
            gate_.sidecar_incarnation(),
            random_source(runtime::random_incarnation()), metrics_);
        asio::co_spawn(context_, expire_pins(), asio::detached);
    }
    else
    {
        const auto version_changed = [this](weight_version version)
        {
            (void)gate_.handle(attempt::weight_version_changed{version}, now());
            kept_cache_.version_changed(version);
        };
        asio::co_spawn(context_, monitor_.run(version_changed), asio::detached);
    }
    asio::co_spawn(context_, report_self(), asio::detached);
    spread_.start();
    telemetry::event("started")
        .with("upstream", settings_.upstream)
        .with("incarnation", gate_.sidecar_incarnation())
        .with("listen", settings_.listen);
}

app::~app() = default;

attempt::sidecar_time app::now() const
{
    return attempt::sidecar_time(monotonic_clock::now().time_since_epoch());
}

std::shared_ptr<attempt_record> app::find(const attempt::attempt_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : found->second;
}

void app::configure(
    config_number number, const configuration::configuration& accepted)
{
    (void)gate_.handle(attempt::config_learned{number}, now());
    cell_.configure(accepted, spread_);
}

asio::awaitable<void> app::report_self()
{
    using cell_gossip::encode_log_scale;
    using cell_gossip::member_state;
    asio::steady_timer timer(context_);
    for (;;)
    {
        const upstream_report& report = monitor_.report();
        const auto state = gate_.draining() ? member_state::draining
                           : ready()        ? member_state::ready
                                            : member_state::upstream_down;
        const auto queued = static_cast<double>(report.queued_tokens.value());
        cell_.set_self(
            {.process_incarnation = gate_.sidecar_incarnation(),
             .state = state,
             .running_version = report.version},
            {.queued_tokens = encode_log_scale(queued),
             .prefill_rate = encode_log_scale(report.prefill_rate.value()),
             .running_requests =
                 encode_log_scale(static_cast<double>(gate_.running()))});
        timer.expires_after(upstream_monitor::poll_interval);
        co_await timer.async_wait(completion);
    }
}

void app::count_refusal(result_code code, const attempt::attempt_id& id)
{
    metrics_.count_refusal(code);
    telemetry::event("dispatch_refused")
        .with("request", id.request)
        .with("attempt", id.number)
        .with("reason", code);
}

asio::awaitable<void> app::serve_data(http::exchange& exchange)
{
    const auto checked =
        peer::check_signature(keys_, exchange.received_request());
    if (!checked)
    {
        co_await refuse(exchange, checked.error().code, "unsigned request");
        co_return;
    }
    if (store_ && store_service::serves(exchange.received_request().path()))
    {
        (void)co_await exchange.send(store_->handle(
            exchange.received_request(), monotonic_clock::now()));
    }
    else if (!store_ && exchange.received_request().path() == "/v1/dispatch")
    {
        co_await serve_dispatch(exchange);
    }
    else if (!store_ && exchange.received_request().path() == "/v1/resume")
    {
        co_await serve_resume(exchange);
    }
    else
    {
        co_await refuse(exchange, result_code::unknown_route, "");
    }
}

asio::awaitable<void> app::refuse(
    http::exchange& exchange, result_code code, std::string detail)
{
    messages::control_reply refusal;
    refusal.set_code(static_cast<std::uint32_t>(code));
    refusal.set_detail(std::move(detail));
    refusal.set_config_number(gate_.config().value());
    http::response answer;
    answer.status = is_not_run(code) ? status_refused : status_gone;
    answer.content_type = "application/x-protobuf";
    answer.body = refusal.SerializeAsString();
    (void)co_await exchange.send(std::move(answer));
}

asio::awaitable<void> app::serve_dispatch(http::exchange& exchange)
{
    messages::dispatch asked;
    if (!asked.ParseFromString(exchange.received_request().body))
    {
        co_await refuse(exchange, result_code::malformed_message, "dispatch");
        co_return;
    }
    const attempt::attempt_id id = id_of(asked);
    const auto matched = co_await spread_.wait_for_number(
        asked.config_number(), asked.entry_address(), catch_up_timeout);
    if (!matched)
    {
        count_refusal(matched.error().code, id);
        co_await refuse(exchange, matched.error().code, matched.error().detail);
        co_return;
    }
    const attempt::dispatch_arrived arrived{
        .attempt = id,
        .sidecar_incarnation = incarnation{asked.incarnation()},
        .valid_until = sidecar_time_of(asked.valid_until_us()),
        .version = weight_version{asked.weight_version()},
        .config = config_number{asked.config_number()}};
    const auto decided = gate_.handle(arrived, now());
    if (const auto* const no = std::get_if<attempt::refuse_dispatch>(&decided))
    {
        count_refusal(no->code, id);
        co_await refuse(exchange, no->code, "");
        co_return;
    }
    const bool first = std::holds_alternative<attempt::begin_run>(decided);
    const auto record = first ? begin(asked) : find(id);
    if (!record)
    {
        co_await refuse(exchange, result_code::outcome_unknown, "forgotten");
        co_return;
    }
    co_await record->wait_started();
    if (record->refusal())
    {
        count_refusal(*record->refusal(), id);
        co_await refuse(exchange, *record->refusal(), "upstream not reached");
        co_return;
    }
    co_await stream_frames(exchange, record, 0);
}

asio::awaitable<void> app::serve_resume(http::exchange& exchange)
{
    messages::resume asked;
    const bool parsed = asked.ParseFromString(exchange.received_request().body);
    const auto record = parsed && incarnation{asked.incarnation()} ==
                                      gate_.sidecar_incarnation()
                            ? find(id_of(asked))
                            : nullptr;
    if (!record)
    {
        co_await refuse(exchange, result_code::outcome_unknown, "no stream");
        co_return;
    }
    metrics_.count("wagtail_streams_resumed_total");
    co_await stream_frames(exchange, record, asked.next_frame());
}

std::shared_ptr<attempt_record> app::begin(const messages::dispatch& asked)
{
    const attempt::attempt_id id = id_of(asked);
    auto record = std::make_shared<attempt_record>(
        context_.get_executor(), id, gate_.sidecar_incarnation(),
        asked.idempotent());
    records_.emplace(id, record);
    metrics_.count("wagtail_attempts_begun_total");
    asio::co_spawn(context_, run(asked, record), asio::detached);
    return record;
}

asio::awaitable<void> app::run(
    messages::dispatch asked, std::shared_ptr<attempt_record> record)
{
    const bool engine = settings_.role == configuration::upstream_kind::engine;
    if (engine)
    {
        co_await kept_cache_.bring(asked);
    }
    const weight_version planned{asked.weight_version()};
    if (engine && monitor_.report().version != planned)
    {
        // The weights were swapped while pieces came; nothing was sent yet.
        record->refuse(result_code::weight_version_mismatch);
        record->end({});
        (void)gate_.handle(attempt::run_lost{record->id()}, now());
        records_.erase(record->id());
        co_return;
    }
    const run_end ended =
        engine ? co_await run_at_engine(
                     client_, settings_.upstream_address, asked, record)
               : co_await run_at_service(
                     client_, settings_.upstream_address, asked, record);
    const attempt::attempt_id id = record->id();
    if (ended.code == result_code::ok)
    {
        if (engine)
        {
            kept_cache_.export_later(asked);
        }
        (void)gate_.handle(
            attempt::run_finished{id, {ended.status, record->body()}}, now());
    }
    else
    {
        (void)gate_.handle(attempt::run_lost{id}, now());
    }
    metrics_.count("wagtail_attempts_ended_total", "reason", name(ended.code));
    asio::steady_timer timer(context_, record_retention);
    co_await timer.async_wait(completion);
    records_.erase(id);
}

asio::awaitable<void> app::stream_frames(
    http::exchange& exchange, std::shared_ptr<attempt_record> record,
    std::uint64_t from)
{
    http::response head;
    head.content_type = "application/octet-stream";
    record->add_reader();
    auto sent = co_await exchange.begin_stream(std::move(head));
    std::uint64_t next = from;
    while (sent && !record->exhausted(next))
    {
        co_await record->wait_for_frame(next);
        std::string frames;
        next = record->copy_frames(next, frames);
        sent = co_await exchange.write(frames);
    }
    if (sent)
    {
        sent = co_await exchange.end_stream();
    }
    record->remove_reader();
    if (!sent && !record->ended())
    {
        metrics_.count("wagtail_streams_broken_total");
        asio::co_spawn(context_, cancel_when_orphaned(record), asio::detached);
    }
}

asio::awaitable<void> app::cancel_when_orphaned(
    std::shared_ptr<attempt_record> record)
{
    if (!record->idempotent())
    {
        co_return;
    }
    asio::steady_timer timer(context_, orphan_timeout);
    co_await timer.async_wait(completion);
    if (record->readers() == 0)
    {
        record->cancel();
    }
}

bool app::ready() const noexcept
{
    return store_ != nullptr || monitor_.report().ready;
}

asio::awaitable<void> app::expire_pins()
{
    asio::steady_timer timer(context_);
    for (;;)
    {
        timer.expires_after(store_tick_interval);
        co_await timer.async_wait(completion);
        store_->tick(monotonic_clock::now());
    }
}

void app::drain()
{
    telemetry::event("draining").with("running", gate_.running());
    (void)gate_.handle(attempt::drain_started{}, now());
    asio::co_spawn(context_, finish_drain(), asio::detached);
}

asio::awaitable<void> app::finish_drain()
{
    asio::steady_timer timer(context_, drain_notice);
    co_await timer.async_wait(completion);
    while (gate_.running() > 0 || data_server_.active_exchanges() > 0)
    {
        timer.expires_after(drain_poll);
        co_await timer.async_wait(completion);
    }
    telemetry::event("stopped").with("upstream", settings_.upstream);
    context_.stop();
}

} // namespace wagtailseam::sidecar
