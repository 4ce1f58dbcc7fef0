// Servers, start and end of the gateway.
#include "gateway/app.hpp"

#include "gateway/request_handler.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stdexcept>

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// The balancer asks each second and drops a process after two misses.
constexpr std::chrono::milliseconds leave_notice{2600};
constexpr std::chrono::milliseconds drain_poll{50};
/// Kept free before the process would be killed.
constexpr std::chrono::milliseconds shutdown_margin{500};
constexpr std::chrono::milliseconds unacknowledged_timeout{1500};
constexpr std::chrono::seconds max_idle_time{4};
constexpr std::size_t max_idle_connections = 16;

http::address needed(
    const std::optional<http::address>& address, const char* what)
{
    if (!address)
    {
        throw std::runtime_error(std::string("no address for ") + what);
    }
    return *address;
}

} // namespace

app::app(
    asio::io_context& context, platform::process_settings settings,
    http::address metrics_listen)
    : context_(context), known_(std::move(settings)),
      upstreams_(
          context.get_executor(),
          {.max_idle = max_idle_connections,
           .max_idle_time = max_idle_time,
           .unacknowledged_timeout = unacknowledged_timeout}),
      callers_(
          context.get_executor(),
          {.listen = needed(known_.settings.caller_listen, "callers")},
          [this](http::exchange& exchange) -> asio::awaitable<void>
          {
              request_handler run(known_, upstreams_, exchange);
              co_await run.serve();
          }),
      readiness_(
          context.get_executor(),
          {.listen = needed(known_.settings.readiness_listen, "readiness")},
          [this](http::exchange& exchange)
          { return serve_readiness(exchange); }),
      metrics_(
          context.get_executor(), {.listen = std::move(metrics_listen)},
          [this](http::exchange& exchange) { return serve_metrics(exchange); }),
      feeds_(context, known_, [this] { configured(); })
{
    feeds_.start();
    telemetry::event("started")
        .with("vm", known_.settings.vm)
        .with("data_centre", known_.settings.data_centre)
        .with("listen", *known_.settings.caller_listen)
        .with("store", known_.settings.row_store);
}

void app::configured()
{
    const auto& limits = known_.routes->config().limits;
    callers_.apply(
        {.max_body_bytes = limits.max_body_bytes,
         .max_header_bytes = limits.max_header_bytes,
         .header_timeout = limits.header_timeout,
         .idle_timeout = limits.idle_timeout});
}

bool app::ready() const
{
    return !draining_ && known_.routes && known_.upstreams_listed;
}

asio::awaitable<void> app::serve_readiness(http::exchange& exchange)
{
    constexpr unsigned status_ok = 200;
    constexpr unsigned status_unavailable = 503;
    http::response answer;
    answer.status = ready() ? status_ok : status_unavailable;
    (void)co_await exchange.send(std::move(answer));
}

asio::awaitable<void> app::serve_metrics(http::exchange& exchange)
{
    known_.metrics.set(
        "wagtail_upstreams", static_cast<double>(known_.upstreams.size()));
    known_.metrics.set(
        "wagtail_cached_parts",
        static_cast<double>(known_.caches.part_count()));
    known_.metrics.set(
        "wagtail_operator_age_seconds",
        std::chrono::duration<double>(
            monotonic_clock::now() - known_.operator_heard)
            .count());
    http::response answer;
    answer.content_type = "text/plain; version=0.0.4";
    answer.body = known_.metrics.prometheus_text();
    (void)co_await exchange.send(std::move(answer));
}

void app::drain()
{
    telemetry::event("draining").with("active", callers_.active());
    draining_ = true;
    callers_.close_after_answers();
    asio::co_spawn(context_, finish_drain(), asio::detached);
}

void app::reload(const platform::process_settings& changed)
{
    known_.settings.bounds = changed.bounds;
    known_.budgets.clear();
    telemetry::event("settings_reloaded").with("vm", known_.settings.vm);
}

asio::awaitable<void> app::finish_drain()
{
    const auto begun = monotonic_clock::now();
    const auto last =
        begun + known_.settings.bounds.shutdown_grace - shutdown_margin;
    asio::steady_timer timer(context_, leave_notice);
    co_await timer.async_wait(completion);
    callers_.stop_accepting();
    while (callers_.active() > 0 && monotonic_clock::now() < last)
    {
        timer.expires_after(drain_poll);
        co_await timer.async_wait(completion);
    }
    telemetry::event("stopped").with("unfinished", callers_.active());
    context_.stop();
}

} // namespace wagtailseam::gateway
