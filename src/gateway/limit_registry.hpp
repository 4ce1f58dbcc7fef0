// The limits that upstreams name for the requests of all gateways together.
#ifndef WAGTAILSEAM_GATEWAY_LIMIT_REGISTRY_HPP
#define WAGTAILSEAM_GATEWAY_LIMIT_REGISTRY_HPP

#include "rate_limit/upstream_limits.hpp"
#include "telemetry/log_rate_limiter.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string_view>

namespace wagtailseam::gateway
{

/// Reads the clocks and logs each notable change. Not thread-safe.
class limit_registry
{
public:
    /// Applies what a response states.
    /// @param sent_at when its request was sent
    void record_response(
        const upstream_process& process,
        const rate_limit::limit_statement& statement, mono_time sent_at);
    /// Merges the report of another gateway.
    void merge(const rate_limit::limit_report& report);
    [[nodiscard]] std::optional<rate_limit::limit_report> find(
        const upstream_id& id) const
    {
        return limits_.find(id, monotonic_clock::now());
    }
    /// The callback is called when a response of an upstream shows a notable
    /// change, which other gateways should learn.
    void on_change(std::function<void(const upstream_id&)> callback);

    /// Sets the position of this gateway among all gateways.
    /// @return whether it changed
    bool set_position(const fleet_position& position);
    /// Returns the upstreams to which this gateway may not send a request now.
    [[nodiscard]] std::set<upstream_id> exhausted() const
    {
        return limits_.exhausted(wall_clock::now());
    }
    /// Records that a request is sent.
    void record_request(const upstream_id& id)
    {
        limits_.record_request(id, wall_clock::now());
    }
    /// Returns the time until this gateway may send to one of the upstreams.
    [[nodiscard]] duration next_share(
        const std::set<upstream_id>& upstreams) const
    {
        return limits_.next_share(upstreams, wall_clock::now());
    }

    /// Drops the limit of a process that has ended.
    void erase(const upstream_process& process) { limits_.erase(process); }
    [[nodiscard]] std::size_t size() const noexcept { return limits_.size(); }

private:
    static constexpr std::uint32_t max_lines_per_second = 20;

    void log_change(const upstream_id& id, std::string_view source);

    rate_limit::upstream_limits limits_;
    std::optional<fleet_position> position_;
    /// An upstream may name a limit in some responses only.
    telemetry::log_rate_limiter log_limiter_{max_lines_per_second};
    std::function<void(const upstream_id&)> on_change_ =
        [](const upstream_id&) {};
};

} // namespace wagtailseam::gateway

#endif
