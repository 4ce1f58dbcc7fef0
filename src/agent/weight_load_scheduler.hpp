// Decides when an engine is ordered to load new weights. The engines of a
// service load a few at a time; each agent derives its turn from its engine's
// rank in the list of upstreams, without coordination.
#ifndef WAGTAILSEAM_AGENT_WEIGHT_LOAD_SCHEDULER_HPP
#define WAGTAILSEAM_AGENT_WEIGHT_LOAD_SCHEDULER_HPP

#include "core/clock.hpp"
#include "serving/configuration.hpp"
#include "serving/ids.hpp"
#include "serving/upstream.hpp"
#include "serving/weight_announcements.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace wagtailseam::agent
{

struct weight_load_options
{
    /// Deadline for all engines to load announced weights.
    duration rollout_deadline = std::chrono::seconds(8);
    /// Fraction of the deadline within which every engine may start loading,
    /// even if engines before it have not; the rest is left to resend lost
    /// orders.
    double start_fraction = 0.72;
    /// Time for which a loading engine accepts no requests: it finishes the
    /// requests in progress, then loads for about 0.6 s.
    duration unavailable_time = std::chrono::milliseconds(800);
    /// An order without effect is sent again after this time.
    duration resend_interval = std::chrono::milliseconds(1500);
};

/// The engine's state as it last reported it.
struct engine_state
{
    std::map<model_id, weight_version> weights;
    bool busy = false;
    std::uint64_t accepted_orders = 0;
    std::uint32_t prompts_waiting = 0;
    std::uint32_t running = 0;
    serving::engine_memory memory;
    /// Start time of this instance, see serving::upstream.
    std::uint64_t started_ms = 0;
};

/// An order to send now.
struct due_order
{
    model_id model;
    weight_version version;
    /// Number of orders that the engine must have accepted before this one.
    std::uint64_t expected_orders = 0;
};

/// Schedules the weight loads of one engine. Not thread-safe. Complexity of
/// every call: linear in the models and engines.
class weight_load_scheduler
{
public:
    explicit weight_load_scheduler(const weight_load_options& options = {});

    /// Sets the weights to load; ignores a version that is not newer than the
    /// known one.
    /// @param at_start the weights were announced before this agent started.
    /// Their age is unknown, so half of the deadline counts as elapsed.
    /// @return whether the target is new
    bool set_target(
        const serving::weight_target& target, mono_time now,
        bool at_start = false);

    /// Sets the engines of this service, in the order in which they load.
    void set_engines(std::vector<upstream_id> engines, const upstream_id& self);

    /// Records the weights that another engine's agent reports.
    void record_weights(
        const upstream_id& engine,
        const std::map<model_id, weight_version>& weights);

    /// Returns how many engines must load at once for all to start within the
    /// planned fraction of the deadline.
    [[nodiscard]] std::size_t max_concurrent_loads() const;

    /// Returns the order that is due, if any, and counts it as sent at `now`.
    [[nodiscard]] std::optional<due_order> next_order(
        const engine_state& engine, mono_time now);

    /// Returns the time from which this engine may load weights announced at
    /// `announced_at` whatever the other engines run.
    [[nodiscard]] mono_time latest_start(mono_time announced_at) const;

    /// Whether the engine runs older weights than announced.
    [[nodiscard]] bool is_outdated(const engine_state& engine) const;

private:
    struct target_state
    {
        /// @invariant not empty
        serving::weight_announcements announcements;
        /// When the last order for the newest version was sent.
        std::optional<mono_time> ordered_at;

        [[nodiscard]] weight_version version() const
        {
            return announcements.newest()->version;
        }
    };

    /// @param running an older version than the target
    [[nodiscard]] bool may_start(
        const model_id& model, const target_state& target,
        weight_version running, mono_time now) const;

    weight_load_options options_;
    std::map<model_id, target_state> targets_;
    std::vector<upstream_id> engines_;
    /// Index of this engine in engines_; 0 while it is not listed.
    std::size_t rank_ = 0;
    /// Weights of the other engines as last reported.
    std::map<upstream_id, std::map<model_id, weight_version>> reported_weights_;
};

} // namespace wagtailseam::agent

#endif
