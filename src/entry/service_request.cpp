// Calls to services by request_run.
#include "entry/service_request.hpp"

#include "caller_http/answer_format.hpp"
#include "telemetry/event_log.hpp"

namespace wagtailseam::entry
{

messages::dispatch service_dispatch(
    const peers& shared, const configuration::workspace_settings& workspace,
    const caller_http::service_call& call)
{
    messages::dispatch asked;
    asked.set_workspace(workspace.id.value());
    asked.set_config_number(shared.config_in_force.value());
    asked.set_path("/call/" + call.operation);
    asked.set_body(call.body);
    if (call.key)
    {
        asked.set_idempotency_key(call.key->value());
    }
    return asked;
}

asio::awaitable<void> serve_idempotent_call(
    peers& shared, http::exchange& exchange, request_id id,
    configuration::workspace_settings workspace, caller_http::service_call call)
{
    std::string body;
    request_plan plan{
        .id = id,
        .need =
            {.kind = configuration::upstream_kind::service,
             .model = {},
             .version = {},
             .service = call.service},
        .deadline = monotonic_clock::now() + call.deadline,
        .make_dispatch =
            [&](const upstream_view&, const std::string&, std::uint32_t)
        {
            // A service's answer is not continued: it begins again.
            body.clear();
            return service_dispatch(shared, workspace, call);
        },
        .sink = [&body](std::string part) -> asio::awaitable<void>
        {
            body += part;
            co_return;
        }};
    request_run attempts(shared, std::move(plan));
    exchange.on_caller_disconnect([&attempts] { attempts.caller_left(); });
    const request_result ended = co_await attempts.run();
    telemetry::event("service_call_ended")
        .with("request", id)
        .with("workspace", workspace.id)
        .with("upstream", ended.upstream)
        .with("attempts", ended.attempts)
        .with("reason", ended.code);
    shared.metrics.count("wagtail_requests_total", "reason", name(ended.code));
    if (ended.code != result_code::ok)
    {
        shared.metrics.count_refusal(ended.code);
        (void)co_await exchange.send(caller_http::error_answer(
            id, error{ended.code}, ended.retry_after));
        co_return;
    }
    http::response answer;
    answer.status = ended.status;
    answer.body = std::move(body);
    answer.headers.emplace_back("X-Request-Id", id.value());
    (void)co_await exchange.send(std::move(answer));
}

} // namespace wagtailseam::entry
