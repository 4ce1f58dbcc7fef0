// Tests of the statements of upstreams: leaving, pauses and their processes.
#include "core/test/property.hpp"
#include "upstream_statement/statement_record.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace wagtailseam::upstream_statement
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const upstream_process first{upstream_id{"a"}, 1};
const upstream_process successor{upstream_id{"a"}, 2};
const upstream_process other{upstream_id{"b"}, 1};

class statement_record_fixture : public testing::Test
{
protected:
    statement_change state(
        const upstream_process& process, const response_statement& statement)
    {
        return record_.record_response(process, statement, now_, now_);
    }
    [[nodiscard]] bool is_restricted(const upstream_process& process) const
    {
        return record_.restricted(now_, wall_now()).contains(process);
    }
    [[nodiscard]] restriction_end first_end(
        const std::set<upstream_process>& processes) const
    {
        return record_.first_end(processes, now_, wall_now());
    }
    [[nodiscard]] wall_time wall_now() const
    {
        return wall_time(now_.time_since_epoch());
    }

    statement_record record_;
    mono_time now_{std::chrono::hours(1)};
};

TEST_F(statement_record_fixture, process_without_statement_is_unrestricted)
{
    (void)state(first, {});
    EXPECT_FALSE(is_restricted(first));
}

TEST_F(statement_record_fixture, leaving_does_not_end)
{
    EXPECT_TRUE(state(first, {.leaving = true}).leaving_began);
    EXPECT_FALSE(state(first, {}).leaving_began);
    record_.erase(first);
    now_ += std::chrono::hours(1);
    EXPECT_TRUE(is_restricted(first));
    EXPECT_EQ(first_end({first}).reason, restriction::leaving);
}

TEST_F(statement_record_fixture, leaving_binds_one_process_only)
{
    (void)state(first, {.leaving = true});
    EXPECT_FALSE(is_restricted(successor));
    (void)state(successor, {});
    EXPECT_FALSE(is_restricted(successor));
    EXPECT_FALSE(is_restricted(other));
}

TEST_F(statement_record_fixture, late_response_of_a_predecessor_changes_nothing)
{
    (void)state(successor, {.pause = seconds(1)});
    (void)state(first, {.leaving = true, .pause = seconds(9)});
    EXPECT_FALSE(record_.is_leaving(successor));
    now_ += seconds(1);
    EXPECT_FALSE(is_restricted(successor));
}

TEST_F(statement_record_fixture, pause_lasts_to_its_end)
{
    (void)state(first, {.pause = seconds(30)});
    now_ += seconds(30) - milliseconds(1);
    EXPECT_TRUE(is_restricted(first));
    now_ += milliseconds(1);
    EXPECT_FALSE(is_restricted(first));
}

TEST_F(statement_record_fixture, later_responses_do_not_shorten_a_pause)
{
    (void)state(first, {.pause = seconds(30)});
    (void)state(first, {});
    EXPECT_FALSE(state(first, {.pause = seconds(2)}).pause);
    now_ += seconds(29);
    EXPECT_TRUE(is_restricted(first));
}

TEST_F(statement_record_fixture, later_refusal_prolongs_a_pause)
{
    (void)state(first, {.pause = seconds(2)});
    now_ += seconds(1);
    (void)state(first, {.pause = seconds(9)});
    now_ += seconds(8);
    EXPECT_TRUE(is_restricted(first));
}

TEST_F(statement_record_fixture, pause_ends_with_its_process)
{
    (void)state(first, {.pause = seconds(30)});
    EXPECT_FALSE(is_restricted(successor));
    (void)state(successor, {.leaving = false});
    EXPECT_FALSE(is_restricted(successor));
}

TEST_F(statement_record_fixture, first_end_is_that_of_the_shortest_restriction)
{
    (void)state(first, {.pause = seconds(30)});
    (void)state(other, {.pause = seconds(6)});
    const auto end = first_end({first, other});
    EXPECT_EQ(end.reason, restriction::paused);
    EXPECT_EQ(end.remaining, seconds(6));
    (void)state(other, {.leaving = true});
    EXPECT_EQ(first_end({first, other}).remaining, seconds(30));
}

TEST_F(statement_record_fixture, limited_process_is_restricted_by_its_share)
{
    const response_statement limited{.limit = rate_limit::request_rate{0}};
    (void)state(first, limited);
    // The position of this gateway is unknown.
    EXPECT_TRUE(is_restricted(first));
    EXPECT_FALSE(is_restricted(successor));
    EXPECT_EQ(first_end({first}).reason, restriction::limited);
    record_.erase(first);
    EXPECT_FALSE(is_restricted(first));
}

TEST_F(statement_record_fixture, refusal_without_a_limit_does_not_end_it)
{
    (void)state(first, {.limit = rate_limit::request_rate{0}});
    now_ += seconds(1);
    (void)state(first, {.refusal = true});
    EXPECT_TRUE(is_restricted(first));
    now_ += seconds(1);
    (void)state(first, {});
    EXPECT_FALSE(is_restricted(first));
}

TEST(statement_record, number_of_upstreams_is_bounded)
{
    constexpr std::size_t bound = 8;
    statement_record record({.max_upstreams = bound});
    mono_time now{seconds(1)};
    for (std::size_t number = 0; number < 3 * bound; ++number)
    {
        now += milliseconds(1);
        (void)record.record_leaving(
            {upstream_id{std::to_string(number)}, 1}, now);
    }
    EXPECT_EQ(record.leaving_count(), bound);
    EXPECT_TRUE(
        record.is_leaving({upstream_id{std::to_string(3 * bound - 1)}, 1}));
}

/// What a correct record knows about a process.
struct expected_statement
{
    bool leaving = false;
    mono_time paused_until;
};

/// Checks the restrictions of the newest processes; their predecessors get no
/// requests anyway.
void check_newest(
    const statement_record& record,
    const std::map<upstream_process, expected_statement>& expected,
    const std::map<upstream_id, std::uint64_t>& newest, mono_time now)
{
    const auto restricted =
        record.restricted(now, wall_time(now.time_since_epoch()));
    for (const auto& [known, statement] : expected)
    {
        if (known.started_ms == newest.at(known.id))
        {
            RC_ASSERT(
                restricted.contains(known) ==
                (statement.leaving || now < statement.paused_until));
        }
    }
}

// Responses of processes that replace each other, in any order, with time and
// unlisted processes between them.
void check_restrictions(
    const std::vector<
        std::tuple<std::uint8_t, std::uint8_t, std::uint8_t, std::uint16_t>>&
        steps)
{
    statement_record record;
    std::map<upstream_process, expected_statement> expected;
    std::map<upstream_id, std::uint64_t> newest;
    mono_time now{std::chrono::hours(1)};
    for (const auto& [kind, id, start, amount] : steps)
    {
        const upstream_process process{
            upstream_id{std::to_string(id % 3)}, std::uint64_t{1} + start % 3U};
        const duration time = milliseconds(amount);
        auto& latest = newest[process.id];
        const bool is_current = process.started_ms >= latest;
        switch (kind % 5)
        {
        case 0:
            now += time;
            break;
        case 1:
            (void)record.record_response(process, {.leaving = true}, now, now);
            expected[process].leaving |= is_current;
            latest = std::max(latest, process.started_ms);
            break;
        case 2:
            if (time > duration::zero())
            {
                (void)record.record_response(
                    process, {.pause = time, .refusal = true}, now, now);
                auto& until = expected[process].paused_until;
                until = is_current ? std::max(until, now + time) : until;
                latest = std::max(latest, process.started_ms);
            }
            break;
        case 3:
            (void)record.record_response(process, {}, now - time, now);
            break;
        default:
            record.erase(process);
            for (auto& [known, statement] : expected)
            {
                const bool ended = known.id == process.id &&
                                   known.started_ms <= process.started_ms;
                if (ended && !statement.leaving)
                {
                    statement.paused_until = mono_time{};
                }
            }
            break;
        }
        check_newest(record, expected, newest, now);
    }
}

TEST(statement_record, restricts_exactly_the_processes_that_stated_it)
{
    constexpr int test_cases = 2000;
    check_property(test_cases, check_restrictions);
}

} // namespace
} // namespace wagtailseam::upstream_statement
