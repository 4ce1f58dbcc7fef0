// Notices of stores: long answers in several datagrams, lost and broken ones.
#include "cache_relay/store_update.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::cache_relay
{
namespace
{

serving::cache_change kept(std::uint64_t number)
{
    return {
        .key =
            {serving::cache_salt{"w1.m"},
             serving::part_id{"part-" + std::to_string(number)}},
        .tokens = token_count{number},
        .number = number};
}

store_update news_of(std::uint64_t after, std::uint64_t count)
{
    store_update update{.store = serving::service_id{"s"}};
    update.answer = {
        .epoch = serving::store_epoch{7},
        .after = after,
        .next_cursor = after + count,
        .clock_ms = 1234};
    for (std::uint64_t number = after + 1; number <= after + count; ++number)
    {
        update.answer.changes.push_back(kept(number));
    }
    return update;
}

TEST(store_update, long_answer_is_sent_in_datagrams_that_continue_each_other)
{
    const auto datagrams = encode(news_of(100, 200));
    ASSERT_GT(datagrams.size(), 1U);
    std::uint64_t next = 100;
    std::size_t changes = 0;
    for (const auto& datagram : datagrams)
    {
        EXPECT_LE(datagram.size(), max_datagram);
        const auto read = decode(datagram);
        ASSERT_TRUE(read.has_value());
        EXPECT_EQ(read.value().answer.after, next);
        EXPECT_EQ(read.value().answer.clock_ms, 1234);
        next = read.value().answer.next_cursor;
        changes += read.value().answer.changes.size();
    }
    EXPECT_EQ(next, 300U);
    EXPECT_EQ(changes, 200U);
}

TEST(store_update, answer_without_changes_still_tells_that_the_store_lives)
{
    const auto datagrams = encode(news_of(100, 0));
    ASSERT_EQ(datagrams.size(), 1U);
    EXPECT_EQ(decode(datagrams[0]).value().answer.next_cursor, 100U);
}

TEST(store_update, gap_is_passed_on_as_missing_changes)
{
    auto update = news_of(100, 5);
    update.answer.gap = true;
    const auto read = decode(encode(update).at(0));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read.value().answer.after, 105U);
    EXPECT_TRUE(read.value().answer.changes.empty());
}

TEST(store_update, datagram_of_another_kind_is_told_apart)
{
    EXPECT_FALSE(is_store_update(std::string(1, '\x87')));
    EXPECT_FALSE(decode("").has_value());
}

RC_GTEST_PROP(notice_property, any_bytes_are_read_or_refused, ())
{
    (void)decode("C" + *rc::gen::arbitrary<std::string>());
}

RC_GTEST_PROP(
    notice_property, any_loss_leaves_belief_right_or_known_to_lack,
    (const std::vector<std::uint8_t>& fates))
{
    // A store that keeps one part after the other; datagrams are lost, late
    // and doubled on their way to the view.
    serving::cache_view view;
    view.set_stores({{.service = serving::service_id{"s"}}});
    std::uint64_t next = 0;
    std::vector<std::string> late;
    const mono_time now{std::chrono::seconds(100)};
    const auto give = [&](const std::string& datagram)
    {
        const auto read = decode(datagram);
        RC_ASSERT(read.has_value());
        (void)view.apply(read.value().store, read.value().answer, now);
    };
    for (const auto fate : fates)
    {
        const auto update = news_of(next, fate % 60);
        next = update.answer.next_cursor;
        for (const auto& datagram : encode(update))
        {
            if (fate % 5 == 0)
            {
                late.push_back(datagram);
            }
            else if (fate % 5 != 1)
            {
                give(datagram);
            }
        }
        if (fate % 7 == 0 && !late.empty())
        {
            give(late.front());
        }
        // Held are exactly the changes up to where the next poll continues.
        RC_ASSERT(
            view.part_count() == view.poll_cursor(serving::service_id{"s"}));
    }
}

} // namespace
} // namespace wagtailseam::cache_relay
