// Shares of engines in the work for stores.
#include "agent/store_rank.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace wagtailseam::agent
{
namespace
{

std::vector<upstream_id> engines(int count)
{
    std::vector<upstream_id> made;
    made.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
    {
        made.emplace_back("e" + std::to_string(number));
    }
    return made;
}

TEST(rank_for_store, every_place_is_taken_once)
{
    const auto all = engines(20);
    std::set<std::size_t> places;
    for (const auto& engine : all)
    {
        places.insert(rank_for_store(serving::service_id{"s"}, all, engine));
    }
    EXPECT_EQ(places.size(), all.size());
    EXPECT_EQ(*places.rbegin(), all.size() - 1);
}

TEST(rank_for_store, engine_that_leaves_moves_only_those_behind_it)
{
    const auto all = engines(20);
    const serving::service_id store{"s"};
    for (const auto& engine : all)
    {
        const auto before = rank_for_store(store, all, engine);
        auto rest = all;
        std::erase(rest, all.front());
        const auto after = rank_for_store(store, rest, engine);
        const bool behind = before > rank_for_store(store, all, all.front());
        EXPECT_EQ(after, behind ? before - 1 : before);
    }
}

} // namespace
} // namespace wagtailseam::agent
