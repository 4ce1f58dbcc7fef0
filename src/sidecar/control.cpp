// Control messages and the admin port of a sidecar.
#include "core/overloaded.hpp"
#include "sidecar/app.hpp"

#include <nlohmann/json.hpp>

namespace wagtailseam::sidecar
{
namespace
{

using kind = messages::control_request::KindCase;

void fill(messages::tombstone_reply& reply, attempt::tombstone_answer answer)
{
    std::visit(
        overloaded{
            [&reply](const attempt::never_begun&)
            { reply.set_state(messages::tombstone_reply::never_begun); },
            [&reply](const attempt::still_running&)
            { reply.set_state(messages::tombstone_reply::still_running); },
            [&reply](const attempt::has_finished& ended)
            {
                reply.set_state(messages::tombstone_reply::has_finished);
                if (ended.outcome)
                {
                    reply.set_has_outcome(true);
                    reply.set_status(ended.outcome->status);
                    reply.set_body(ended.outcome->body);
                }
            },
            [&reply](const attempt::cannot_tell& unsure)
            {
                reply.set_state(messages::tombstone_reply::cannot_tell);
                reply.set_reason(static_cast<std::uint32_t>(unsure.reason));
            }},
        answer);
}

} // namespace

asio::awaitable<messages::control_reply> app::answer_control(
    messages::control_request asked)
{
    messages::control_reply reply;
    spread_.observe_number(asked.config_number(), asked.sender_address());
    spread_.attach_number(reply);
    switch (asked.kind_case())
    {
    case kind::kTombstone:
        *reply.mutable_tombstone() = answer_tombstone(asked.tombstone());
        break;
    case kind::kCancel:
        *reply.mutable_cancel() = answer_cancel(asked.cancel());
        break;
    default:
        if (!spread_.handle_request(asked, reply) &&
            !cell_.answer(asked, reply))
        {
            reply.set_code(
                static_cast<std::uint32_t>(result_code::malformed_message));
        }
        break;
    }
    co_return reply;
}

messages::tombstone_reply app::answer_tombstone(
    const messages::tombstone_request& asked)
{
    const attempt::tombstone_arrived arrived{
        .attempt =
            {request_id{asked.request()}, attempt_number{asked.attempt()}},
        .sidecar_incarnation = incarnation{asked.incarnation()},
        .valid_until = attempt::sidecar_time(duration(asked.valid_until_us()))};
    const auto decided = gate_.handle(arrived, now());
    messages::tombstone_reply reply;
    if (const auto* const answer =
            std::get_if<attempt::answer_tombstone>(&decided))
    {
        fill(reply, answer->answer);
    }
    return reply;
}

messages::cancel_reply app::answer_cancel(const messages::cancel_request& asked)
{
    messages::cancel_reply reply;
    const bool mine =
        incarnation{asked.incarnation()} == gate_.sidecar_incarnation();
    const auto record = mine ? find(
                                   {request_id{asked.request()},
                                    attempt_number{asked.attempt()}})
                             : nullptr;
    if (record && !record->ended() && record->idempotent())
    {
        record->cancel();
        reply.set_was_running(true);
        metrics_.count("wagtail_attempts_cancelled_total");
    }
    return reply;
}

std::string app::status_json() const
{
    const upstream_report& report = monitor_.report();
    const nlohmann::json status{
        {"upstream", settings_.upstream.value()},
        {"role", name(settings_.role)},
        {"incarnation", gate_.sidecar_incarnation().value()},
        {"config_number", spread_.active_number().value()},
        {"config_ready", spread_.ready()},
        {"draining", gate_.draining()},
        {"upstream_ready", ready()},
        {"running", gate_.running()},
        {"kept_streams", records_.size()},
        {"kept_blocks", store_ ? store_->blocks() : 0},
        {"cell_members_live", cell_.live()},
        {"weight_version", report.version.value()},
        {"control_bytes_sent", traffic_.bytes_sent},
        {"control_bytes_received", traffic_.bytes_received}};
    return status.dump();
}

asio::awaitable<void> app::serve_admin(http::exchange& exchange)
{
    constexpr unsigned unavailable = 503;
    constexpr unsigned not_found = 404;
    const auto path = exchange.received_request().path();
    http::response answer;
    answer.content_type = "text/plain";
    if (path == "/healthz")
    {
        answer.body = "ok\n";
    }
    else if (path == "/readyz")
    {
        const bool ready = app::ready() && !gate_.draining();
        answer.status = ready ? 200 : unavailable;
        answer.body = ready ? "ready\n" : "not ready\n";
    }
    else if (path == "/metrics")
    {
        metrics_.set_gauge(
            "wagtail_control_bytes_sent",
            static_cast<double>(traffic_.bytes_sent));
        metrics_.set_gauge(
            "wagtail_control_bytes_received",
            static_cast<double>(traffic_.bytes_received));
        answer.body = metrics_.prometheus_text();
    }
    else if (path == "/status")
    {
        answer.content_type = "application/json";
        answer.body = status_json();
    }
    else
    {
        answer.status = not_found;
    }
    (void)co_await exchange.send(std::move(answer));
}

} // namespace wagtailseam::sidecar
