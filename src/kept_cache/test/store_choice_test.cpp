// Placement: shares follow capacity, and only a lost store's chains move.
#include "core/random_source.hpp"
#include "kept_cache/store_choice.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace wagtailseam::kept_cache
{
namespace
{

store_candidate store(const char* name, std::uint64_t capacity)
{
    return {upstream_id{name}, byte_count{capacity}};
}

prefix_chain chain(std::uint64_t number, std::size_t length)
{
    return chain_of(
        sha256(std::to_string(number)), std::string(length, 'x'),
        {.piece_size = byte_count{1}});
}

TEST(store_choice, store_of_thrice_the_capacity_gets_thrice_the_chains)
{
    std::size_t large = 0;
    constexpr std::size_t chains = 4000;
    for (std::size_t i = 0; i < chains; ++i)
    {
        const auto chosen =
            store_for(chain(i, 5), {store("a", 300), store("b", 100)});
        large += chosen == upstream_id{"a"} ? 1U : 0U;
    }
    EXPECT_NEAR(static_cast<double>(large) / chains, 0.75, 0.03);
}

TEST(store_choice, loss_of_one_store_moves_only_its_chains)
{
    const std::vector<store_candidate> three{
        store("a", 100), store("b", 100), store("c", 100)};
    const std::vector<store_candidate> two{three[0], three[2]};
    for (std::size_t i = 0; i < 300; ++i)
    {
        const auto before = store_for(chain(i, 5), three);
        if (before != upstream_id{"b"})
        {
            EXPECT_EQ(store_for(chain(i, 5), two), before);
        }
    }
}

TEST(store_choice, chain_that_grew_is_still_looked_for_where_it_was_placed)
{
    const std::vector<store_candidate> three{
        store("a", 100), store("b", 100), store("c", 100)};
    for (std::size_t i = 0; i < 300; ++i)
    {
        const prefix_chain grown = chain(i, 8);
        const prefix_chain early(grown.begin(), grown.begin() + 2);
        const auto asked = stores_to_ask(grown, three);
        EXPECT_EQ(asked.front(), store_for(grown, three));
        EXPECT_EQ(
            std::count(asked.begin(), asked.end(), *store_for(early, three)),
            1);
    }
}

TEST(store_choice, no_stores_or_no_pieces_gives_nothing)
{
    EXPECT_EQ(store_for(chain(1, 5), {}), std::nullopt);
    EXPECT_EQ(store_for({}, {store("a", 1)}), std::nullopt);
    EXPECT_TRUE(stores_to_ask({}, {store("a", 1)}).empty());
}

} // namespace
} // namespace wagtailseam::kept_cache
