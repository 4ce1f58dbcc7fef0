// Frees the parts of replaced weights in the cache stores, which keep
// everything until they are told otherwise.
#ifndef WAGTAILSEAM_AGENT_CACHE_SWEEP_SCHEDULER_HPP
#define WAGTAILSEAM_AGENT_CACHE_SWEEP_SCHEDULER_HPP

#include "core/clock.hpp"
#include "serving/cache_timing.hpp"
#include "serving/cache_view.hpp"
#include "serving/configuration.hpp"

#include <set>
#include <vector>

namespace wagtailseam::agent
{

struct cache_sweep_options
{
    /// From the naming of weights until parts of older ones are freed.
    duration rest = serving::sweep_rest;
    /// A second agent sweeps this much later, should the first be away.
    duration turn = std::chrono::milliseconds(1500);
    /// Agents that sweep one store, one after the other.
    std::size_t agents = 2;
};

/// Says when to sweep a store. Not thread-safe.
class cache_sweep_scheduler
{
public:
    explicit cache_sweep_scheduler(const cache_sweep_options& options = {});

    /// Newer weights were named.
    void name(const serving::weight_target& target, mono_time now);

    /// A store to sweep, and the oldest weights whose parts stay.
    struct due_sweep
    {
        serving::cache_store store;
        model_id model;
        weight_version oldest_kept;
    };

    /// Returns the sweeps of this agent that are due now, each once after
    /// every naming.
    /// @param self empty while this engine is not listed
    [[nodiscard]] std::vector<due_sweep> due(
        const std::vector<serving::cache_store>& stores,
        const std::vector<upstream_id>& engines, const upstream_id& self,
        mono_time now);

private:
    struct naming
    {
        serving::weight_target target;
        mono_time at;
        /// Stores swept for it by this agent.
        std::set<serving::service_id> swept;
    };

    cache_sweep_options options_;
    /// In the order in which they came; old ones are dropped.
    std::vector<naming> namings_;
};

/// Returns the parts of a store's content that belong to a model's weights
/// before a version.
[[nodiscard]] std::vector<serving::kept_part> parts_of_older_weights(
    const serving::cache_content& content, const model_id& model,
    weight_version oldest_kept);

} // namespace wagtailseam::agent

#endif
