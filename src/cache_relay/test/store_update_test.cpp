// Store updates that span several datagrams, and lost, reordered or malformed
// datagrams.
#include "cache_relay/store_update.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::cache_relay
{
namespace
{

serving::cache_change make_change(std::uint64_t number)
{
    return {
        .key =
            {serving::cache_salt{"w1.m"},
             serving::part_id{"part-" + std::to_string(number)}},
        .tokens = token_count{number},
        .number = number};
}

store_update make_update(std::uint64_t after, std::uint64_t count)
{
    store_update update{.store = serving::service_id{"s"}};
    update.answer = {
        .epoch = serving::store_epoch{7},
        .after = after,
        .next_cursor = after + count,
        .clock_ms = 1234};
    for (std::uint64_t number = after + 1; number <= after + count; ++number)
    {
        update.answer.changes.push_back(make_change(number));
    }
    return update;
}

TEST(store_update, long_answer_is_split_into_consecutive_datagrams)
{
    const auto datagrams = encode(make_update(100, 200));
    ASSERT_GT(datagrams.size(), 1U);
    std::uint64_t next = 100;
    std::size_t changes = 0;
    for (const auto& datagram : datagrams)
    {
        EXPECT_LE(datagram.size(), max_datagram_bytes);
        const auto decoded = decode(datagram);
        ASSERT_TRUE(decoded.has_value());
        EXPECT_EQ(decoded.value().answer.after, next);
        EXPECT_EQ(decoded.value().answer.clock_ms, 1234);
        next = decoded.value().answer.next_cursor;
        changes += decoded.value().answer.changes.size();
    }
    EXPECT_EQ(next, 300U);
    EXPECT_EQ(changes, 200U);
}

TEST(store_update, answer_without_changes_is_sent_as_heartbeat)
{
    const auto datagrams = encode(make_update(100, 0));
    ASSERT_EQ(datagrams.size(), 1U);
    EXPECT_EQ(decode(datagrams[0]).value().answer.next_cursor, 100U);
}

TEST(store_update, gap_is_encoded_as_missing_changes)
{
    auto update = make_update(100, 5);
    update.answer.gap = true;
    const auto decoded = decode(encode(update).at(0));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded.value().answer.after, 105U);
    EXPECT_TRUE(decoded.value().answer.changes.empty());
}

TEST(store_update, datagram_of_another_type_is_rejected)
{
    EXPECT_FALSE(is_store_update(std::string(1, '\x87')));
    EXPECT_FALSE(decode("").has_value());
}

RC_GTEST_PROP(
    store_update_property, decode_accepts_arbitrary_bytes_without_crash, ())
{
    (void)decode("C" + *rc::gen::arbitrary<std::string>());
}

RC_GTEST_PROP(
    store_update_property, lost_datagrams_leave_view_consistent_with_its_cursor,
    (const std::vector<std::uint8_t>& actions))
{
    // The store adds parts one by one; datagrams to the view are lost, delayed
    // and duplicated.
    serving::cache_view view;
    view.set_stores({{.service = serving::service_id{"s"}}});
    std::uint64_t next = 0;
    std::vector<std::string> delayed;
    const mono_time now{std::chrono::seconds(100)};
    const auto deliver = [&](const std::string& datagram)
    {
        const auto decoded = decode(datagram);
        RC_ASSERT(decoded.has_value());
        (void)view.apply(decoded.value().store, decoded.value().answer, now);
    };
    for (const auto action : actions)
    {
        const auto update = make_update(next, action % 60);
        next = update.answer.next_cursor;
        for (const auto& datagram : encode(update))
        {
            if (action % 5 == 0)
            {
                delayed.push_back(datagram);
            }
            else if (action % 5 != 1)
            {
                deliver(datagram);
            }
        }
        if (action % 7 == 0 && !delayed.empty())
        {
            deliver(delayed.front());
        }
        // The view holds exactly the parts up to its poll cursor.
        RC_ASSERT(
            view.part_count() == view.poll_cursor(serving::service_id{"s"}));
    }
}

} // namespace
} // namespace wagtailseam::cache_relay
