// The gateway process, which serves the platform's callers.
#ifndef WAGTAILSEAM_GATEWAY_APP_HPP
#define WAGTAILSEAM_GATEWAY_APP_HPP

#include "gateway/process_check.hpp"
#include "gateway/shared_state.hpp"
#include "gateway/state_updater.hpp"
#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace wagtailseam::gateway
{

/// Runs until drained. Not thread-safe: uses one single-threaded io_context.
class app
{
public:
    app(asio::io_context& context, platform::process_settings settings,
        http::address metrics_listen);
    app(const app&) = delete;
    app& operator=(const app&) = delete;

    /// Reports the process as not ready, finishes active requests within the
    /// shutdown grace period, then stops the io_context.
    void drain();
    /// Applies changed service level bounds. Other settings, such as addresses,
    /// take effect at the next start.
    void reload(const platform::process_settings& changed);

private:
    asio::awaitable<void> serve_readiness(http::exchange& exchange);
    /// Serves metrics, and explanations of placements.
    asio::awaitable<void> serve_operator(http::exchange& exchange);
    asio::awaitable<void> serve_metrics(http::exchange& exchange);
    /// @param termination when the process is terminated by force
    asio::awaitable<void> finish_drain(mono_time termination);
    void record_idle_closure(const http::idle_closure& closure);
    void record_eviction(const http::eviction& evicted);
    [[nodiscard]] bool is_ready() const;
    void apply_server_limits();

    /// Evictions come in large numbers when callers exhaust a limit.
    static constexpr std::uint32_t max_eviction_lines_per_second = 2;

    asio::io_context& context_;
    shared_state state_;
    telemetry::log_rate_limiter eviction_log_limiter_{
        max_eviction_lines_per_second};
    http::client upstream_client_;
    process_check process_check_;
    http::server caller_server_;
    http::server readiness_server_;
    http::server metrics_server_;
    state_updater state_updater_;
};

} // namespace wagtailseam::gateway

#endif
