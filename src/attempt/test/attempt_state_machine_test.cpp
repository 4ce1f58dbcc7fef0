// Tests the result of an attempt after losses, refusals and late answers.
#include "attempt/attempt_state_machine.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace wagtailseam::attempt
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

struct attempt_state_machine_test : testing::Test
{
    const attempt_id id{request_id{"r"}, attempt_number{1}};
    const incarnation sidecar_incarnation{4};
    mono_time now{};
    std::vector<attempt_command> last;
    std::optional<attempt_state_machine> machine;

    void start_attempt(bool idempotent)
    {
        machine.emplace(attempt_options{
            .id = id,
            .target = {upstream_id{"u"}, sidecar_incarnation, {}},
            .deadline = mono_time(seconds(10)),
            .idempotent = idempotent});
        handle(start{});
    }

    void SetUp() override { start_attempt(false); }

    void handle(const attempt_event& event, duration passed = duration{0})
    {
        now += passed;
        last = machine->handle(event, now);
    }

    void send() { handle(dispatch_written{}); }

    void begin()
    {
        send();
        handle(dispatch_accepted{});
    }

    template <class Command>
    const Command* find_command() const
    {
        for (const attempt_command& command : last)
        {
            if (const auto* const found = std::get_if<Command>(&command))
            {
                return found;
            }
        }
        return nullptr;
    }

    template <class Verdict>
    const Verdict* find_result() const
    {
        const auto* const end = find_command<report_result>();
        return end != nullptr ? std::get_if<Verdict>(&end->result) : nullptr;
    }
};

TEST_F(attempt_state_machine_test, failed_connect_before_sending_is_not_run)
{
    handle(connect_failed{});
    ASSERT_NE(find_result<not_run>(), nullptr);
    EXPECT_EQ(find_result<not_run>()->code, result_code::upstream_unreachable);
}

TEST_F(
    attempt_state_machine_test, connection_lost_after_sending_sends_tombstone)
{
    send();
    handle(connection_lost{});
    EXPECT_EQ(find_command<report_result>(), nullptr);
    EXPECT_NE(find_command<send_tombstone>(), nullptr);
}

TEST_F(attempt_state_machine_test, never_begun_after_loss_is_not_run)
{
    send();
    handle(connection_lost{});
    handle(tombstone_replied{never_begun{}});
    ASSERT_NE(find_result<not_run>(), nullptr);
    EXPECT_EQ(machine->state(), attempt_state::not_run);
}

TEST_F(attempt_state_machine_test, unanswered_tombstones_end_as_unknown)
{
    send();
    handle(connection_lost{});
    while (machine->state() == attempt_state::sent &&
           now < mono_time(seconds(30)))
    {
        handle(timer_expired{}, milliseconds(200));
    }
    EXPECT_NE(find_result<unknown>(), nullptr);
}

TEST_F(attempt_state_machine_test, still_running_after_loss_resumes_the_stream)
{
    send();
    handle(connection_lost{});
    handle(tombstone_replied{still_running{}});
    ASSERT_NE(find_command<resume_stream>(), nullptr);
    EXPECT_EQ(find_command<resume_stream>()->next_frame, 0U);
}

TEST_F(
    attempt_state_machine_test,
    finished_non_idempotent_attempt_after_loss_has_its_outcome)
{
    send();
    handle(connection_lost{});
    handle(tombstone_replied{has_finished{run_outcome{200, "done"}}});
    ASSERT_NE(find_result<finished>(), nullptr);
    EXPECT_EQ(find_result<finished>()->outcome.body, "done");
}

TEST_F(
    attempt_state_machine_test,
    sidecar_of_other_incarnation_leaves_outcome_unknown)
{
    send();
    handle(connection_lost{});
    handle(tombstone_replied{cannot_tell{result_code::upstream_lost}});
    ASSERT_NE(find_result<unknown>(), nullptr);
    EXPECT_FALSE(is_not_run(find_result<unknown>()->code));
}

TEST_F(
    attempt_state_machine_test,
    broken_stream_resumes_at_next_frame_and_finishes)
{
    begin();
    handle(frame{id, sidecar_incarnation, 0, "a"});
    ASSERT_NE(find_command<deliver>(), nullptr);
    handle(connection_lost{});
    ASSERT_NE(find_command<resume_stream>(), nullptr);
    EXPECT_EQ(find_command<resume_stream>()->next_frame, 1U);
    handle(frame{id, sidecar_incarnation, 0, "a"});
    EXPECT_EQ(find_command<deliver>(), nullptr);
    handle(frame{id, sidecar_incarnation, 1, "b"});
    handle(end_frame{id, sidecar_incarnation, 2, sha256("ab"), 200});
    ASSERT_NE(find_result<finished>(), nullptr);
    EXPECT_EQ(find_result<finished>()->outcome.body, "ab");
}

TEST_F(
    attempt_state_machine_test, end_frame_before_last_frame_resumes_the_stream)
{
    begin();
    handle(end_frame{id, sidecar_incarnation, 1, sha256("a"), 200});
    EXPECT_EQ(find_command<report_result>(), nullptr);
    EXPECT_NE(find_command<resume_stream>(), nullptr);
}

TEST_F(attempt_state_machine_test, wrong_digest_is_never_finished)
{
    begin();
    handle(frame{id, sidecar_incarnation, 0, "a"});
    handle(end_frame{id, sidecar_incarnation, 1, sha256("b"), 200});
    ASSERT_NE(find_result<unknown>(), nullptr);
    EXPECT_EQ(find_result<unknown>()->code, result_code::frame_digest_mismatch);
}

TEST_F(attempt_state_machine_test, refusal_after_acceptance_is_ignored)
{
    begin();
    handle(dispatch_refused{result_code::upstream_draining});
    EXPECT_EQ(find_command<report_result>(), nullptr);
    EXPECT_EQ(machine->state(), attempt_state::begun);
}

TEST_F(attempt_state_machine_test, unknown_refusal_code_leaves_outcome_unknown)
{
    send();
    handle(dispatch_refused{result_code_from_number(499)});
    EXPECT_NE(find_result<unknown>(), nullptr);
}

TEST_F(attempt_state_machine_test, no_answer_after_sending_sends_tombstone)
{
    send();
    handle(timer_expired{}, seconds(2));
    EXPECT_NE(find_command<send_tombstone>(), nullptr);
}

TEST_F(
    attempt_state_machine_test,
    caller_disconnect_does_not_cancel_non_idempotent_attempt)
{
    begin();
    handle(caller_disconnected{});
    EXPECT_TRUE(last.empty());
}

TEST_F(attempt_state_machine_test, caller_disconnect_cancels_idempotent_attempt)
{
    start_attempt(true);
    begin();
    handle(caller_disconnected{});
    EXPECT_NE(find_command<cancel_run>(), nullptr);
    ASSERT_NE(find_result<unknown>(), nullptr);
    EXPECT_EQ(find_result<unknown>()->code, result_code::caller_gone);
}

TEST_F(attempt_state_machine_test, deadline_while_running_is_unknown)
{
    begin();
    handle(timer_expired{}, seconds(10));
    ASSERT_NE(find_result<unknown>(), nullptr);
    EXPECT_EQ(find_result<unknown>()->code, result_code::deadline_passed);
}

TEST_F(attempt_state_machine_test, deadline_before_sending_is_not_run)
{
    handle(timer_expired{}, seconds(10));
    EXPECT_NE(find_result<not_run>(), nullptr);
}

} // namespace
} // namespace wagtailseam::attempt
