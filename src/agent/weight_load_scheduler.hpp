// When an engine is ordered to load newly named weights. The agents of one
// service load in turns, a few at a time, without a word between them: each
// knows its rank in the list of upstreams.
#ifndef WAGTAILSEAM_AGENT_WEIGHT_LOAD_SCHEDULER_HPP
#define WAGTAILSEAM_AGENT_WEIGHT_LOAD_SCHEDULER_HPP

#include "core/clock.hpp"
#include "serving/configuration.hpp"
#include "serving/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace wagtailseam::agent
{

struct weight_load_options
{
    /// Time in which all engines must have the weights.
    duration bound = std::chrono::seconds(8);
    /// Part of the bound in which every engine has had its turn, whatever
    /// became of those before it; the rest is for orders that were lost.
    double planned_part = 0.72;
    /// Time for which an engine takes no requests: the end of the runs before,
    /// and a load of about 0.6 s.
    duration absence = std::chrono::milliseconds(800);
    /// An order without effect is given again after this time.
    duration repeat_after = std::chrono::milliseconds(1500);
};

/// What the engine last said.
struct engine_state
{
    std::map<model_id, weight_version> weights;
    bool busy = false;
    std::uint64_t orders = 0;
    std::uint32_t prompts_waiting = 0;
    std::uint32_t running = 0;
    /// Of its life, see serving::upstream.
    std::uint64_t started_ms = 0;
};

/// An order to give now.
struct due_order
{
    model_id model;
    weight_version version;
    /// Orders that the engine must have accepted before.
    std::uint64_t expected_orders = 0;
};

/// The turns of one engine. Not thread-safe. Complexity: linear in the models.
class weight_load_scheduler
{
public:
    explicit weight_load_scheduler(const weight_load_options& options = {});

    /// Takes newly named weights; an older version than known is ignored.
    /// @param at_start they were named before this agent began; how long ago,
    /// is not known, so half of the bound counts as gone
    /// @return whether they are new
    bool name(
        const serving::weight_target& target, mono_time now,
        bool at_start = false);

    /// Sets the engines of this service, in the order of their turns.
    void place(std::vector<upstream_id> engines, const upstream_id& self);

    /// Takes the word of another engine's agent.
    void hear(
        const upstream_id& engine,
        const std::map<model_id, weight_version>& weights);

    /// Returns how many engines load at once, so that all have their turn.
    [[nodiscard]] std::size_t engines_at_once() const;

    /// Returns the order that is due, which counts as given now.
    [[nodiscard]] std::optional<due_order> due(
        const engine_state& engine, mono_time now);

    /// Returns when this engine's turn begins at the latest for weights named
    /// at `named`.
    [[nodiscard]] mono_time latest_turn(mono_time named) const;

    /// Whether the engine runs older weights than named.
    [[nodiscard]] bool behind(const engine_state& engine) const;

private:
    struct target_state
    {
        weight_version version;
        mono_time named;
        /// When the last order for this version was given.
        std::optional<mono_time> ordered;
    };

    [[nodiscard]] bool has_turn(
        const model_id& model, const target_state& target, mono_time now) const;

    weight_load_options options_;
    std::map<model_id, target_state> targets_;
    std::vector<upstream_id> engines_;
    /// Place of this engine in engines_; 0 while it is not listed.
    std::size_t rank_ = 0;
    /// What other engines run, as last heard.
    std::map<upstream_id, std::map<model_id, weight_version>> heard_;
};

} // namespace wagtailseam::agent

#endif
