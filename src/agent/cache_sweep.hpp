// Frees the parts of replaced weights in the cache stores, which keep
// everything until they are told otherwise.
#ifndef WAGTAILSEAM_AGENT_CACHE_SWEEP_HPP
#define WAGTAILSEAM_AGENT_CACHE_SWEEP_HPP

#include "core/clock.hpp"
#include "serving/cache_view.hpp"
#include "serving/configuration.hpp"

#include <map>
#include <optional>
#include <vector>

namespace wagtailseam::agent
{

struct cache_sweep_options
{
    /// From the naming of weights until parts of older ones are freed. Longer
    /// than any process may plan a fetch of them (it must have heard of the
    /// operator's table 2.8 s ago or later, and plans such fetches for 1 s
    /// after it learned of the weights), and than such a fetch lasts (0.7 s).
    duration rest = std::chrono::milliseconds(5000);
    /// A second agent sweeps this much later, should the first be away.
    duration turn = std::chrono::milliseconds(1500);
    /// Agents that sweep one store, one after the other.
    std::size_t agents = 2;
};

/// Says when to sweep a store. Not thread-safe.
class cache_sweep
{
public:
    explicit cache_sweep(const cache_sweep_options& options = {});

    /// Newer weights were named.
    void name(const serving::weight_target& target, mono_time now);

    /// Returns the stores that this agent sweeps now, each once after every
    /// naming.
    /// @param self null while this engine is not listed
    [[nodiscard]] std::vector<serving::cache_store> due(
        const std::vector<serving::cache_store>& stores,
        const std::vector<upstream_id>& engines, const upstream_id& self,
        mono_time now);

    /// Returns the parts of a store's content that belong to replaced weights.
    [[nodiscard]] std::vector<serving::kept_part> outdated(
        const serving::cache_content& content) const;

private:
    cache_sweep_options options_;
    std::map<model_id, weight_version> newest_;
    std::optional<mono_time> named_;
    /// Stores swept since then.
    std::map<serving::service_id, mono_time> swept_;
};

} // namespace wagtailseam::agent

#endif
