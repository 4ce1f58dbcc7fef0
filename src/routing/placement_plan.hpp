// The estimate of the time to first token of one prompt at one upstream: the
// queue, then the best split between importing kept pieces and recomputing.
#ifndef WAGTAILSEAM_ROUTING_PLACEMENT_PLAN_HPP
#define WAGTAILSEAM_ROUTING_PLACEMENT_PLAN_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace wagtailseam::routing
{

/// Size of one piece of a prefix.
struct piece_size
{
    token_count tokens{1024};
    byte_count bytes{64ULL << 20};
};

/// What an estimate needs to know of a prompt.
struct prompt_size
{
    token_count tokens;
    /// Whole pieces of the prompt; the tokens after them are always computed.
    std::size_t pieces = 0;
    piece_size piece;
};

/// What an upstream would do with the prompt without any import.
struct upstream_conditions
{
    upstream_id upstream;
    duration queue_wait{};
    token_rate prefill_rate{1.0};
    /// Pieces of this prompt's prefix in the engine's own cache.
    std::size_t cached_pieces = 0;
};

/// Where a store keeps a piece.
enum class storage_tier : std::uint8_t
{
    memory,
    disk,
};

/// A link as last reported, its backlog being that of the first-token class.
struct link_conditions
{
    byte_rate rate{1.0};
    duration backlog{};
};

/// The pieces of this prompt's prefix that a store keeps, from the first on
/// without a hole.
struct import_source
{
    upstream_id store;
    std::vector<storage_tier> tiers;
    link_conditions memory;
    link_conditions disk;
};

/// What a workspace weighs, as its questionnaire gives it; only the ratio of
/// the two counts.
struct objective_weights
{
    double first_token = 1.0;
    double recomputed_share = 0.0;
};

/// Returns how many seconds of waiting a second of prefill is worth besides
/// its own: from 0, when only the first token counts, to 1.
[[nodiscard]] double extra_prefill_weight(
    const objective_weights& weights) noexcept;

/// Whether imports are weighed, forced or forbidden.
enum class import_policy : std::uint8_t
{
    if_cheaper,
    always,
    never,
};

/// The best plan for one upstream, with what it was built from.
struct placement_plan
{
    upstream_id upstream;
    duration queue_wait{};
    /// From now until the last imported byte.
    duration import_time{};
    /// Prefill of what is neither cached nor imported.
    duration prefill_time{};
    duration time_to_first_token{};
    /// First token if nothing were imported.
    duration time_to_first_token_without_import{};
    std::size_t cached_pieces = 0;
    std::size_t imported_pieces = 0;
    /// Set when imported_pieces > 0.
    std::optional<upstream_id> store;
    token_count computed_tokens;
    /// Weighed seconds; the lowest wins.
    double cost = 0.0;
};

/// Returns the plan with the lowest cost over all sources and all numbers k
/// of imported pieces. The import runs while the prompt waits in the queue;
/// the prefill starts after both. Ties go to fewer pieces.
/// Complexity: the sum of the sources' pieces.
[[nodiscard]] placement_plan lowest_cost_plan(
    const prompt_size& prompt, const upstream_conditions& view,
    std::span<const import_source> sources, const objective_weights& weights,
    import_policy rule);

} // namespace wagtailseam::routing

#endif
