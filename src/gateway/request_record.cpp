// The line at a request's end.
#include "gateway/request_record.hpp"

#include "telemetry/event_log.hpp"

namespace wagtailseam::gateway
{
namespace
{

std::string version_text(const std::optional<weight_version>& version)
{
    return version ? std::to_string(version->value()) : "none";
}

void write_line(
    const accepted_request& asked, const request_record& record, duration took,
    std::uint64_t left_out)
{
    telemetry::event line("request");
    line.with("request", asked.call.id)
        .with("route", asked.route != nullptr ? asked.route->name : "none")
        .with(
            "workspace",
            asked.workspace != nullptr ? asked.workspace->id.value() : "none")
        .with("status", record.status)
        .with("result", record.code)
        .with("sent", record.sent)
        .with("runs", record.runs)
        .with("last_end", record.last_end)
        .with(
            "upstream",
            record.last_upstream ? record.last_upstream->value() : "none")
        .with("expected_wait_us", record.expected_wait.count())
        .with("weights", version_text(record.dispatch.weights))
        .with("weights_named", version_text(record.dispatch.named_weights))
        .with("fetched_parts", record.dispatch.fetched_parts)
        .with("saved_parts", record.dispatch.saved_parts)
        .with("took_us", took.count())
        .with("first_us", record.first_byte ? record.first_byte->count() : -1)
        .with(
            "configuration", asked.routes
                                 ? asked.routes->config().number.value()
                                 : std::uint64_t{0})
        .with("lines_left_out", left_out);
}

} // namespace

void tell(
    shared_state& known, const accepted_request& asked,
    const request_record& record)
{
    const auto now = monotonic_clock::now();
    const duration took = now - asked.received;
    known.metrics.count(
        "wagtail_requests_total", "status", std::to_string(record.status));
    const std::string_view route =
        asked.route != nullptr ? std::string_view(asked.route->name) : "none";
    known.metrics.observe_time("wagtail_request_seconds", "route", route, took);
    if (record.first_byte)
    {
        known.metrics.observe_time(
            "wagtail_first_byte_seconds", "route", route, *record.first_byte);
    }
    known.metrics.observe_time(
        "wagtail_expected_wait_seconds", "route", route, record.expected_wait);
    const bool served_at_once =
        record.code == result_code::ok && record.sent == 1;
    const auto left_out = served_at_once ? known.served_lines.take(now)
                                         : std::optional<std::uint64_t>(0);
    if (left_out)
    {
        write_line(asked, record, took, *left_out);
    }
}

} // namespace wagtailseam::gateway
