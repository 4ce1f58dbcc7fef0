// Reads the upstream's own report of its load and readiness.
#ifndef WAGTAILSEAM_SIDECAR_UPSTREAM_MONITOR_HPP
#define WAGTAILSEAM_SIDECAR_UPSTREAM_MONITOR_HPP

#include "configuration/configuration.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "http/client.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace wagtailseam::sidecar
{

namespace asio = boost::asio;

/// What the upstream last said of itself.
struct upstream_report
{
    bool ready = false;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    token_count queued_tokens;
    token_rate prefill_rate;
    model_id model;
    weight_version version;
    /// When it was read, by this process's clock.
    mono_time at;
};

/// Polls the upstream's load page.
class upstream_monitor
{
public:
    static constexpr std::chrono::milliseconds poll_interval{100};

    upstream_monitor(http::client& client, http::address upstream);

    /// Polls for ever. @param changed called when the weight version changed
    asio::awaitable<void> run(std::function<void(weight_version)> changed);

    [[nodiscard]] const upstream_report& report() const noexcept
    {
        return report_;
    }

private:
    asio::awaitable<void> poll();

    http::client& client_;
    http::address upstream_;
    upstream_report report_;
};

} // namespace wagtailseam::sidecar

#endif
