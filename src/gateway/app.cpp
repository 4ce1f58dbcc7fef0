// Servers, startup and shutdown of the gateway.
#include "gateway/app.hpp"

#include "gateway/placement_report.hpp"
#include "gateway/request_handler.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// The load balancer checks readiness every second and removes a process after
/// two failed checks.
constexpr std::chrono::milliseconds balancer_removal_time{2600};
constexpr std::chrono::milliseconds drain_poll_interval{50};
/// After new requests are refused, connections stay open for this time, since
/// requests are still on their way.
constexpr std::chrono::milliseconds late_request_time{1000};
/// Unfinished requests get their final response this time before the forced
/// termination of the process.
constexpr std::chrono::milliseconds response_margin{500};
/// The process ends this time before its forced termination.
constexpr std::chrono::milliseconds exit_margin{150};
constexpr std::chrono::milliseconds unacknowledged_timeout{1500};
constexpr std::chrono::seconds max_idle_time{4};
constexpr std::size_t max_idle_connections = 16;

/// Share of the process's memory for the bodies of requests. The rest is for
/// connections, responses, caches of state, and the allocator's fragmentation.
constexpr std::size_t body_memory_divisor = 8;
/// Descriptors that the platform reserves for files.
constexpr std::size_t file_descriptors = 200;
/// Each caller's connection may need another one to an upstream.
constexpr std::size_t descriptors_per_connection = 2;
/// Readiness checks and readers of the metrics are few and send no bodies.
constexpr std::size_t max_internal_connections = 64;
constexpr std::size_t max_internal_body_bytes = 4096;

http::body_budget_options make_body_budget(
    const platform::machine_limits& limits)
{
    http::body_budget_options budget;
    if (limits.memory_bytes)
    {
        budget.max_bytes = *limits.memory_bytes / body_memory_divisor;
    }
    return budget;
}

std::size_t max_caller_connections(const platform::machine_limits& limits)
{
    if (!limits.max_descriptors)
    {
        return http::server_options{}.max_connections;
    }
    const auto sockets =
        std::max(*limits.max_descriptors, 2 * file_descriptors) -
        file_descriptors;
    return sockets / descriptors_per_connection;
}

http::server_options make_internal_options(http::address listen)
{
    return {
        .listen = std::move(listen),
        .limits = {.max_body_bytes = max_internal_body_bytes},
        .max_connections = max_internal_connections};
}

http::address require_address(
    const std::optional<http::address>& address, const char* purpose)
{
    if (!address)
    {
        throw std::runtime_error(
            std::string("the settings contain no address for ") + purpose);
    }
    return *address;
}

} // namespace

app::app(
    asio::io_context& context, platform::process_settings settings,
    http::address metrics_listen)
    : context_(context), state_(std::move(settings)),
      upstream_client_(
          context.get_executor(), {.max_idle_connections = max_idle_connections,
                                   .max_idle_time = max_idle_time,
                                   .tcp_user_timeout = unacknowledged_timeout}),
      process_check_(state_, upstream_client_),
      caller_server_(
          context.get_executor(),
          {.listen = require_address(state_.settings.caller_listen, "callers"),
           .on_idle_closure = [this](const http::idle_closure& closure)
           { record_idle_closure(closure); },
           .on_eviction = [this](const http::eviction& evicted)
           { record_eviction(evicted); },
           .body_budget = make_body_budget(state_.settings.limits),
           .max_connections = max_caller_connections(state_.settings.limits)},
          [this](http::exchange& exchange) -> asio::awaitable<void>
          {
              request_handler handler(
                  state_, upstream_client_, process_check_, exchange);
              co_await handler.serve();
          }),
      readiness_server_(
          context.get_executor(),
          make_internal_options(
              require_address(state_.settings.readiness_listen, "readiness")),
          [this](http::exchange& exchange)
          { return serve_readiness(exchange); }),
      metrics_server_(
          context.get_executor(),
          make_internal_options(std::move(metrics_listen)),
          [this](http::exchange& exchange)
          { return serve_operator(exchange); }),
      state_updater_(context, state_, [this] { apply_server_limits(); })
{
    state_.is_running = [this](serving::upstream entry)
    { return process_check_.is_running(std::move(entry)); };
    state_.confirms_process = [this](serving::upstream entry)
    { return process_check_.confirms_process(std::move(entry)); };
    state_updater_.start();
    telemetry::event("started")
        .with("vm", state_.settings.vm)
        .with("data_centre", state_.settings.data_centre)
        .with("listen", *state_.settings.caller_listen)
        .with("store", state_.settings.row_store);
}

void app::apply_server_limits()
{
    const auto& limits = state_.routes->config().limits;
    caller_server_.set_limits(
        {.max_body_bytes = limits.max_body_bytes,
         .max_header_bytes = limits.max_header_bytes,
         .header_timeout = limits.header_timeout,
         .idle_timeout = limits.idle_timeout});
}

void app::record_idle_closure(const http::idle_closure& closure)
{
    state_.metrics.count("wagtail_idle_connections_closed_total");
    telemetry::event("idle_connection_closed")
        .with("idle_us", closure.idle.count())
        .with("limit_us", closure.limit.count())
        .with("unread_bytes", closure.unread_bytes);
}

void app::record_eviction(const http::eviction& evicted)
{
    state_.metrics.count(
        "wagtail_callers_evicted_total", "reason", name(evicted.reason));
    const auto suppressed =
        eviction_log_limiter_.try_acquire(monotonic_clock::now());
    if (!suppressed)
    {
        return;
    }
    telemetry::event("caller_evicted")
        .with("reason", name(evicted.reason))
        .with("request_bytes", evicted.request_bytes)
        .with("silence_us", evicted.silence.count())
        .with("lines_left_out", *suppressed);
}

bool app::is_ready() const
{
    return !state_.drain.response_deadline() && state_.routes &&
           state_.upstream_list_read && !state_.is_being_introduced();
}

asio::awaitable<void> app::serve_readiness(http::exchange& exchange)
{
    constexpr unsigned status_ok = 200;
    constexpr unsigned status_unavailable = 503;
    http::response response;
    response.status = is_ready() ? status_ok : status_unavailable;
    (void)co_await exchange.send(std::move(response));
}

asio::awaitable<void> app::serve_operator(http::exchange& exchange)
{
    if (exchange.received_request().path() != placement_path)
    {
        co_await serve_metrics(exchange);
        co_return;
    }
    const auto placement =
        explain_placement(state_, exchange.release_request());
    http::response response;
    response.content_type = "application/json";
    response.body = placement.dump();
    (void)co_await exchange.send(std::move(response));
}

asio::awaitable<void> app::serve_metrics(http::exchange& exchange)
{
    state_.metrics.set_gauge(
        "wagtail_upstreams", static_cast<double>(state_.upstreams.size()));
    state_.metrics.set_gauge(
        "wagtail_cached_parts",
        static_cast<double>(state_.caches.part_count()));
    state_.metrics.set_gauge(
        "wagtail_crash_records",
        static_cast<double>(state_.crashes.quarantine().size()));
    state_.metrics.set_gauge(
        "wagtail_upstream_limits",
        static_cast<double>(state_.statements.record().limit_count()));
    state_.metrics.set_gauge(
        "wagtail_upstreams_leaving",
        static_cast<double>(state_.statements.record().leaving_count()));
    state_.metrics.set_gauge(
        "wagtail_upstreams_paused",
        static_cast<double>(
            state_.statements.record().paused_count(monotonic_clock::now())));
    state_.metrics.set_gauge(
        "wagtail_uneven_upstreams",
        static_cast<double>(
            state_.upstreams.uneven_upstreams(monotonic_clock::now()).size()));
    state_.metrics.set_gauge(
        "wagtail_upstreams_cold",
        static_cast<double>(
            state_.statements.record().cold_count(monotonic_clock::now())));
    state_.metrics.set_gauge(
        "wagtail_data_centres_evacuated",
        static_cast<double>(state_.upstreams.evacuated().size()));
    state_.metrics.set_gauge(
        "wagtail_operator_age_seconds",
        std::chrono::duration<double>(
            monotonic_clock::now() - state_.operator_table_read_at)
            .count());
    http::response response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = state_.metrics.prometheus_text();
    (void)co_await exchange.send(std::move(response));
}

void app::drain()
{
    telemetry::event("draining")
        .with("active", caller_server_.active_exchanges());
    const auto now = monotonic_clock::now();
    const auto grace = state_.settings.bounds.shutdown_grace;
    state_.drain.begin(now + grace - response_margin);
    caller_server_.disable_keep_alive();
    asio::co_spawn(context_, finish_drain(now + grace), asio::detached);
}

void app::reload(const platform::process_settings& changed)
{
    state_.apply_bounds(changed.bounds);
    telemetry::event("settings_reloaded").with("vm", state_.settings.vm);
}

asio::awaitable<void> app::finish_drain(mono_time termination)
{
    const auto response_deadline = *state_.drain.response_deadline();
    const auto wait_for = [this](duration limit) -> asio::awaitable<void>
    {
        asio::steady_timer timer(context_, limit);
        co_await timer.async_wait(completion);
    };
    const auto wait_for_end = [&](mono_time deadline) -> asio::awaitable<void>
    {
        while (caller_server_.active_exchanges() > 0 &&
               monotonic_clock::now() < deadline)
        {
            co_await wait_for(drain_poll_interval);
        }
    };
    co_await wait_for(std::min<duration>(
        balancer_removal_time, response_deadline - monotonic_clock::now()));
    state_.drain.refuse_requests();
    co_await wait_for(std::min<duration>(
        late_request_time, response_deadline - monotonic_clock::now()));
    caller_server_.stop_accepting();
    co_await wait_for_end(response_deadline);
    const auto ended = state_.drain.end_requests();
    co_await wait_for_end(termination - exit_margin);
    telemetry::event("stopped")
        .with("ended", ended)
        .with("unfinished", caller_server_.active_exchanges());
    context_.stop();
}

} // namespace wagtailseam::gateway
