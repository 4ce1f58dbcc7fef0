// Admin port and control messages of an entry.
#include "entry/app.hpp"

#include <nlohmann/json.hpp>

namespace wagtailseam::entry
{
namespace
{

using nlohmann::json;

constexpr unsigned status_unavailable = 503;
constexpr unsigned status_not_found = 404;
constexpr std::string_view explain_root = "/explain/";

} // namespace

http::response app::admin_page(const http::request& asked)
{
    const auto path = asked.path();
    http::response answer;
    answer.content_type = "text/plain";
    if (path == "/healthz")
    {
        answer.body = "ok\n";
    }
    else if (path == "/readyz")
    {
        const bool ready = shared_.configured() && !shared_.draining;
        answer.status = ready ? 200 : status_unavailable;
        answer.body = ready ? "ready\n" : "not ready\n";
    }
    else if (path == "/metrics")
    {
        const auto& traffic = shared_.traffic;
        const auto& calls = shared_.platform.calls();
        const auto set = [this](std::string_view family, std::uint64_t value)
        { shared_.metrics.set_gauge(family, static_cast<double>(value)); };
        set("wagtail_control_bytes_sent", traffic.bytes_sent);
        set("wagtail_control_bytes_received", traffic.bytes_received);
        set("wagtail_control_messages_sent", traffic.messages_sent);
        set("wagtail_bad_signatures", traffic.bad_signatures);
        set("wagtail_platform_reads", calls.reads);
        set("wagtail_platform_writes", calls.writes);
        set("wagtail_config_number", shared_.config_in_force.value());
        answer.body = shared_.metrics.prometheus_text();
    }
    else if (path == "/status")
    {
        answer.content_type = "application/json";
        answer.body = status_json();
    }
    else if (path.starts_with(explain_root))
    {
        answer.content_type = "application/json";
        answer.body = explain_json(
            request_id{std::string(path.substr(explain_root.size()))});
        answer.status = answer.body.empty() ? status_not_found : 200;
    }
    else
    {
        answer.status = status_not_found;
    }
    return answer;
}

asio::awaitable<void> app::serve_admin(http::exchange& exchange)
{
    (void)co_await exchange.send(admin_page(exchange.received_request()));
}

std::string app::status_json() const
{
    json upstreams = json::array();
    for (const auto& [id, view] : shared_.upstreams.all())
    {
        upstreams.push_back(
            {{"upstream", id.value()},
             {"kind", name(view.settings.kind)},
             {"heard", view.heard},
             {"draining", view.draining},
             {"ready", view.upstream_ready},
             {"running", view.running},
             {"queued_tokens", view.queued_tokens.value()},
             {"incarnation", view.life.value()},
             {"weight_version", view.version.value()}});
    }
    const json status{
        {"entry", shared_.settings.entry.value()},
        {"config_number", shared_.config_in_force.value()},
        {"config_ready", shared_.configured()},
        {"draining", shared_.draining},
        {"active", caller_server_.active_exchanges()},
        {"upstreams", std::move(upstreams)}};
    return status.dump();
}

std::string app::explain_json(const request_id& id) const
{
    const auto* const decisions = shared_.explained.find(id);
    if (decisions == nullptr)
    {
        return {};
    }
    json list = json::array();
    for (const auto& each : *decisions)
    {
        list.push_back(
            {{"at_us", each.at.time_since_epoch().count()},
             {"decision", each.text}});
    }
    return json{{"request", id.value()}, {"decisions", std::move(list)}}.dump();
}

asio::awaitable<messages::control_reply> app::answer_control(
    messages::control_request asked)
{
    messages::control_reply reply;
    shared_.spread->observe_number(
        asked.config_number(), asked.sender_address());
    if (shared_.spread->handle_request(asked, reply))
    {
        co_return reply;
    }
    shared_.spread->attach_number(reply);
    reply.set_code(static_cast<std::uint32_t>(result_code::malformed_message));
    reply.set_detail("an entry does not answer this message");
    co_return reply;
}

} // namespace wagtailseam::entry
