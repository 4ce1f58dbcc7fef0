// Tests the prefix index, rendezvous hashing and the weight of stale reports.
#include "routing/load_view.hpp"
#include "routing/prefix_index.hpp"
#include "routing/rendezvous.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::routing
{
namespace
{

std::vector<digest> make_chain(std::uint64_t conversation, std::size_t pieces)
{
    std::vector<digest> chain;
    for (std::size_t i = 0; i < pieces; ++i)
    {
        chain.push_back(
            sha256(std::to_string(conversation) + "/" + std::to_string(i)));
    }
    return chain;
}

TEST(prefix_index_test, extended_chain_replaces_entry_of_its_prefix)
{
    prefix_index index(1024);
    const mono_time now{};
    index.put(make_chain(1, 3), 7, now);
    index.put(make_chain(1, 5), 9, now);
    EXPECT_EQ(index.size(), 1U);
    const auto holder = index.find(make_chain(1, 8));
    ASSERT_TRUE(holder.has_value());
    EXPECT_EQ(holder->slot, 9);
    EXPECT_EQ(holder->pieces, 5);
    EXPECT_FALSE(index.find(make_chain(2, 8)).has_value());
}

TEST(prefix_index_test, index_of_120000_conversations_fits_in_a_few_megabytes)
{
    constexpr std::uint64_t conversations = 120000;
    prefix_index index(std::size_t{1} << 18U);
    for (std::uint64_t i = 0; i < conversations; ++i)
    {
        index.put(make_chain(i, 1), 1, mono_time{});
    }
    std::size_t found = 0;
    for (std::uint64_t i = 0; i < conversations; ++i)
    {
        found += index.find(make_chain(i, 1)).has_value() ? 1U : 0U;
    }
    EXPECT_LE(index.memory_bytes() / conversations, 35U);
    EXPECT_GE(found, conversations * 97 / 100);
}

RC_GTEST_PROP(rendezvous_property, removed_member_moves_only_its_own_keys, ())
{
    std::vector<upstream_id> members;
    const auto count = *rc::gen::inRange<std::size_t>(2, 20);
    for (std::size_t i = 0; i < count; ++i)
    {
        members.emplace_back("vm-" + std::to_string(i));
    }
    const auto removed = *rc::gen::inRange<std::size_t>(0, count);
    auto remaining = members;
    remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(removed));
    for (int i = 0; i < 20; ++i)
    {
        const auto key =
            sha256(std::to_string(*rc::gen::arbitrary<std::uint64_t>()));
        const auto before = rendezvous_order(key, members, 1).front();
        const auto after = rendezvous_order(key, remaining, 1).front();
        RC_ASSERT(before == members[removed] || before == after);
    }
}

class load_view_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        for (upstream_slot slot = 0; slot < 4; ++slot)
        {
            view_.add(slot);
            store_report(slot, slot == 0 ? 0 : 8000);
        }
    }

    void store_report(upstream_slot slot, std::uint64_t tokens)
    {
        load_report report{.prefill_rate = token_rate{1000.0}};
        report.queued[1] = token_count{tokens};
        view_.store_report(slot, report, now_);
    }

    load_view view_{{}};
    mono_time now_{std::chrono::seconds(50)};
};

TEST_F(load_view_test, fresh_report_counts_levels_up_to_priority)
{
    EXPECT_EQ(view_.queue_wait(1, 0, now_), duration::zero());
    EXPECT_EQ(view_.queue_wait(1, 1, now_), std::chrono::seconds(8));
}

TEST_F(load_view_test, stale_report_of_empty_queue_tends_to_mean)
{
    EXPECT_EQ(view_.queue_wait(0, 1, now_), duration::zero());
    const auto stale_wait =
        view_.queue_wait(0, 1, now_ + std::chrono::seconds(4));
    EXPECT_GT(stale_wait, std::chrono::seconds(1));
}

TEST_F(load_view_test, own_prompts_count_until_next_report)
{
    view_.record_dispatch(0, token_count{2000}, 1, now_);
    EXPECT_EQ(view_.queue_wait(0, 1, now_), std::chrono::seconds(2));
    now_ += std::chrono::milliseconds(10);
    store_report(0, 500);
    EXPECT_EQ(view_.queue_wait(0, 1, now_), std::chrono::milliseconds(500));
}

} // namespace
} // namespace wagtailseam::routing
