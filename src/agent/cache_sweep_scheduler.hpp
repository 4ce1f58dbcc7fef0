// Decides when an agent frees the parts of replaced weights in a cache store.
// Stores keep every part until a client frees it.
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
    /// Delay from the announcement of new weights to the first sweep.
    duration delay = serving::sweep_delay;
    /// Additional delay for each rank: the next agent sweeps as well, in case
    /// the one before it is unavailable.
    duration rank_delay = std::chrono::milliseconds(1500);
    /// Number of agents that sweep each store, one after the other.
    std::size_t agents_per_store = 2;
};

/// Schedules the sweeps of one agent. Not thread-safe.
class cache_sweep_scheduler
{
public:
    explicit cache_sweep_scheduler(const cache_sweep_options& options = {});

    /// Schedules sweeps for newly announced weights.
    void add_target(const serving::weight_target& target, mono_time now);

    /// A store to sweep and the oldest weights whose parts are kept.
    struct due_sweep
    {
        serving::cache_store store;
        model_id model;
        weight_version oldest_kept;
    };

    /// Returns the sweeps that are due; each is returned once for every target
    /// and store.
    /// @param self this agent's engine; empty while it is not listed
    [[nodiscard]] std::vector<due_sweep> due_sweeps(
        const std::vector<serving::cache_store>& stores,
        const std::vector<upstream_id>& engines, const upstream_id& self,
        mono_time now);

private:
    struct announced_target
    {
        serving::weight_target target;
        mono_time announced_at;
        /// Stores whose sweep for this target has been returned.
        std::set<serving::service_id> swept_stores;
    };

    cache_sweep_options options_;
    /// The latest targets in order of announcement; their number is limited.
    std::vector<announced_target> targets_;
};

/// Returns the parts in a store that belong to a model's weights older than
/// `oldest_kept`, incomplete ones included. An incomplete part of an earlier
/// release is omitted if its salt does not identify the model. Complexity:
/// linear in the content.
[[nodiscard]] std::vector<serving::part_key> parts_of_older_weights(
    const serving::cache_content& content, const model_id& model,
    weight_version oldest_kept);

} // namespace wagtailseam::agent

#endif
