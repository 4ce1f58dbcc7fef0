// What the parts of a gateway share: the configuration in force, the
// upstreams, the cache stores, the budget of repeats and the metrics.
#ifndef WAGTAILSEAM_GATEWAY_SHARED_STATE_HPP
#define WAGTAILSEAM_GATEWAY_SHARED_STATE_HPP

#include "core/random_source.hpp"
#include "platform/settings_file.hpp"
#include "retry/retry_budget.hpp"
#include "serving/cache_view.hpp"
#include "serving/load_balancer.hpp"
#include "serving/route_table.hpp"
#include "telemetry/counters.hpp"
#include "telemetry/line_budget.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace wagtailseam::gateway
{

/// Weights that an operator named, and when this process learned of them.
struct known_target
{
    weight_version version;
    mono_time learned;
    /// Learned at this process's start: how old it is, is not known.
    bool at_start = false;
};

/// Well above the usual rate of an entry, far below what a burst brings.
inline constexpr std::uint32_t served_lines_a_second = 20;

struct shared_state
{
    explicit shared_state(platform::process_settings read);

    platform::process_settings settings;
    /// Null before the first configuration. Its number never goes down.
    std::shared_ptr<const serving::route_table> routes;
    std::map<model_id, known_target> weight_targets;
    serving::load_balancer upstreams;
    /// Called when this process's unread prompts at an upstream change.
    std::function<void(const upstream_id&)> unread_changed =
        [](const upstream_id&) {};
    /// Whether the list of upstreams was read once.
    bool upstreams_listed = false;
    serving::cache_view caches;
    /// When the operator's table was last heard of.
    mono_time operator_heard;
    /// One budget for each service.
    std::map<serving::service_id, retry::retry_budget> budgets;
    telemetry::metrics metrics;
    /// Lines of requests that ended well. Those that did not always leave
    /// theirs.
    telemetry::line_budget served_lines{served_lines_a_second};
    random_source random;

    [[nodiscard]] retry::retry_budget& budget(const serving::service_id& of);
};

} // namespace wagtailseam::gateway

#endif
