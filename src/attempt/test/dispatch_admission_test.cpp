// Dispatches and tombstones in any order, with and without forgetting.
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

attempt_id attempt_of(int number)
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
        .attempt = attempt_of(1),
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

TEST_F(dispatch_admission_test, first_dispatch_begins_and_second_is_served)
{
    EXPECT_TRUE(
        std::holds_alternative<begin_run>(admission.handle(dispatch, at(1))));
    EXPECT_TRUE(std::holds_alternative<replay_response>(
        admission.handle(dispatch, at(2))));
    EXPECT_EQ(admission.running(), 1U);
}

TEST_F(dispatch_admission_test, dispatch_for_other_life_is_refused)
{
    dispatch.sidecar_incarnation = incarnation{2};
    EXPECT_EQ(refusal(), result_code::stale_incarnation);
}

TEST_F(dispatch_admission_test, dispatch_after_its_validity_is_refused)
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

TEST_F(dispatch_admission_test, dispatch_for_other_weights_is_refused)
{
    (void)admission.handle(weight_version_changed{weight_version{6}}, at(1));
    EXPECT_EQ(refusal(), result_code::weight_version_mismatch);
}

TEST_F(dispatch_admission_test, dispatch_of_older_configuration_is_refused)
{
    (void)admission.handle(config_learned{config_number{10}}, at(1));
    EXPECT_EQ(refusal(), result_code::stale_configuration);
}

TEST_F(dispatch_admission_test, tombstone_before_dispatch_stops_it)
{
    EXPECT_EQ(tombstone(), tombstone_answer{never_begun{}});
    EXPECT_EQ(refusal(), result_code::tombstoned);
}

TEST_F(dispatch_admission_test, tombstone_after_begin_tells_how_far_the_run_is)
{
    EXPECT_EQ(refusal(), result_code::ok);
    EXPECT_EQ(tombstone(), tombstone_answer{still_running{}});
    const run_outcome outcome{200, "done"};
    (void)admission.handle(run_finished{dispatch.attempt, outcome}, at(1));
    EXPECT_EQ(tombstone(), tombstone_answer{has_finished{outcome}});
}

TEST_F(dispatch_admission_test, tombstone_after_lost_run_cannot_tell)
{
    EXPECT_EQ(refusal(), result_code::ok);
    (void)admission.handle(run_lost{dispatch.attempt}, at(1));
    EXPECT_TRUE(std::holds_alternative<cannot_tell>(tombstone()));
    EXPECT_EQ(admission.running(), 0U);
}

TEST_F(dispatch_admission_test, tombstone_for_other_life_cannot_tell)
{
    EXPECT_TRUE(std::holds_alternative<cannot_tell>(tombstone(incarnation{2})));
}

/// One message to a gate: what, which attempt, how old its reading is, and
/// how much time has passed since the message before.
using message = std::tuple<int, int, int, int>;

/// What a sequence of messages saw.
struct admission_oracle
{
    std::map<attempt_id, int> begun;
    std::set<attempt_id> promised_never;

    void check(const admission_command& command)
    {
        std::visit(
            overloaded{
                [&](const begin_run& run)
                {
                    RC_ASSERT(++begun[run.attempt] == 1);
                    RC_ASSERT(!promised_never.contains(run.attempt));
                },
                [&](const replay_response& run)
                { RC_ASSERT(begun.contains(run.attempt)); },
                [&](const refuse_dispatch& refusal)
                { RC_ASSERT(is_not_run(refusal.code)); },
                [&](const answer_tombstone& reply)
                {
                    if (std::holds_alternative<never_begun>(reply.answer))
                    {
                        RC_ASSERT(!begun.contains(reply.attempt));
                        promised_never.insert(reply.attempt);
                    }
                },
                [](const no_action&) {}},
            command);
    }
};

/// With bounds so small that records are forgotten all the time, an attempt
/// begins at most once, and never after "never begun" was said.
RC_GTEST_PROP(
    dispatch_admission_property, any_messages_begin_an_attempt_once, ())
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
    for (const auto& [what, number, age, passed] : messages)
    {
        second += passed;
        const attempt_id attempt = attempt_of(number);
        // An attempt's dispatch carries one time, however often it is copied.
        const sidecar_time valid =
            valid_until.emplace(attempt, at(second - age + 5)).first->second;
        admission_event event;
        if (what <= 1)
        {
            event =
                dispatch_arrived{attempt, sidecar_incarnation, valid, {}, {}};
        }
        else if (what <= 3)
        {
            event = tombstone_arrived{attempt, sidecar_incarnation, valid};
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
