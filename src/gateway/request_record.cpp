// Writes the log line and the metrics of a finished request.
#include "gateway/request_record.hpp"

#include "telemetry/event_log.hpp"

namespace wagtailseam::gateway
{
namespace
{

std::string version_string(const std::optional<weight_version>& version)
{
    return version ? std::to_string(version->value()) : "none";
}

void write_log_line(
    const accepted_request& request, const request_record& record,
    duration elapsed, std::uint64_t omitted_lines)
{
    telemetry::event line("request");
    line.with("request", request.call.id)
        .with("route", request.route != nullptr ? request.route->name : "none")
        .with(
            "workspace", request.workspace != nullptr
                             ? request.workspace->id.value()
                             : "none")
        .with("status", record.status)
        .with("result", record.code)
        .with("sent", record.dispatches)
        .with("runs", record.executions)
        .with("last_end", record.last_result)
        .with(
            "upstream",
            record.last_upstream ? record.last_upstream->value() : "none")
        .with(
            "software",
            record.last_upstream ? record.last_software.value() : "none")
        .with("expected_wait_us", record.expected_wait.count())
        .with("weights", version_string(record.dispatch.weights))
        .with("weights_named", version_string(record.dispatch.target_weights))
        .with("fetched_parts", record.dispatch.fetched_parts)
        .with("saved_parts", record.dispatch.saved_parts)
        .with("framing", record.framing ? http::name(*record.framing) : "none")
        .with("incomplete_event_bytes", record.incomplete_event_bytes)
        .with("took_us", elapsed.count())
        .with("first_us", record.first_byte ? record.first_byte->count() : -1)
        .with(
            "configuration", request.routes
                                 ? request.routes->config().number.value()
                                 : std::uint64_t{0})
        .with("lines_left_out", omitted_lines);
    if (!request.call.last_event_id.empty())
    {
        line.with("resumes", request.call.resumed_request)
            .with("last_event", request.call.last_event_id);
    }
    if (record.code == result_code::quarantined && record.quarantine)
    {
        line.with("content", short_name(request.content().request))
            .with("cause", short_name(record.quarantine->cause));
    }
    if (record.code == result_code::queue_full && record.overload)
    {
        line.with("queue_excess_us", record.overload->excess_wait.count())
            .with("engines_without_memory", record.overload->without_memory);
    }
    if (!record.restricted_upstreams.empty())
    {
        line.with("restricted_upstreams", record.restricted_upstreams.size())
            .with("cause", record.restricted_upstreams.begin()->id);
    }
}

} // namespace

void record_request_end(
    shared_state& state, const accepted_request& request,
    const request_record& record)
{
    const auto now = monotonic_clock::now();
    const duration elapsed = now - request.received;
    state.metrics.count(
        "wagtail_requests_total", "status", std::to_string(record.status));
    const std::string_view route = request.route != nullptr
                                       ? std::string_view(request.route->name)
                                       : "none";
    state.metrics.observe_duration(
        "wagtail_request_seconds", "route", route, elapsed);
    if (record.first_byte)
    {
        state.metrics.observe_duration(
            "wagtail_first_byte_seconds", "route", route, *record.first_byte);
    }
    state.metrics.observe_duration(
        "wagtail_expected_wait_seconds", "route", route, record.expected_wait);
    const bool succeeded_at_first_attempt =
        record.code == result_code::ok && record.dispatches == 1;
    const auto omitted_lines = succeeded_at_first_attempt
                                   ? state.success_log_limiter.try_acquire(now)
                                   : std::optional<std::uint64_t>(0);
    if (omitted_lines)
    {
        write_log_line(request, record, elapsed, *omitted_lines);
    }
}

} // namespace wagtailseam::gateway
