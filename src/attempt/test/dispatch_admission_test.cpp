// Tests dispatches and tombstones in any order, also after records were
// removed.
#include "attempt/dispatch_admission.hpp"
#include "core/overloaded.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace wagtailseam::attempt
{
namespace
{

using std::chrono::seconds;

const incarnation sidecar_incarnation{3};

attempt_id make_attempt_id(int number)
{
    return {request_id{std::to_string(number)}, attempt_number{1}};
}

sidecar_time at(int second)
{
    return sidecar_time(seconds(second));
}

struct dispatch_admission_test : testing::Test
{
    dispatch_admission admission{dispatch_admission_options{
        .sidecar_incarnation = sidecar_incarnation,
        .version = weight_version{5},
        .config = config_number{9}}};

    dispatch_arrived dispatch{
        .attempt = make_attempt_id(1),
        .sidecar_incarnation = sidecar_incarnation,
        .valid_until = at(20),
        .version = weight_version{5},
        .config = config_number{9}};

    result_code refusal(int second = 1)
    {
        const auto command = admission.handle(dispatch, at(second));
        const auto* const refused = std::get_if<refuse_dispatch>(&command);
        return refused != nullptr ? refused->code : result_code::ok;
    }

    tombstone_answer tombstone(incarnation asked = sidecar_incarnation)
    {
        const auto command = admission.handle(
            tombstone_arrived{dispatch.attempt, asked, dispatch.valid_until},
            at(1));
        return std::get<answer_tombstone>(command).answer;
    }
};

TEST_F(
    dispatch_admission_test, first_dispatch_begins_and_second_replays_response)
{
    EXPECT_TRUE(
        std::holds_alternative<begin_run>(admission.handle(dispatch, at(1))));
    EXPECT_TRUE(std::holds_alternative<replay_response>(
        admission.handle(dispatch, at(2))));
    EXPECT_EQ(admission.running(), 1U);
}

TEST_F(dispatch_admission_test, dispatch_for_other_incarnation_is_refused)
{
    dispatch.sidecar_incarnation = incarnation{2};
    EXPECT_EQ(refusal(), result_code::stale_incarnation);
}

TEST_F(dispatch_admission_test, dispatch_after_valid_until_is_refused)
{
    EXPECT_EQ(refusal(21), result_code::dispatch_expired);
}

TEST_F(dispatch_admission_test, dispatch_valid_for_too_long_is_refused)
{
    dispatch.valid_until = at(1000);
    EXPECT_EQ(refusal(), result_code::malformed_message);
}

TEST_F(dispatch_admission_test, dispatch_while_draining_is_refused)
{
    (void)admission.handle(drain_started{}, at(1));
    EXPECT_EQ(refusal(), result_code::upstream_draining);
}

TEST_F(dispatch_admission_test, dispatch_for_other_weight_version_is_refused)
{
    (void)admission.handle(weight_version_changed{weight_version{6}}, at(1));
    EXPECT_EQ(refusal(), result_code::weight_version_mismatch);
}

TEST_F(dispatch_admission_test, dispatch_of_older_configuration_is_refused)
{
    (void)admission.handle(config_learned{config_number{10}}, at(1));
    EXPECT_EQ(refusal(), result_code::stale_configuration);
}

TEST_F(dispatch_admission_test, dispatch_after_tombstone_is_refused)
{
    EXPECT_EQ(tombstone(), tombstone_answer{never_begun{}});
    EXPECT_EQ(refusal(), result_code::tombstoned);
}

TEST_F(dispatch_admission_test, tombstone_after_begin_returns_state_of_run)
{
    EXPECT_EQ(refusal(), result_code::ok);
    EXPECT_EQ(tombstone(), tombstone_answer{still_running{}});
    const run_outcome outcome{200, "done"};
    (void)admission.handle(run_finished{dispatch.attempt, outcome}, at(1));
    EXPECT_EQ(tombstone(), tombstone_answer{has_finished{outcome}});
}

TEST_F(
    dispatch_admission_test, tombstone_after_lost_run_is_answered_cannot_tell)
{
    EXPECT_EQ(refusal(), result_code::ok);
    (void)admission.handle(run_lost{dispatch.attempt}, at(1));
    EXPECT_TRUE(std::holds_alternative<cannot_tell>(tombstone()));
    EXPECT_EQ(admission.running(), 0U);
}

TEST_F(
    dispatch_admission_test,
    tombstone_for_other_incarnation_is_answered_cannot_tell)
{
    EXPECT_TRUE(std::holds_alternative<cannot_tell>(tombstone(incarnation{2})));
}

/// One message: its kind, the attempt's number, the age of the clock reading in
/// seconds, and the seconds since the previous message.
using message = std::tuple<int, int, int, int>;

/// Checks the commands for a sequence of messages.
struct admission_oracle
{
    std::map<attempt_id, int> begin_counts;
    std::set<attempt_id> answered_never_begun;

    void check(const admission_command& command)
    {
        std::visit(
            overloaded{
                [&](const begin_run& run)
                {
                    RC_ASSERT(++begin_counts[run.attempt] == 1);
                    RC_ASSERT(!answered_never_begun.contains(run.attempt));
                },
                [&](const replay_response& run)
                { RC_ASSERT(begin_counts.contains(run.attempt)); },
                [&](const refuse_dispatch& refusal)
                { RC_ASSERT(is_not_run(refusal.code)); },
                [&](const answer_tombstone& reply)
                {
                    if (std::holds_alternative<never_begun>(reply.answer))
                    {
                        RC_ASSERT(!begin_counts.contains(reply.attempt));
                        answered_never_begun.insert(reply.attempt);
                    }
                },
                [](const no_action&) {}},
            command);
    }
};

/// With limits so small that records are constantly removed, an attempt begins
/// at most once, and never after a tombstone was answered with never_begun.
RC_GTEST_PROP(
    dispatch_admission_property, any_messages_begin_an_attempt_at_most_once, ())
{
    using rc::gen::inRange;
    const auto messages =
        *rc::gen::container<std::vector<message>>(rc::gen::tuple(
            inRange(0, 5), inRange(0, 5), inRange(0, 6), inRange(0, 8)));
    dispatch_admission admission{dispatch_admission_options{
        .sidecar_incarnation = sidecar_incarnation,
        .dispatch_validity = seconds(5),
        .begun_record_retention = seconds(4),
        .max_begun_records = 2,
        .max_tombstones = 1,
        .max_outcome_bytes = 3}};
    admission_oracle oracle;
    std::map<attempt_id, sidecar_time> valid_until;
    int second = 10;
    for (const auto& [kind, number, age, elapsed] : messages)
    {
        second += elapsed;
        const attempt_id attempt = make_attempt_id(number);
        // All copies of an attempt's dispatch carry the same valid_until.
        const sidecar_time first_valid_until =
            valid_until.emplace(attempt, at(second - age + 5)).first->second;
        admission_event event;
        if (kind <= 1)
        {
            event = dispatch_arrived{
                attempt, sidecar_incarnation, first_valid_until, {}, {}};
        }
        else if (kind <= 3)
        {
            event = tombstone_arrived{
                attempt, sidecar_incarnation, first_valid_until};
        }
        else
        {
            event = run_finished{attempt, {200, "x"}};
        }
        oracle.check(admission.handle(event, at(second)));
        RC_ASSERT(admission.begun_record_count() <= 2U);
        RC_ASSERT(admission.tombstone_count() <= 1U);
    }
}

} // namespace
} // namespace wagtailseam::attempt
