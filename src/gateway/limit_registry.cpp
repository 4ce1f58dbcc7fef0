// Log lines and clocks around the limits.
#include "gateway/limit_registry.hpp"

#include "telemetry/event_log.hpp"

namespace wagtailseam::gateway
{

using rate_limit::limit_change;

void limit_registry::record_response(
    const upstream_process& process,
    const rate_limit::limit_statement& statement, mono_time sent_at)
{
    const auto change = limits_.record_response(
        process, statement, sent_at, monotonic_clock::now());
    const auto* const unreadable =
        std::get_if<rate_limit::unreadable_limit>(&statement);
    if (change == limit_change::unreadable && unreadable != nullptr &&
        log_limiter_.try_acquire(monotonic_clock::now()))
    {
        telemetry::event("upstream_limit_unreadable")
            .with("upstream", process.id)
            .with("limit", unreadable->text)
            .warning();
    }
    if (change == limit_change::notable)
    {
        log_change(process.id, "response");
        on_change_(process.id);
    }
}

void limit_registry::merge(const rate_limit::limit_report& report)
{
    const auto change = limits_.merge(report, monotonic_clock::now());
    if (change == limit_change::notable)
    {
        log_change(report.process.id, "gateway");
    }
}

void limit_registry::on_change(std::function<void(const upstream_id&)> callback)
{
    on_change_ = std::move(callback);
}

bool limit_registry::set_position(const fleet_position& position)
{
    limits_.set_position(position);
    return std::exchange(position_, position) != position;
}

void limit_registry::log_change(const upstream_id& id, std::string_view source)
{
    const auto now = monotonic_clock::now();
    const auto omitted_lines = log_limiter_.try_acquire(now);
    if (!omitted_lines)
    {
        return;
    }
    const auto known = limits_.find(id, now);
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

} // namespace wagtailseam::gateway
