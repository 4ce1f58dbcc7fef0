// When an engine is ordered to load newly named weights. The agents of one
// service load in turns, a few at a time, without a word between them: each
// knows its rank in the list of upstreams.
#ifndef WAGTAILSEAM_AGENT_WEIGHT_TURNS_HPP
#define WAGTAILSEAM_AGENT_WEIGHT_TURNS_HPP

#include "core/clock.hpp"
#include "serving/configuration.hpp"
#include "serving/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace wagtailseam::agent
{

struct weight_turn_options
{
    /// Time in which all engines must have the weights.
    duration bound = std::chrono::seconds(8);
    /// Part of the bound in which every engine has had its turn; the rest is
    /// for orders that were lost.
    double planned_part = 0.42;
    /// Length of a turn: a load of about 0.6 s, and the end of the runs before.
    duration turn = std::chrono::milliseconds(800);
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
class weight_turns
{
public:
    explicit weight_turns(const weight_turn_options& options = {});

    /// Takes newly named weights; an older version than known is ignored.
    /// @return whether they are new
    bool name(const serving::weight_target& target, mono_time now);

    /// Sets this engine's place among the upstreams of its service.
    /// @pre rank < count
    void place(std::size_t rank, std::size_t count);

    /// Returns the order that is due, which counts as given now.
    [[nodiscard]] std::optional<due_order> due(
        const engine_state& engine, mono_time now);

    /// Returns when this engine's turn begins for weights named at `named`.
    [[nodiscard]] mono_time turn_begins(mono_time named) const;

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

    weight_turn_options options_;
    std::map<model_id, target_state> targets_;
    std::size_t rank_ = 0;
    /// At least 1.
    std::size_t count_ = 1;
};

} // namespace wagtailseam::agent

#endif
