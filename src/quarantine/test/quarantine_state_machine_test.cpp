// Strikes, the table and whole histories of a poison prompt sent through
// several entries. The oracle counts crashes outside the cores.
#include "quarantine/quarantine_state_machine.hpp"
#include "quarantine/suspect_run_slot.hpp"
#include "quarantine/test/poison_prompt_simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

namespace wagtailseam::quarantine
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::prompt;
using test::simulation;

crash_record struck(std::set<crash_id> crashes, duration life = seconds(60))
{
    return {
        .crashes = std::move(crashes),
        .cleared = {},
        .expires = wall_time(life)};
}

TEST(prompt_fingerprint, parts_do_not_run_into_each_other)
{
    const digest text = sha256("x");
    EXPECT_NE(
        make_prompt_fingerprint(workspace_id("ab"), model_id("c"), text),
        make_prompt_fingerprint(workspace_id("a"), model_id("bc"), text));
}

TEST(crash_record_cache, two_strikes_count_only_from_distinct_crashes)
{
    crash_record_cache board;
    board.merge(prompt("p"), struck({crash_id("c1")}));
    board.merge(prompt("p"), struck({crash_id("c1")}));
    EXPECT_TRUE(
        std::holds_alternative<suspect>(board.check(prompt("p"), wall_time{})));
    board.merge(prompt("p"), struck({crash_id("c2")}));
    EXPECT_TRUE(std::holds_alternative<quarantined>(
        board.check(prompt("p"), wall_time{})));
    EXPECT_TRUE(std::holds_alternative<unrestricted>(
        board.check(prompt("p"), wall_time(seconds(60)))));
}

TEST(crash_record_cache, late_strike_that_was_lifted_does_not_come_back)
{
    crash_record_cache board;
    crash_record lifted = struck({crash_id("c1"), crash_id("c2")});
    lifted.clear_crashes();
    board.merge(prompt("p"), lifted);
    board.merge(prompt("p"), struck({crash_id("c1")}));
    EXPECT_TRUE(std::holds_alternative<unrestricted>(
        board.check(prompt("p"), wall_time{})));
}

TEST(crash_record_cache, records_past_bound_drop_the_first_to_expire)
{
    crash_record_cache board(2);
    board.merge(prompt("a"), struck({crash_id("c")}, seconds(3)));
    board.merge(prompt("b"), struck({crash_id("c")}, seconds(1)));
    board.merge(prompt("c"), struck({crash_id("c")}, seconds(2)));
    EXPECT_EQ(board.size(), 2U);
    EXPECT_EQ(board.find(prompt("b")), nullptr);
}

TEST(crash_record, malformed_row_is_refused)
{
    EXPECT_FALSE(decode("{").has_value());
    EXPECT_FALSE(decode(R"({"strikes":[1],"cleared":[]})").has_value());
    EXPECT_FALSE(decode(R"({"strikes":[],"cleared":[]})").has_value());
}

RC_GTEST_PROP(
    crash_record, merge_in_any_order_gives_the_same,
    (std::vector<std::pair<std::uint8_t, bool>> steps, std::uint64_t seed))
{
    std::vector<crash_record> parts;
    for (const auto& [crash, lifted] : steps)
    {
        crash_record part =
            struck({crash_id(std::to_string(crash % 5))}, seconds(crash));
        if (lifted)
        {
            part.clear_crashes();
        }
        parts.push_back(part);
    }
    crash_record forwards;
    for (const crash_record& part : parts)
    {
        forwards.merge(part);
    }
    std::shuffle(parts.begin(), parts.end(), std::mt19937_64(seed));
    crash_record shuffled;
    for (const crash_record& part : parts)
    {
        shuffled.merge(part);
        shuffled.merge(part);
    }
    RC_ASSERT(forwards == shuffled);
    RC_ASSERT(decode(encode(forwards)).value() == forwards);
}

TEST(suspect_run_slot, second_suspect_waits_until_first_leaves)
{
    suspect_run_slot slot;
    EXPECT_TRUE(slot.try_acquire(request_id("a")));
    EXPECT_FALSE(slot.try_acquire(request_id("b")));
    slot.release(request_id("b"));
    EXPECT_TRUE(slot.suspect_running());
    slot.release(request_id("a"));
    EXPECT_TRUE(slot.try_acquire(request_id("b")));
}

RC_GTEST_PROP(
    poison_prompt, resent_through_all_entries_takes_down_at_most_three,
    (std::uint64_t seed, std::uint8_t entries, std::uint16_t gap))
{
    // The two boards lose one message in a hundred each, a table answer one in
    // five.
    simulation tested(
        {.entries = 1U + entries % 8,
         .message_loss = 0.01,
         .max_resend_gap = milliseconds(gap % 1000),
         .seed = seed});
    tested.run();
    RC_ASSERT(tested.crashes >= 2);
    RC_ASSERT(tested.crashes <= 3);
    RC_ASSERT(tested.refused == 100);
    RC_ASSERT(tested.bystanders_unfinished == 0);
}

RC_GTEST_PROP(
    poison_prompt, without_boards_two_entries_lose_at_most_three,
    (std::uint64_t seed, std::uint16_t gap))
{
    simulation tested(
        {.entries = 2,
         .peers = 0,
         .max_resend_gap = milliseconds(gap % 1000),
         .seed = seed});
    tested.run();
    RC_ASSERT(tested.crashes <= 3);
    RC_ASSERT(tested.bystanders_unfinished == 0);
}

RC_GTEST_PROP(
    poison_prompt, every_entry_refuses_within_five_seconds_by_table_alone,
    (std::uint64_t seed, std::uint8_t entries))
{
    const std::size_t count = 2U + entries % 8;
    simulation tested(
        {.entries = count,
         .peers = 0,
         .write_answer_loss = 0.5,
         .resends = 1,
         .seed = seed});
    tested.run();
    tested.advance_time(seconds(5));
    for (std::size_t i = 0; i < count; ++i)
    {
        RC_ASSERT(std::holds_alternative<quarantined>(
            tested.check(i, prompt("poison"))));
        for (const prompt_fingerprint& one : tested.bystanders)
        {
            RC_ASSERT(
                std::holds_alternative<unrestricted>(tested.check(i, one)));
        }
    }
}

TEST(quarantine_state_machine, finished_run_of_suspect_is_told_as_cleared)
{
    quarantine_state_machine core;
    random_source random(1);
    const quarantine_time now{mono_time{}, wall_time{}};
    (void)core.handle(
        crash_observed{crash_id("c"), {prompt("p")}}, random, now);
    const auto commands = core.handle(run_finished{prompt("p")}, random, now);
    ASSERT_FALSE(commands.empty());
    const auto& told = std::get<publish_records>(commands.front());
    EXPECT_EQ(told.records.at(0).second.uncleared_crash_count(), 0U);
}

TEST(quarantine_state_machine, strike_during_outage_reaches_table_after_it)
{
    simulation tested({.entries = 2, .peers = 0, .resends = 1});
    tested.table_down = true;
    tested.run();
    tested.advance_time(seconds(10));
    EXPECT_EQ(tested.table.size(), 0U);
    tested.table_down = false;
    tested.advance_time(seconds(5));
    EXPECT_TRUE(
        std::holds_alternative<quarantined>(tested.check(1, prompt("poison"))));
}

TEST(quarantine_state_machine, row_lifted_by_operator_is_clear_at_every_entry)
{
    simulation tested({.entries = 2, .peers = 0, .resends = 1});
    tested.run();
    tested.advance_time(seconds(5));
    const table_service::row_key at{
        std::string(table_name), prompt("poison").value().hex()};
    const auto row = tested.table.read(at);
    ASSERT_TRUE(row.has_value());
    crash_record record = decode(row->value).value();
    record.clear_crashes();
    tested.table.apply({{{at, row->version, encode(record)}}});
    tested.advance_time(seconds(5));
    for (const std::size_t entry : {0U, 1U})
    {
        EXPECT_TRUE(std::holds_alternative<unrestricted>(
            tested.check(entry, prompt("poison"))));
    }
}

} // namespace
} // namespace wagtailseam::quarantine
