// Callers that occupy memory with bodies which they do not finish.
#include "http/body_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace wagtailseam::http
{
namespace
{

constexpr std::size_t small = 10;
constexpr std::size_t large = 300;

connection_id id(std::uint64_t number)
{
    return connection_id{number};
}

class body_budget_fixture : public testing::Test
{
protected:
    body_budget budget_{
        {.max_bytes = 1000, .small_body_bytes = 20, .large_share = 0.75}};
};

TEST_F(body_budget_fixture, stalled_large_bodies_yield_to_a_new_one)
{
    ASSERT_TRUE(budget_.reserve(id(1), large).granted);
    ASSERT_TRUE(budget_.reserve(id(2), large).granted);
    const auto third = budget_.reserve(id(3), large);
    EXPECT_TRUE(third.granted);
    ASSERT_EQ(third.evicted.size(), 1U);
    EXPECT_EQ(third.evicted.front(), id(1));
}

TEST_F(body_budget_fixture, larger_body_does_not_end_smaller_ones)
{
    ASSERT_TRUE(budget_.reserve(id(1), large).granted);
    ASSERT_TRUE(budget_.reserve(id(2), large).granted);
    const auto larger = budget_.reserve(id(3), large + 1);
    EXPECT_FALSE(larger.granted);
    EXPECT_TRUE(larger.evicted.empty());
}

TEST_F(body_budget_fixture, complete_request_is_never_evicted)
{
    ASSERT_TRUE(budget_.complete(id(1), large).granted);
    ASSERT_TRUE(budget_.complete(id(2), large).granted);
    const auto third = budget_.reserve(id(3), large);
    EXPECT_FALSE(third.granted);
    EXPECT_TRUE(third.evicted.empty());
}

TEST_F(body_budget_fixture, small_body_finds_room_beside_complete_large_ones)
{
    ASSERT_TRUE(budget_.complete(id(1), large).granted);
    ASSERT_TRUE(budget_.complete(id(2), large).granted);
    EXPECT_TRUE(budget_.reserve(id(3), small).granted);
    EXPECT_TRUE(budget_.complete(id(3), 2 * small).granted);
}

TEST_F(body_budget_fixture, released_memory_is_available_again)
{
    ASSERT_TRUE(budget_.complete(id(1), large).granted);
    ASSERT_TRUE(budget_.complete(id(2), large).granted);
    budget_.release(id(1));
    EXPECT_TRUE(budget_.reserve(id(3), large).granted);
}

/// Any order of arrivals: an account that loses bytes admits too much, and one
/// that keeps them refuses everything in the end.
RC_GTEST_PROP(body_budget_property, any_history_stays_within_the_budget, ())
{
    const std::size_t limit = 1000;
    body_budget budget(
        {.max_bytes = limit, .small_body_bytes = 20, .large_share = 0.75});
    std::map<connection_id, std::size_t> held;
    for (int step = 0; step < 200; ++step)
    {
        const auto connection = id(*rc::gen::inRange<std::uint64_t>(0, 20));
        const auto bytes = *rc::gen::inRange<std::size_t>(1, 400);
        const auto action = *rc::gen::inRange(0, 3);
        if (action == 0)
        {
            budget.release(connection);
            held.erase(connection);
        }
        else
        {
            const auto answer = action == 1
                                    ? budget.reserve(connection, bytes)
                                    : budget.complete(connection, bytes);
            held.erase(connection);
            for (const auto& evicted : answer.evicted)
            {
                RC_ASSERT(held.erase(evicted) == 1U);
            }
            if (answer.granted)
            {
                held[connection] = bytes;
            }
        }
        std::size_t sum = 0;
        for (const auto& [each, size] : held)
        {
            sum += size;
        }
        RC_ASSERT(budget.used_bytes() == sum);
        RC_ASSERT(sum <= limit);
    }
}

} // namespace
} // namespace wagtailseam::http
