// Routes of callers, shutdown.
#include "entry/app.hpp"

#include "entry/chat.hpp"
#include "entry/service_request.hpp"
#include "peer/signed_http.hpp"
#include "runtime/program.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wagtailseam::entry
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
/// The balancer sees readiness fail before connections are refused.
constexpr std::chrono::seconds drain_notice{1};
constexpr std::chrono::milliseconds drain_poll{20};
/// How long a stopping entry goes on recording outcomes.
constexpr std::chrono::seconds record_notice{10};

} // namespace

app::app(
    asio::io_context& context, entry_settings settings,
    identity::process_keys keys)
    : shared_(context, std::move(settings), std::move(keys)), filings_(shared_),
      cells_(shared_),
      id_prefix_(
          shared_.settings.entry.value() + "-" +
          std::to_string(runtime::random_incarnation() % 1'000'000'007) + "-"),
      caller_server_(
          context.get_executor(), {.listen = shared_.settings.caller_listen},
          [this](http::exchange& exchange) { return serve_caller(exchange); }),
      admin_server_(
          context.get_executor(), {.listen = shared_.settings.admin_listen},
          [this](http::exchange& exchange) { return serve_admin(exchange); }),
      control_server_(
          context.get_executor(), shared_.settings.control_listen, shared_.keys,
          shared_.traffic,
          [this](messages::control_request asked)
          { return answer_control(std::move(asked)); })
{
    shared_.spread = std::make_unique<spread::distributor>(
        context, shared_.control, shared_.platform, shared_.metrics,
        spread::distributor_options{
            .polls_head = true,
            .control_address = shared_.settings.control_listen,
            .peers = shared_.settings.configuration_peers,
            .seed = shared_.random.bits(),
            .on_activated =
                [this](config_number number, configuration::configuration made)
            { configure(number, std::move(made)); }});
    shared_.spread->start();
    telemetry::event("started")
        .with("entry", shared_.settings.entry)
        .with("listen", shared_.settings.caller_listen);
}

app::~app() = default;

void app::configure(config_number number, configuration::configuration accepted)
{
    BOOST_ASSERT(number >= shared_.config_in_force);
    shared_.config = std::make_shared<const configuration::configuration>(
        std::move(accepted));
    shared_.config_in_force = number;
    shared_.upstreams.configure(*shared_.config);
    cells_.configure(*shared_.config);
    telemetry::event("configured").with("number", number);
}

request_id app::next_request_id()
{
    return request_id{id_prefix_ + std::to_string(++requests_)};
}

result<configuration::workspace_settings> app::authenticate(
    const http::request& asked) const
{
    BOOST_OUTCOME_TRY(const auto key, caller_http::bearer_key(asked));
    const auto* const workspace =
        configuration::find_workspace_by_key(*shared_.config, key);
    if (workspace == nullptr)
    {
        return fail(result_code::unknown_caller_key);
    }
    return *workspace;
}

asio::awaitable<void> app::answer_error(
    http::exchange& exchange, const request_id& id, error why)
{
    shared_.metrics.count_refusal(why.code);
    telemetry::event("request_refused")
        .with("request", id)
        .with("reason", why.code);
    (void)co_await exchange.send(caller_http::error_answer(id, why));
}

asio::awaitable<void> app::serve_caller(http::exchange& exchange)
{
    const auto path = exchange.received_request().path();
    if (path == "/healthz" || path == "/readyz")
    {
        (void)co_await exchange.send(admin_page(exchange.received_request()));
        co_return;
    }
    const request_id id = next_request_id();
    if (shared_.draining || !shared_.configured())
    {
        const auto code =
            shared_.draining ? result_code::draining : result_code::not_ready;
        co_await answer_error(exchange, id, error{code});
        co_return;
    }
    auto workspace = authenticate(exchange.received_request());
    if (!workspace)
    {
        co_await answer_error(exchange, id, workspace.error());
        co_return;
    }
    const bool post = exchange.received_request().method == "POST";
    if (post && path == "/v1/chat/completions")
    {
        co_await serve_chat(exchange, id, std::move(workspace).value());
    }
    else if (post && path.starts_with("/v1/services/"))
    {
        co_await serve_service(exchange, id, std::move(workspace).value());
    }
    else
    {
        co_await answer_error(exchange, id, error{result_code::unknown_route});
    }
}

asio::awaitable<void> app::serve_chat(
    http::exchange& exchange, request_id id,
    configuration::workspace_settings workspace)
{
    auto request = caller_http::parse_chat(exchange.received_request());
    if (!request)
    {
        co_await answer_error(exchange, id, request.error());
        co_return;
    }
    chat answer(
        shared_, exchange, id, std::move(workspace),
        std::move(request).value());
    co_await answer.run();
}

asio::awaitable<void> app::serve_service(
    http::exchange& exchange, request_id id,
    configuration::workspace_settings workspace)
{
    auto call = caller_http::parse_service_call(exchange.received_request());
    if (!call)
    {
        co_await answer_error(exchange, id, call.error());
        co_return;
    }
    const auto& service = call.value().service;
    const auto& allowed = workspace.services;
    const bool permitted =
        std::find(allowed.begin(), allowed.end(), service) != allowed.end();
    const auto* const request =
        permitted ? configuration::find_request(
                        *shared_.config, service, call.value().operation)
                  : nullptr;
    if (request == nullptr)
    {
        co_await answer_error(
            exchange, id, error{result_code::unknown_service});
        co_return;
    }
    if (request->idempotent)
    {
        co_await serve_idempotent_call(
            shared_, exchange, id, std::move(workspace),
            std::move(call).value());
        co_return;
    }
    if (!call.value().key)
    {
        co_await answer_error(
            exchange, id, error{result_code::missing_idempotency_key});
        co_return;
    }
    co_await filings_.serve(
        exchange, id, std::move(workspace), std::move(call).value());
}

void app::drain()
{
    telemetry::event("draining")
        .with("active", caller_server_.active_exchanges());
    shared_.draining = true;
    asio::co_spawn(shared_.context, finish_drain(), asio::detached);
}

asio::awaitable<void> app::finish_drain()
{
    asio::steady_timer timer(shared_.context, drain_notice);
    co_await timer.async_wait(completion);
    caller_server_.stop_accepting();
    while (caller_server_.active_exchanges() > 0)
    {
        timer.expires_after(drain_poll);
        co_await timer.async_wait(completion);
    }
    // Outcomes that the table could not take yet are kept by the sidecars.
    const auto give_up = asio::steady_timer::clock_type::now() + record_notice;
    while (filings_.active() > 0 &&
           asio::steady_timer::clock_type::now() < give_up)
    {
        timer.expires_after(drain_poll);
        co_await timer.async_wait(completion);
    }
    telemetry::event("stopped").with("entry", shared_.settings.entry);
    shared_.context.stop();
}

} // namespace wagtailseam::entry
