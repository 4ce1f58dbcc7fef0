// Ranks of engines for cache stores.
#include "agent/store_rank.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace wagtailseam::agent
{
namespace
{

std::vector<upstream_id> make_engines(int count)
{
    std::vector<upstream_id> engines;
    engines.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
    {
        engines.emplace_back("e" + std::to_string(number));
    }
    return engines;
}

TEST(rank_for_store, ranks_are_distinct_and_contiguous)
{
    const auto all = make_engines(20);
    std::set<std::size_t> ranks;
    for (const auto& engine : all)
    {
        ranks.insert(rank_for_store(serving::service_id{"s"}, all, engine));
    }
    EXPECT_EQ(ranks.size(), all.size());
    EXPECT_EQ(*ranks.rbegin(), all.size() - 1);
}

TEST(rank_for_store, removing_an_engine_changes_only_lower_ranks)
{
    const auto all = make_engines(20);
    const serving::service_id store{"s"};
    for (const auto& engine : all)
    {
        const auto before = rank_for_store(store, all, engine);
        auto remaining = all;
        std::erase(remaining, all.front());
        const auto after = rank_for_store(store, remaining, engine);
        const bool ranks_lower =
            before > rank_for_store(store, all, all.front());
        EXPECT_EQ(after, ranks_lower ? before - 1 : before);
    }
}

} // namespace
} // namespace wagtailseam::agent
