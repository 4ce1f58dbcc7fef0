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
        .part =
            {serving::cache_salt{"w1.m"},
             serving::part_id{"part-" + std::to_string(number)}},
        .tokens = token_count{number},
        .number = number};
}

notice news_of(std::uint64_t after, std::uint64_t count)
{
    notice news{.store = serving::service_id{"s"}};
    news.said = {
        .epoch = serving::store_epoch{7},
        .after = after,
        .next = after + count,
        .clock_ms = 1234};
    for (std::uint64_t number = after + 1; number <= after + count; ++number)
    {
        news.said.changes.push_back(kept(number));
    }
    return news;
}

TEST(notice, long_answer_is_sent_in_datagrams_that_continue_each_other)
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
        EXPECT_EQ(read.value().said.after, next);
        EXPECT_EQ(read.value().said.clock_ms, 1234);
        next = read.value().said.next;
        changes += read.value().said.changes.size();
    }
    EXPECT_EQ(next, 300U);
    EXPECT_EQ(changes, 200U);
}

TEST(notice, answer_without_changes_still_tells_that_the_store_lives)
{
    const auto datagrams = encode(news_of(100, 0));
    ASSERT_EQ(datagrams.size(), 1U);
    EXPECT_EQ(decode(datagrams[0]).value().said.next, 100U);
}

TEST(notice, gap_is_passed_on_as_missing_changes)
{
    auto news = news_of(100, 5);
    news.said.gap = true;
    const auto read = decode(encode(news).at(0));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read.value().said.after, 105U);
    EXPECT_TRUE(read.value().said.changes.empty());
}

TEST(notice, datagram_of_another_kind_is_told_apart)
{
    EXPECT_FALSE(is_notice(std::string(1, '\x87')));
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
    view.use({{.service = serving::service_id{"s"}}});
    std::uint64_t next = 0;
    std::vector<std::string> late;
    const mono_time now{std::chrono::seconds(100)};
    const auto give = [&](const std::string& datagram)
    {
        const auto read = decode(datagram);
        RC_ASSERT(read.has_value());
        (void)view.take(read.value().store, read.value().said, now);
    };
    for (const auto fate : fates)
    {
        const auto news = news_of(next, fate % 60);
        next = news.said.next;
        for (const auto& datagram : encode(news))
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
            view.parts_known() == view.next_change(serving::service_id{"s"}));
    }
}

} // namespace
} // namespace wagtailseam::cache_relay
