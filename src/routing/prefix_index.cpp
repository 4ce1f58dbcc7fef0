// Implements the index of prefix holders.
#include "routing/prefix_index.hpp"

#include "routing/rendezvous.hpp"

#include <algorithm>
#include <bit>
#include <limits>

namespace wagtailseam::routing
{

namespace
{

constexpr std::size_t entries_per_set = 8;

std::uint64_t key_of(const digest& piece) noexcept
{
    return std::max<std::uint64_t>(1, truncated_digest(piece));
}

std::uint32_t to_seconds(mono_time now) noexcept
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
            .count());
}

} // namespace

prefix_index::prefix_index(std::size_t entries)
    : entries_(std::bit_ceil(std::max(entries, entries_per_set))),
      set_mask_(entries_.size() / entries_per_set - 1)
{
}

std::span<prefix_index::entry> prefix_index::set_of(std::uint64_t key)
{
    const auto first =
        (rendezvous_weight(key, 0) & set_mask_) * entries_per_set;
    return std::span(entries_).subspan(first, entries_per_set);
}

std::span<const prefix_index::entry> prefix_index::set_of(
    std::uint64_t key) const
{
    const auto first =
        (rendezvous_weight(key, 0) & set_mask_) * entries_per_set;
    return std::span(entries_).subspan(first, entries_per_set);
}

std::optional<prefix_index::holder> prefix_index::find(
    std::span<const digest> chain) const
{
    for (auto piece = chain.rbegin(); piece != chain.rend(); ++piece)
    {
        const auto key = key_of(*piece);
        for (const auto& candidate : set_of(key))
        {
            if (candidate.key == key)
            {
                return candidate.held_by;
            }
        }
    }
    return std::nullopt;
}

void prefix_index::put(
    std::span<const digest> chain, upstream_slot slot, mono_time now)
{
    if (chain.empty())
    {
        return;
    }
    for (auto piece = chain.rbegin() + 1; piece != chain.rend(); ++piece)
    {
        const auto key = key_of(*piece);
        auto set = set_of(key);
        const auto shorter = std::find_if(
            set.begin(), set.end(),
            [&](const entry& e) { return e.key == key; });
        if (shorter != set.end())
        {
            *shorter = entry{};
            --size_;
            break;
        }
    }
    const auto key = key_of(chain.back());
    auto set = set_of(key);
    auto target = std::find_if(
        set.begin(), set.end(), [&](const entry& e) { return e.key == key; });
    if (target == set.end())
    {
        target = std::min_element(
            set.begin(), set.end(),
            [](const entry& a, const entry& b)
            { return a.written_seconds < b.written_seconds; });
        size_ += target->key == 0 ? 1U : 0U;
    }
    constexpr std::size_t max_pieces =
        std::numeric_limits<std::uint16_t>::max();
    const auto pieces =
        static_cast<std::uint16_t>(std::min(chain.size(), max_pieces));
    *target = entry{key, to_seconds(now) + 1, {slot, pieces}};
}

std::size_t prefix_index::memory_bytes() const noexcept
{
    return entries_.size() * sizeof(entry);
}

} // namespace wagtailseam::routing
