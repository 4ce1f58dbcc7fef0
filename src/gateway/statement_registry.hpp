// What upstreams state about themselves in their responses.
#ifndef WAGTAILSEAM_GATEWAY_STATEMENT_REGISTRY_HPP
#define WAGTAILSEAM_GATEWAY_STATEMENT_REGISTRY_HPP

#include "telemetry/log_rate_limiter.hpp"
#include "telemetry/metrics.hpp"
#include "upstream_statement/statement_record.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string_view>

namespace wagtailseam::gateway
{

/// Reads the clocks, and logs and counts each notable change. Not thread-safe.
class statement_registry
{
public:
    explicit statement_registry(telemetry::metrics& metrics) : metrics_(metrics)
    {
    }

    /// Applies what a response states.
    /// @param sent_at when its request was sent
    void record_response(
        const upstream_process& process,
        const upstream_statement::response_statement& statement,
        mono_time sent_at);
    /// Merges the report of another gateway about a limit.
    void merge(const rate_limit::limit_report& report);
    /// Applies the report of another gateway that a process leaves.
    void merge_leaving(const upstream_process& process);
    [[nodiscard]] std::optional<rate_limit::limit_report> find_limit(
        const upstream_id& id) const
    {
        return record_.find_limit(id, monotonic_clock::now());
    }
    [[nodiscard]] bool is_leaving(const upstream_process& process) const
    {
        return record_.is_leaving(process);
    }
    /// The callback is called when a response shows a notable change of an
    /// upstream's limit, which other gateways should learn.
    void on_limit_change(std::function<void(const upstream_id&)> callback);
    /// The callback is called when a response first states that a process
    /// leaves.
    void on_leaving(std::function<void(const upstream_process&)> callback);

    /// Limits the rate of requests to a cold process.
    void record_cold(
        const upstream_process& process, rate_limit::request_rate rate,
        duration time_left);
    void record_warm(const upstream_process& process)
    {
        record_.record_warm(process);
    }

    /// Sets the position of this gateway among all gateways.
    /// @return whether it changed
    bool set_position(const fleet_position& position);
    /// Takes no share of limits until the position is set again.
    /// @return whether there was a position
    bool clear_position();
    /// Returns the processes to which this gateway may not send a request now.
    [[nodiscard]] std::set<upstream_process> restricted() const
    {
        return record_.restricted(monotonic_clock::now(), wall_clock::now());
    }
    /// Returns which restriction of these processes ends first.
    [[nodiscard]] upstream_statement::restriction_end first_end(
        const std::set<upstream_process>& processes) const
    {
        return record_.first_end(
            processes, monotonic_clock::now(), wall_clock::now());
    }
    /// Records that a request is sent.
    void record_request(const upstream_id& id)
    {
        record_.record_request(id, wall_clock::now());
    }

    /// Drops what ends with a process that is not listed any more.
    void erase(const upstream_process& process) { record_.erase(process); }
    [[nodiscard]] const upstream_statement::statement_record& record()
        const noexcept
    {
        return record_;
    }

private:
    static constexpr std::uint32_t max_lines_per_second = 20;

    void log_limit(const upstream_id& id, std::string_view source);
    void log_leaving(const upstream_process& process, std::string_view source);

    telemetry::metrics& metrics_;
    upstream_statement::statement_record record_;
    std::optional<fleet_position> position_;
    /// An upstream may name a limit or a pause in some responses only.
    telemetry::log_rate_limiter log_limiter_{max_lines_per_second};
    std::function<void(const upstream_id&)> on_limit_change_ =
        [](const upstream_id&) {};
    std::function<void(const upstream_process&)> on_leaving_ =
        [](const upstream_process&) {};
};

} // namespace wagtailseam::gateway

#endif
