// The process that callers of the platform talk to.
#ifndef WAGTAILSEAM_GATEWAY_APP_HPP
#define WAGTAILSEAM_GATEWAY_APP_HPP

#include "gateway/shared_state.hpp"
#include "gateway/state_updater.hpp"
#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace wagtailseam::gateway
{

/// Runs until drained. Not thread-safe: one io_context.
class app
{
public:
    app(asio::io_context& context, platform::process_settings settings,
        http::address metrics_listen);
    app(const app&) = delete;
    app& operator=(const app&) = delete;

    /// Fails readiness, finishes what is in progress, then stops the
    /// io_context.
    void drain();
    /// Takes changed settings; addresses stay those of the start.
    void reload(const platform::process_settings& changed);

private:
    asio::awaitable<void> serve_readiness(http::exchange& exchange);
    asio::awaitable<void> serve_metrics(http::exchange& exchange);
    asio::awaitable<void> finish_drain();
    [[nodiscard]] bool ready() const;
    void configured();

    asio::io_context& context_;
    shared_state known_;
    http::client upstreams_;
    http::server callers_;
    http::server readiness_;
    http::server metrics_;
    feeds feeds_;
    bool draining_ = false;
};

} // namespace wagtailseam::gateway

#endif
