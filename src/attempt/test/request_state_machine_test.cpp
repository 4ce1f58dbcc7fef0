// Tests retries of idempotent requests: their targets, their continuation,
// their number and the final result code.
#include "attempt/request_state_machine.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace wagtailseam::attempt
{
namespace
{

using std::chrono::seconds;

struct request_state_machine_test : testing::Test
{
    random_source random{1};
    mono_time now{};
    request_state_machine machine{
        request_options{
            .id = request_id{"r"}, .deadline = mono_time(seconds(10))},
        random};
    std::vector<request_command> commands;

    void SetUp() override { handle(request_begun{}); }

    void handle(const request_event& event)
    {
        commands = machine.handle(event, now);
    }

    void plan_on(const char* upstream)
    {
        handle(attempt_planned{{upstream_id{upstream}, incarnation{1}, {}}});
    }

    template <class Command>
    const Command* find_command() const
    {
        return commands.empty() ? nullptr
                                : std::get_if<Command>(&commands.front());
    }
};

TEST_F(
    request_state_machine_test,
    lost_attempt_continues_on_other_upstream_after_delivered_part)
{
    plan_on("a");
    handle(part_received{"Hello"});
    handle(attempt_ended{unknown{result_code::upstream_lost}});
    ASSERT_NE(find_command<start_backoff>(), nullptr);
    handle(backoff_expired{});
    ASSERT_NE(find_command<plan_attempt>(), nullptr);
    EXPECT_EQ(
        find_command<plan_attempt>()->avoid,
        std::vector<upstream_id>{upstream_id{"a"}});
    plan_on("b");
    ASSERT_NE(find_command<run_attempt>(), nullptr);
    EXPECT_EQ(find_command<run_attempt>()->delivered, "Hello");
    EXPECT_EQ(find_command<run_attempt>()->attempt.number, attempt_number{2});
}

TEST_F(
    request_state_machine_test,
    refusal_after_unknown_attempt_does_not_end_as_not_run)
{
    plan_on("a");
    handle(attempt_ended{unknown{result_code::upstream_lost}});
    handle(backoff_expired{});
    handle(planning_failed{result_code::no_upstream});
    ASSERT_NE(find_command<end_request>(), nullptr);
    EXPECT_FALSE(is_not_run(find_command<end_request>()->code));
}

TEST_F(
    request_state_machine_test,
    partial_answer_without_retry_ends_with_stream_broken)
{
    plan_on("a");
    handle(part_received{"Hello"});
    handle(attempt_ended{unknown{result_code::upstream_lost}});
    handle(backoff_expired{});
    handle(planning_failed{result_code::retry_budget_spent});
    ASSERT_NE(find_command<end_request>(), nullptr);
    EXPECT_EQ(find_command<end_request>()->code, result_code::stream_broken);
}

TEST_F(request_state_machine_test, quarantined_request_is_not_retried)
{
    plan_on("a");
    handle(attempt_ended{not_run{result_code::quarantined}});
    ASSERT_NE(find_command<end_request>(), nullptr);
    EXPECT_EQ(find_command<end_request>()->code, result_code::quarantined);
}

/// For any results of the attempts, the request ends within max_attempts, with
/// a not-run code only if no attempt may have run, and with ok only after a
/// complete answer.
RC_GTEST_PROP(
    request_state_machine_property, any_attempt_results_give_correct_final_code,
    ())
{
    enum ending
    {
        refused,
        lost,
        interrupted,
        complete
    };
    const auto endings =
        *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 4));
    random_source random(*rc::gen::arbitrary<std::uint64_t>());
    request_state_machine machine(
        {.id = request_id{"r"}, .deadline = mono_time(seconds(10))}, random);
    mono_time now{};
    (void)machine.handle(request_begun{}, now);
    bool may_have_run = false;
    std::size_t next = 0;
    std::vector<request_command> commands;
    while (commands.empty() ||
           !std::holds_alternative<end_request>(commands.front()))
    {
        RC_ASSERT(next < 4U);
        (void)machine.handle(attempt_planned{}, now);
        const int end = endings[next++];
        may_have_run |= end != refused;
        if (end == interrupted)
        {
            (void)machine.handle(part_received{"x"}, now);
        }
        attempt_result result = unknown{result_code::upstream_lost};
        if (end == refused)
        {
            result = not_run{result_code::upstream_busy};
        }
        else if (end == complete)
        {
            result = finished{{200, ""}};
        }
        commands = machine.handle(attempt_ended{result}, now);
        if (const auto* const backoff =
                std::get_if<start_backoff>(&commands.front()))
        {
            now = backoff->at;
            commands = machine.handle(backoff_expired{}, now);
        }
    }
    const result_code code = std::get<end_request>(commands.front()).code;
    RC_ASSERT(!is_not_run(code) || !may_have_run);
    RC_ASSERT((code == result_code::ok) == (endings[next - 1] == complete));
}

} // namespace
} // namespace wagtailseam::attempt
