// Attempts of idempotent requests: elsewhere, continued, bounded, truthful.
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
    request_state_machine core{
        request_options{
            .id = request_id{"r"}, .deadline = mono_time(seconds(10))},
        random};
    std::vector<request_command> last;

    void SetUp() override { feed(request_begun{}); }

    void feed(const request_event& event) { last = core.handle(event, now); }

    void run_on(const char* upstream)
    {
        feed(attempt_planned{{upstream_id{upstream}, incarnation{1}, {}}});
    }

    template <class Command>
    const Command* commanded() const
    {
        return last.empty() ? nullptr : std::get_if<Command>(&last.front());
    }
};

TEST_F(
    request_state_machine_test,
    lost_attempt_continues_elsewhere_from_the_delivered)
{
    run_on("a");
    feed(part_received{"Hello"});
    feed(attempt_ended{unknown{result_code::upstream_lost}});
    ASSERT_NE(commanded<start_backoff>(), nullptr);
    feed(backoff_expired{});
    ASSERT_NE(commanded<plan_attempt>(), nullptr);
    EXPECT_EQ(
        commanded<plan_attempt>()->avoid,
        std::vector<upstream_id>{upstream_id{"a"}});
    run_on("b");
    ASSERT_NE(commanded<run_attempt>(), nullptr);
    EXPECT_EQ(commanded<run_attempt>()->delivered, "Hello");
    EXPECT_EQ(commanded<run_attempt>()->attempt.number, attempt_number{2});
}

TEST_F(
    request_state_machine_test,
    refusal_after_an_unknown_attempt_is_not_called_not_run)
{
    run_on("a");
    feed(attempt_ended{unknown{result_code::upstream_lost}});
    feed(backoff_expired{});
    feed(planning_failed{result_code::no_upstream});
    ASSERT_NE(commanded<end_request>(), nullptr);
    EXPECT_FALSE(is_not_run(commanded<end_request>()->code));
}

TEST_F(request_state_machine_test, answer_cut_for_good_ends_with_stream_broken)
{
    run_on("a");
    feed(part_received{"Hello"});
    feed(attempt_ended{unknown{result_code::upstream_lost}});
    feed(backoff_expired{});
    feed(planning_failed{result_code::retry_budget_spent});
    ASSERT_NE(commanded<end_request>(), nullptr);
    EXPECT_EQ(commanded<end_request>()->code, result_code::stream_broken);
}

TEST_F(request_state_machine_test, quarantined_request_is_not_tried_elsewhere)
{
    run_on("a");
    feed(attempt_ended{not_run{result_code::quarantined}});
    ASSERT_NE(commanded<end_request>(), nullptr);
    EXPECT_EQ(commanded<end_request>()->code, result_code::quarantined);
}

/// Whatever attempts end in, the request ends within its attempts, is called
/// not run only if no attempt may have run, and ok only after a whole answer.
RC_GTEST_PROP(request_state_machine_property, any_attempts_end_truthfully, ())
{
    enum ending
    {
        refused,
        lost,
        cut,
        whole
    };
    const auto endings =
        *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 4));
    random_source random(*rc::gen::arbitrary<std::uint64_t>());
    request_state_machine core(
        {.id = request_id{"r"}, .deadline = mono_time(seconds(10))}, random);
    mono_time now{};
    (void)core.handle(request_begun{}, now);
    bool may_have_run = false;
    std::size_t next = 0;
    std::vector<request_command> last;
    while (last.empty() || !std::holds_alternative<end_request>(last.front()))
    {
        RC_ASSERT(next < 4U);
        (void)core.handle(attempt_planned{}, now);
        const int end = endings[next++];
        may_have_run |= end != refused;
        if (end == cut)
        {
            (void)core.handle(part_received{"x"}, now);
        }
        attempt_result result = unknown{result_code::upstream_lost};
        if (end == refused)
        {
            result = not_run{result_code::upstream_busy};
        }
        else if (end == whole)
        {
            result = finished{{200, ""}};
        }
        last = core.handle(attempt_ended{result}, now);
        if (const auto* const pause = std::get_if<start_backoff>(&last.front()))
        {
            now = pause->at;
            last = core.handle(backoff_expired{}, now);
        }
    }
    const result_code code = std::get<end_request>(last.front()).code;
    RC_ASSERT(!is_not_run(code) || !may_have_run);
    RC_ASSERT((code == result_code::ok) == (endings[next - 1] == whole));
}

} // namespace
} // namespace wagtailseam::attempt
