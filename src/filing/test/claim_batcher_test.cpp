// Writes that share transactions: answers as if each had been sent alone.
#include "core/overloaded.hpp"
#include "filing/claim_batcher.hpp"
#include "table_service/memory_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace wagtailseam::filing
{
namespace
{

using std::chrono::milliseconds;

table_service::row_write claim(int key, const std::string& value)
{
    return {
        {"filing", std::to_string(key)},
        table_service::absent_row_version,
        value};
}

/// A batcher before a table, in virtual time.
struct batched_table
{
    explicit batched_table(const claim_batcher_options& options)
        : batcher(options)
    {
    }

    claim_batcher batcher;
    table_service::memory_table table;
    mono_time now{};
    mono_time timer{};
    std::uint64_t transactions = 0;
    std::deque<send_transaction> sent;
    std::map<std::uint64_t, table_service::transaction_result> answers;

    void feed(const batcher_event& event)
    {
        for (const batcher_command& command : batcher.handle(event, now))
        {
            std::visit(
                overloaded{
                    [this](const send_transaction& asked)
                    {
                        ++transactions;
                        sent.push_back(asked);
                    },
                    [this](const write_answered& answer)
                    {
                        const bool first =
                            answers
                                .emplace(answer.ticket.value(), answer.answer)
                                .second;
                        ASSERT_TRUE(first);
                    },
                    [this](const set_batch_timer& set) { timer = set.at; }},
                command);
        }
    }

    void answer_all()
    {
        while (!sent.empty())
        {
            const send_transaction asked = sent.front();
            sent.pop_front();
            feed(transaction_answered{
                asked.number, table.apply(asked.transaction)});
        }
    }

    void pass(duration passed)
    {
        now += passed;
        feed(batch_timer_due{});
        answer_all();
    }
};

struct claim_batcher_test : testing::Test
{
    batched_table sut{claim_batcher_options{.max_waiting = 4}};

    void want(std::uint64_t ticket, int key, bool urgent = true)
    {
        sut.feed(write_wanted{write_ticket{ticket}, claim(key, "v"), urgent});
    }
};

TEST_F(claim_batcher_test, writes_within_the_window_share_a_transaction)
{
    want(1, 1);
    want(2, 2);
    EXPECT_EQ(sut.transactions, 0U);
    sut.pass(milliseconds(3));
    EXPECT_EQ(sut.transactions, 1U);
    EXPECT_EQ(sut.answers.size(), 2U);
}

TEST_F(claim_batcher_test, lazy_write_rides_with_an_urgent_one)
{
    want(1, 1, false);
    sut.pass(milliseconds(3));
    EXPECT_EQ(sut.transactions, 0U);
    want(2, 2);
    sut.pass(milliseconds(3));
    EXPECT_EQ(sut.transactions, 1U);
    EXPECT_EQ(sut.answers.size(), 2U);
}

TEST_F(claim_batcher_test, writes_of_one_row_never_share_a_transaction)
{
    want(1, 1);
    want(2, 1);
    sut.pass(milliseconds(3));
    EXPECT_EQ(sut.transactions, 2U);
    EXPECT_TRUE(
        std::holds_alternative<table_service::committed>(sut.answers.at(1)));
    EXPECT_TRUE(
        std::holds_alternative<table_service::conflicted>(sut.answers.at(2)));
}

TEST_F(claim_batcher_test, write_beyond_the_bound_is_refused)
{
    for (int key = 1; key <= 5; ++key)
    {
        want(static_cast<std::uint64_t>(key), key);
    }
    ASSERT_EQ(sut.answers.size(), 1U);
    EXPECT_TRUE(
        std::holds_alternative<table_service::rejected>(sut.answers.at(5)));
}

TEST_F(claim_batcher_test, lost_answer_is_lost_for_every_write)
{
    want(1, 1);
    want(2, 2);
    sut.now += milliseconds(3);
    sut.feed(batch_timer_due{});
    sut.feed(transaction_answered{
        sut.sent.front().number, table_service::outcome_unknown{}});
    EXPECT_TRUE(std::holds_alternative<table_service::outcome_unknown>(
        sut.answers.at(1)));
    EXPECT_TRUE(std::holds_alternative<table_service::outcome_unknown>(
        sut.answers.at(2)));
}

/// Of all inserts of a key exactly one commits, each write is answered once,
/// and the row holds the value of the one that was told so.
RC_GTEST_PROP(claim_batcher_property, any_inserts_commit_once_for_each_key, ())
{
    using rc::gen::inRange;
    const auto wants = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(inRange(0, 6), inRange(0, 4)));
    batched_table sut{claim_batcher_options{.max_writes = 3}};
    std::vector<int> keys;
    for (const auto& [key, passed] : wants)
    {
        keys.push_back(key);
        sut.feed(write_wanted{
            write_ticket{keys.size()}, claim(key, std::to_string(keys.size())),
            passed != 0});
        sut.pass(milliseconds(passed));
    }
    sut.pass(milliseconds(100));
    RC_ASSERT(sut.answers.size() == keys.size());
    std::map<int, std::string> winners;
    for (std::size_t ticket = 1; ticket <= keys.size(); ++ticket)
    {
        if (std::holds_alternative<table_service::committed>(
                sut.answers.at(ticket)))
        {
            RC_ASSERT(winners.emplace(keys[ticket - 1], std::to_string(ticket))
                          .second);
        }
    }
    for (const int key : keys)
    {
        const auto row = sut.table.read({"filing", std::to_string(key)});
        RC_ASSERT(row && row->value == winners.at(key));
    }
}

} // namespace
} // namespace wagtailseam::filing
