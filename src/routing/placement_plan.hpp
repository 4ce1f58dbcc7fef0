// Estimates the time to first token of a prompt at an upstream: the wait in the
// queue, then the cheapest split between importing stored pieces of the prefix
// and recomputing them.
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

/// Size of one piece, the unit in which a prefix is cached and imported.
struct piece_size
{
    token_count tokens{1024};
    byte_count bytes{64ULL << 20};
};

/// Size of a prompt.
struct prompt_size
{
    token_count tokens;
    /// Number of whole pieces; the tokens after them are always computed.
    std::size_t pieces = 0;
    piece_size piece;
};

/// State of an upstream that determines how long it takes to prefill a prompt.
struct upstream_conditions
{
    upstream_id upstream;
    duration queue_wait{};
    token_rate prefill_rate{1.0};
    /// Pieces of this prompt's prefix in the engine's cache.
    std::size_t cached_pieces = 0;
};

/// Where a store holds a piece.
enum class storage_tier : std::uint8_t
{
    memory,
    disk,
};

/// Last reported state of a link.
struct link_conditions
{
    byte_rate rate{1.0};
    /// Wait before a new transfer of the first-token class starts.
    duration backlog{};
};

/// The contiguous pieces of this prompt's prefix, from the first on, that a
/// store holds.
struct import_source
{
    upstream_id store;
    /// Tier of each piece.
    std::vector<storage_tier> tiers;
    link_conditions memory;
    link_conditions disk;
};

/// Weights of a workspace's objective, from its questionnaire. Only their ratio
/// matters.
struct objective_weights
{
    /// Weight of the time to first token.
    double first_token = 1.0;
    /// Weight of the share of tokens that are prefilled again.
    double recomputed_share = 0.0;
};

/// Returns the cost of a second of prefill beyond the second that it adds to
/// the time to first token: from 0, if only the first token counts, to 1.
[[nodiscard]] double extra_prefill_weight(
    const objective_weights& weights) noexcept;

/// When to import pieces instead of recomputing them.
enum class import_policy : std::uint8_t
{
    if_cheaper,
    always,
    never,
};

/// How an upstream would serve a prompt, and the estimated times and cost.
struct placement_plan
{
    upstream_id upstream;
    duration queue_wait{};
    /// Time from now until the last byte is imported.
    duration import_time{};
    /// Time to prefill the tokens that are neither cached nor imported.
    duration prefill_time{};
    duration time_to_first_token{};
    duration time_to_first_token_without_import{};
    std::size_t cached_pieces = 0;
    std::size_t imported_pieces = 0;
    /// The store to import from; set if imported_pieces > 0.
    std::optional<upstream_id> store;
    token_count computed_tokens;
    /// Weighted seconds; the plan with the lowest cost is chosen.
    double cost = 0.0;
};

/// Returns the plan with the lowest cost over all sources and all numbers of
/// imported pieces that the policy allows. The import runs while the prompt
/// waits in the queue, and the prefill starts after both. Among plans of equal
/// cost, the one with fewer imported pieces is returned.
/// Complexity: linear in the sum of the sources' pieces.
[[nodiscard]] placement_plan lowest_cost_plan(
    const prompt_size& prompt, const upstream_conditions& conditions,
    std::span<const import_source> sources, const objective_weights& weights,
    import_policy policy);

} // namespace wagtailseam::routing

#endif
