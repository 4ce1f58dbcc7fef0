// Prefix identity: names the kept cache blocks of a prompt by a chain of
// digests, so that a block of another workspace, model, adapter or weight
// version cannot be named at all.
#ifndef WAGTAILSEAM_KEPT_CACHE_PREFIX_HPP
#define WAGTAILSEAM_KEPT_CACHE_PREFIX_HPP

#include "core/digest.hpp"
#include "core/ids.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace wagtailseam::kept_cache
{

/// Names the cache block of one piece of a prompt; covers all text before the
/// piece too.
using block_id = digest;

/// The block ids of a prompt's whole pieces, from its beginning.
using prefix_chain = std::vector<block_id>;

/// What must be the same for two prompts to share a cache block.
struct prefix_scope
{
    model_id model;
    /// Empty for the model without an adapter.
    adapter_id adapter;
    weight_version version;

    friend bool operator==(const prefix_scope&, const prefix_scope&) = default;
    friend auto operator<=>(const prefix_scope&, const prefix_scope&) = default;
};

/// How prompts are cut into pieces. All processes must use the same values.
struct piece_options
{
    /// About 1,024 tokens of 4 bytes. @invariant positive
    byte_count piece_size{4096};
};

/// Returns the first link of a chain. Whoever lacks the workspace's key cannot
/// compute it, nor any block id below it.
/// @param workspace_key secret of the workspace; never logged.
[[nodiscard]] digest prefix_root(
    std::string_view workspace_key, const prefix_scope& scope);

/// Returns the id of the piece that follows `previous`.
[[nodiscard]] block_id next_block_id(
    const digest& previous, std::string_view piece);

/// Returns the ids of the whole pieces of a rendered prompt; a shorter last
/// piece has no id, since its block would change with the next turn.
/// Complexity: linear in the prompt's bytes.
/// @pre options.piece_size is positive
[[nodiscard]] prefix_chain chain_of(
    const digest& root, std::string_view prompt,
    const piece_options& options = {});

/// Returns how many leading ids two chains share.
[[nodiscard]] std::size_t shared_pieces(
    const prefix_chain& a, const prefix_chain& b) noexcept;

} // namespace wagtailseam::kept_cache

#endif
