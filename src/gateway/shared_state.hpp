// State shared by the parts of a gateway: the current configuration, the
// upstreams, the cache stores, the retry budgets and the metrics.
#ifndef WAGTAILSEAM_GATEWAY_SHARED_STATE_HPP
#define WAGTAILSEAM_GATEWAY_SHARED_STATE_HPP

#include "core/random_source.hpp"
#include "gateway/crash_registry.hpp"
#include "gateway/drain_state.hpp"
#include "gateway/statement_registry.hpp"
#include "gateway/stream_origins.hpp"
#include "platform/settings_file.hpp"
#include "quarantine/trial_claim.hpp"
#include "retry/retry_budget.hpp"
#include "serving/cache_view.hpp"
#include "serving/load_balancer.hpp"
#include "serving/route_table.hpp"
#include "serving/running_processes.hpp"
#include "serving/weight_announcements.hpp"
#include "telemetry/log_rate_limiter.hpp"
#include "telemetry/metrics.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace wagtailseam::gateway
{

/// Well above the usual request rate of a gateway and far below that of a
/// burst.
inline constexpr std::uint32_t max_success_lines_per_second = 20;

struct shared_state
{
    explicit shared_state(platform::process_settings initial_settings);

    /// Expires with this object, which coroutines may outlive.
    std::shared_ptr<const void> lifetime = std::make_shared<char>();
    platform::process_settings settings;
    /// Null before the first configuration. The configuration number never
    /// decreases.
    std::shared_ptr<const serving::route_table> routes;
    /// Reads whether there is a newer configuration, and returns once it is in
    /// force, at the latest after a time limit and at once while the store is
    /// away.
    std::function<boost::asio::awaitable<void>()> confirm_configuration =
        []() -> boost::asio::awaitable<void> { co_return; };
    /// Weight versions that the operator announced, by model.
    std::map<model_id, serving::weight_announcements> weight_announcements;
    serving::load_balancer upstreams;
    /// Called when this gateway's pending prefill at an upstream changes.
    std::function<void(const upstream_id&)> on_pending_prefill_changed =
        [](const upstream_id&) {};
    /// Whether the list of upstreams has been read completely at least once.
    bool upstream_list_read = false;
    /// When the list of upstreams was last read, or reported as unchanged.
    mono_time upstream_list_read_at;
    /// Reads the list again at once, because an upstream has stated something
    /// newer.
    std::function<void()> refresh_upstream_list = [] {};
    /// Reads at once whether the list is still the newest.
    std::function<void()> confirm_upstream_list = [] {};
    serving::running_processes processes;
    serving::cache_view caches;
    /// When the operator's table was last read, or reported as unchanged.
    mono_time operator_table_read_at;
    crash_registry crashes;
    /// Until when requests are refused because the other gateways may not have
    /// sent their crash records yet. Unset: they had the time.
    std::optional<mono_time> introduction_deadline;
    [[nodiscard]] bool is_being_introduced() const
    {
        return introduction_deadline &&
               monotonic_clock::now() < *introduction_deadline;
    }
    drain_state drain;
    stream_origins streams;
    /// Claims the only trial of a suspect content among all gateways.
    std::function<boost::asio::awaitable<quarantine::claim_outcome>(
        const quarantine::content_fingerprint&)>
        claim_trial =
            [](const auto&) -> boost::asio::awaitable<quarantine::claim_outcome>
    { co_return quarantine::claim_outcome::claimed; };
    /// Gives a claim up before it expires, because the outcome of the trial is
    /// known.
    std::function<void(const quarantine::content_fingerprint&)> release_trial =
        [](const auto&) {};
    /// Asks an upstream whether the process of an entry is running.
    std::function<boost::asio::awaitable<bool>(serving::upstream)> is_running =
        [](auto) -> boost::asio::awaitable<bool> { co_return false; };
    /// Asks an upstream whether it is the process of an entry, as it states.
    std::function<boost::asio::awaitable<bool>(serving::upstream)>
        confirms_process = [](auto) -> boost::asio::awaitable<bool>
    { co_return false; };
    /// Retry budgets by service.
    std::map<serving::service_id, retry::retry_budget> retry_budgets;
    telemetry::metrics metrics;
    statement_registry statements{metrics};
    /// Limits the log lines of requests that succeeded at the first attempt.
    /// All other requests are always logged.
    telemetry::log_rate_limiter success_log_limiter{
        max_success_lines_per_second};
    random_source random;

    /// Returns the newest announced weight version of a model, if any.
    [[nodiscard]] std::optional<weight_version> newest_weights(
        const model_id& model) const;
    /// Returns the rate of requests to a cold upstream of a service that all
    /// gateways divide; nullopt if its upstreams are never cold.
    [[nodiscard]] std::optional<rate_limit::request_rate> cold_rate(
        const serving::service_id& service) const;
    /// Returns how long an upstream of a service is cold after its start.
    [[nodiscard]] duration cold_time(const serving::service_id& service) const;
    /// Returns the retry budget of a service, and creates it if necessary.
    [[nodiscard]] retry::retry_budget& retry_budget_for(
        const serving::service_id& service);
    /// Divides the retry slack by the number of gateways.
    void set_gateway_count(std::size_t count);
    /// Returns the number of gateways; 1 while this one does not know the
    /// others.
    [[nodiscard]] std::size_t gateway_count() const noexcept
    {
        return gateway_count_.value_or(1);
    }
    /// Applies changed bounds. Retries that were spent stay spent.
    void apply_bounds(const platform::service_level_bounds& bounds);

private:
    /// Returns null if upstreams of the service are never cold.
    [[nodiscard]] const serving::cold_start* find_cold_start(
        const serving::service_id& service) const;
    [[nodiscard]] retry::retry_budget_options make_retry_budget_options() const;
    void update_retry_budgets();

    /// Unset while this gateway does not know the others.
    std::optional<std::size_t> gateway_count_;
};

} // namespace wagtailseam::gateway

#endif
