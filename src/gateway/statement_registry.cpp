// Log lines, counters and clocks around the statements of upstreams.
#include "gateway/statement_registry.hpp"

#include "telemetry/event_log.hpp"

#include <utility>

namespace wagtailseam::gateway
{

using rate_limit::limit_change;

void statement_registry::record_response(
    const upstream_process& process,
    const upstream_statement::response_statement& statement, mono_time sent_at)
{
    const auto now = monotonic_clock::now();
    const auto change =
        record_.record_response(process, statement, sent_at, now);
    const auto* const unreadable =
        std::get_if<rate_limit::unreadable_limit>(&statement.limit);
    if (change.limit == limit_change::unreadable && unreadable != nullptr &&
        log_limiter_.try_acquire(now))
    {
        telemetry::event("upstream_limit_unreadable")
            .with("upstream", process.id)
            .with("limit", unreadable->text)
            .warning();
    }
    if (change.limit == limit_change::notable)
    {
        log_limit(process.id, "response");
        on_limit_change_(process.id);
    }
    if (change.pause)
    {
        metrics_.count("wagtail_upstream_pauses_total");
        if (const auto omitted_lines = log_limiter_.try_acquire(now))
        {
            telemetry::event("upstream_pause")
                .with("upstream", process.id)
                .with("pause_us", change.pause->count())
                .with("lines_left_out", *omitted_lines);
        }
    }
    if (change.leaving_began)
    {
        log_leaving(process, "response");
        on_leaving_(process);
    }
}

void statement_registry::merge(const rate_limit::limit_report& report)
{
    const auto change = record_.merge(report, monotonic_clock::now());
    if (change == limit_change::notable)
    {
        log_limit(report.process.id, "gateway");
    }
}

void statement_registry::merge_leaving(const upstream_process& process)
{
    if (record_.record_leaving(process, monotonic_clock::now()))
    {
        log_leaving(process, "gateway");
    }
}

void statement_registry::record_cold(
    const upstream_process& process, rate_limit::request_rate rate,
    duration time_left)
{
    const auto now = monotonic_clock::now();
    if (!record_.record_cold(process, rate, time_left, now))
    {
        return;
    }
    if (const auto omitted_lines = log_limiter_.try_acquire(now))
    {
        telemetry::event("upstream_cold")
            .with("upstream", process.id)
            .with("rate", std::to_string(rate.value()))
            .with("left_us", time_left.count())
            .with("gateways", position_ ? position_->size : 0)
            .with("lines_left_out", *omitted_lines);
    }
}

void statement_registry::on_limit_change(
    std::function<void(const upstream_id&)> callback)
{
    on_limit_change_ = std::move(callback);
}

void statement_registry::on_leaving(
    std::function<void(const upstream_process&)> callback)
{
    on_leaving_ = std::move(callback);
}

bool statement_registry::set_position(const fleet_position& position)
{
    record_.set_position(position);
    return std::exchange(position_, position) != position;
}

bool statement_registry::clear_position()
{
    record_.clear_position();
    return std::exchange(position_, std::nullopt).has_value();
}

void statement_registry::log_limit(
    const upstream_id& id, std::string_view source)
{
    const auto now = monotonic_clock::now();
    const auto omitted_lines = log_limiter_.try_acquire(now);
    if (!omitted_lines)
    {
        return;
    }
    const auto known = record_.find_limit(id, now);
    const bool is_limited = known && known->rate;
    telemetry::event("upstream_limit")
        .with("upstream", id)
        .with(
            "limit", is_limited ? std::to_string(known->rate->value()) : "none")
        .with("gateways", position_ ? position_->size : 0)
        .with("source", source)
        .with("age_us", known ? known->age.count() : 0)
        .with("lines_left_out", *omitted_lines);
}

void statement_registry::log_leaving(
    const upstream_process& process, std::string_view source)
{
    metrics_.count("wagtail_upstreams_leaving_total", "source", source);
    telemetry::event("upstream_leaving")
        .with("upstream", process.id)
        .with("started_ms", process.started_ms)
        .with("source", source);
}

} // namespace wagtailseam::gateway
