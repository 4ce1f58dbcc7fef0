// Inventory: follows an engine through lost, late and repeated events.
#include "core/random_source.hpp"
#include "kept_cache/inventory.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace wagtailseam::kept_cache
{
namespace
{

block_id block(std::uint64_t number)
{
    return sha256(std::to_string(number));
}

/// The engine: what its cache holds, and all events it has published.
class engine_model
{
public:
    explicit engine_model(std::uint64_t life) : life_(life) {}

    cache_event change(random_source& random)
    {
        const std::uint64_t number = random.below(6);
        cache_event event{
            .engine = incarnation{life_},
            .number = cache_sequence{++published_}};
        const std::uint64_t kind = random.below(12);
        if (kind == 0)
        {
            held_.clear();
            event.change = cache_cleared{};
        }
        else if (kind < 5)
        {
            held_.erase(block(number));
            event.change = blocks_evicted{{block(number)}};
        }
        else
        {
            held_.insert(block(number));
            event.change = blocks_cached{{block(number)}};
        }
        states_.push_back(held_);
        return event;
    }
    cache_snapshot snapshot() const
    {
        return {
            incarnation{life_},
            cache_sequence{published_},
            {held_.begin(), held_.end()}};
    }
    /// What was held after event `number`.
    const std::set<block_id>& held_after(std::uint64_t number) const
    {
        return states_.at(number);
    }
    std::uint64_t published() const { return published_; }
    std::uint64_t life() const { return life_; }

private:
    std::uint64_t life_ = 0;
    std::uint64_t published_ = 0;
    std::set<block_id> held_;
    std::vector<std::set<block_id>> states_{{}};
};

bool believes_exactly(const inventory& seen, const std::set<block_id>& held)
{
    std::size_t count = 0;
    for (std::uint64_t i = 0; i < 6; ++i)
    {
        const bool believed = seen.believed_pieces({block(i)}) == 1;
        if (believed != held.contains(block(i)))
        {
            return false;
        }
        count += believed ? 1 : 0;
    }
    return count == seen.size();
}

// While in step, the beliefs are exactly a state that the engine had; they
// never mix two states or two lives. Once messages stop being lost, the
// inventory comes into step with the engine's present state.
RC_GTEST_PROP(
    inventory, beliefs_are_always_one_state_of_the_engine, (std::uint64_t seed))
{
    random_source random(seed);
    engine_model engine(1);
    inventory seen({.snapshot_interval = duration(10)});
    std::vector<inventory_event> on_the_way;
    std::set<std::set<block_id>> states{{}};
    mono_time now(duration(1));
    const auto deliver = [&](const inventory_event& what)
    {
        now += duration(random.below(20));
        for (const auto& command : seen.handle(what, now))
        {
            std::visit(
                [&](const ask_snapshot&)
                { on_the_way.emplace_back(engine.snapshot()); },
                command);
        }
        states.insert(engine.held_after(engine.published()));
        RC_ASSERT(std::any_of(
            states.begin(), states.end(),
            [&](const auto& held) { return believes_exactly(seen, held); }));
        RC_ASSERT(seen.in_step() || seen.size() == 0);
    };
    for (int i = 0; i < 100; ++i)
    {
        const std::uint64_t what = random.below(10);
        if (what < 5)
        {
            on_the_way.emplace_back(engine.change(random));
            states.insert(engine.held_after(engine.published()));
        }
        else if (!on_the_way.empty())
        {
            const std::size_t at =
                what < 8 ? 0 : random.below(on_the_way.size());
            const inventory_event next = on_the_way[at];
            if (what != 9)
            {
                on_the_way.erase(
                    on_the_way.begin() + static_cast<std::ptrdiff_t>(at));
            }
            if (random.below(10) != 0)
            {
                deliver(next);
            }
        }
        if (random.below(60) == 0)
        {
            engine = engine_model(engine.life() + 1);
        }
    }
    now += std::chrono::seconds(10);
    on_the_way.clear();
    for (int i = 0; i < 3; ++i)
    {
        deliver(engine.change(random));
        now += std::chrono::seconds(10);
        deliver(inventory_tick{});
        while (!on_the_way.empty())
        {
            const inventory_event next = on_the_way.front();
            on_the_way.erase(on_the_way.begin());
            deliver(next);
        }
    }
    RC_ASSERT(seen.in_step());
    RC_ASSERT(believes_exactly(seen, engine.held_after(engine.published())));
}

class inventory_test : public testing::Test
{
protected:
    std::size_t asked(const inventory_event& what)
    {
        return inventory_.handle(what, now_).size();
    }
    static cache_event cached(std::uint64_t number, std::uint64_t id)
    {
        return {
            incarnation{1}, cache_sequence{number}, blocks_cached{{block(id)}}};
    }

    mono_time now_{std::chrono::seconds(1)};
    inventory inventory_{{.max_blocks = 2}};
};

TEST_F(inventory_test, gap_drops_beliefs_and_asks_snapshot)
{
    asked(cache_snapshot{incarnation{1}, cache_sequence{4}, {block(1)}});
    EXPECT_EQ(inventory_.believed_pieces({block(1), block(2)}), 1U);
    EXPECT_EQ(asked(cached(6, 2)), 1U);
    EXPECT_EQ(inventory_.size(), 0U);
    EXPECT_EQ(inventory_.counts().gaps, 1U);
}

TEST_F(inventory_test, event_covered_by_snapshot_is_ignored)
{
    asked(cache_snapshot{incarnation{1}, cache_sequence{4}, {}});
    EXPECT_EQ(asked(cached(4, 2)), 0U);
    EXPECT_EQ(inventory_.size(), 0U);
    EXPECT_EQ(inventory_.counts().ignored, 1U);
}

TEST_F(inventory_test, snapshot_older_than_events_seen_is_not_taken)
{
    asked(cache_snapshot{incarnation{1}, cache_sequence{1}, {}});
    asked(cached(5, 2));
    asked(cache_snapshot{incarnation{1}, cache_sequence{4}, {block(1)}});
    EXPECT_FALSE(inventory_.in_step());
    asked(cache_snapshot{incarnation{1}, cache_sequence{5}, {block(2)}});
    EXPECT_TRUE(inventory_.in_step());
}

TEST_F(inventory_test, ids_beyond_bound_are_left_out)
{
    asked(cache_snapshot{
        incarnation{1}, cache_sequence{1}, {block(1), block(2), block(3)}});
    EXPECT_EQ(inventory_.size(), 2U);
    EXPECT_EQ(inventory_.counts().left_out, 1U);
}

} // namespace
} // namespace wagtailseam::kept_cache
