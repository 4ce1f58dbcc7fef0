// Implements rendezvous hashing.
#include "routing/rendezvous.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace wagtailseam::routing
{

namespace
{

// Finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
std::uint64_t mix(std::uint64_t value) noexcept
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

std::uint64_t stable_hash(std::string_view text) noexcept
{
    // 64-bit FNV-1a.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text)
    {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    return mix(hash);
}

std::uint64_t truncated_digest(const digest& value) noexcept
{
    constexpr std::size_t width = 8;
    std::uint64_t key = 0;
    for (std::size_t i = 0; i < width; ++i)
    {
        key = (key << 8U) | value.bytes[i];
    }
    return key;
}

std::uint64_t rendezvous_weight(
    std::uint64_t key, std::uint64_t member) noexcept
{
    return mix(key ^ mix(member));
}

std::vector<upstream_id> rendezvous_order(
    const digest& key, std::span<const upstream_id> members, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const upstream_id*>> weighted;
    weighted.reserve(members.size());
    for (const auto& member : members)
    {
        weighted.emplace_back(
            rendezvous_weight(
                truncated_digest(key), stable_hash(member.value())),
            &member);
    }
    std::sort(
        weighted.begin(), weighted.end(),
        [](const auto& a, const auto& b) {
            return a.first != b.first ? a.first > b.first
                                      : *a.second < *b.second;
        });
    std::vector<upstream_id> ordered;
    for (const auto& [weight, member] : weighted)
    {
        if (ordered.size() == count)
        {
            break;
        }
        ordered.push_back(*member);
    }
    return ordered;
}

cell_id cell_of(const upstream_id& upstream, std::uint32_t cells)
{
    BOOST_ASSERT(cells > 0);
    const auto member = stable_hash(upstream.value());
    std::uint32_t best = 0;
    for (std::uint32_t cell = 1; cell < cells; ++cell)
    {
        if (rendezvous_weight(member, cell) > rendezvous_weight(member, best))
        {
            best = cell;
        }
    }
    return cell_id{best};
}

} // namespace wagtailseam::routing
