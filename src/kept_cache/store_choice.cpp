// Weighted rendezvous hashing over block ids and store names.
#include "kept_cache/store_choice.hpp"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <limits>
#include <string>

namespace wagtailseam::kept_cache
{
namespace
{

/// Returns a number in (0, 1) from the block and the store's name.
double uniform_of(const block_id& anchor, const upstream_id& store)
{
    const digest mixed = sha256(std::string(anchor.view()) += store.value());
    std::uint64_t word = 0;
    std::memcpy(&word, mixed.bytes.data(), sizeof word);
    constexpr int mantissa_bits = 53;
    constexpr double scale = 1.0 / static_cast<double>(1ULL << mantissa_bits);
    return (static_cast<double>(word >> (64 - mantissa_bits)) + 0.5) * scale;
}

upstream_id place(
    const block_id& anchor, const std::vector<store_candidate>& stores)
{
    upstream_id best;
    double highest = -std::numeric_limits<double>::infinity();
    for (const store_candidate& store : stores)
    {
        const double weight = static_cast<double>(store.capacity.value());
        const double score = -weight / std::log(uniform_of(anchor, store.id));
        if (score > highest || (score == highest && store.id < best))
        {
            best = store.id;
            highest = score;
        }
    }
    return best;
}

} // namespace

std::optional<upstream_id> store_for(
    const prefix_chain& chain, const std::vector<store_candidate>& stores)
{
    if (chain.empty() || stores.empty())
    {
        return std::nullopt;
    }
    return place(chain[std::min(anchor_piece, chain.size() - 1)], stores);
}

std::vector<upstream_id> stores_to_ask(
    const prefix_chain& chain, const std::vector<store_candidate>& stores)
{
    std::vector<upstream_id> asked;
    if (stores.empty())
    {
        return asked;
    }
    for (std::size_t n = std::min(anchor_piece + 1, chain.size()); n-- > 0;)
    {
        const upstream_id store = place(chain[n], stores);
        if (std::find(asked.begin(), asked.end(), store) == asked.end())
        {
            asked.push_back(store);
        }
    }
    return asked;
}

} // namespace wagtailseam::kept_cache
