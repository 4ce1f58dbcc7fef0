// One attempt: what losses, refusals and late answers mean for it.
#include "attempt/attempt_core.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace wagtailseam::attempt
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

struct attempt_core_test : testing::Test
{
    const attempt_id id{request_id{"r"}, attempt_number{1}};
    const incarnation life{4};
    mono_time now{};
    std::vector<attempt_command> last;
    std::optional<attempt_core> core;

    void make(bool idempotent)
    {
        core.emplace(attempt_options{
            .id = id,
            .target = {upstream_id{"u"}, life, {}},
            .deadline = mono_time(seconds(10)),
            .idempotent = idempotent});
        feed(start{});
    }

    void SetUp() override { make(false); }

    void feed(const attempt_event& event, duration passed = duration{0})
    {
        now += passed;
        last = core->handle(event, now);
    }

    void send() { feed(dispatch_written{}); }

    void begin()
    {
        send();
        feed(dispatch_accepted{});
    }

    template <class Command>
    const Command* commanded() const
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
    const Verdict* concluded() const
    {
        const auto* const end = commanded<conclude>();
        return end != nullptr ? std::get_if<Verdict>(&end->verdict) : nullptr;
    }
};

TEST_F(attempt_core_test, failed_connect_before_sending_is_not_run)
{
    feed(connect_failed{});
    ASSERT_NE(concluded<not_run>(), nullptr);
    EXPECT_EQ(concluded<not_run>()->code, result_code::upstream_unreachable);
}

TEST_F(attempt_core_test, connection_lost_after_sending_asks_the_sidecar)
{
    send();
    feed(connection_lost{});
    EXPECT_EQ(commanded<conclude>(), nullptr);
    EXPECT_NE(commanded<send_tombstone>(), nullptr);
}

TEST_F(attempt_core_test, never_begun_after_loss_is_not_run)
{
    send();
    feed(connection_lost{});
    feed(tombstone_replied{never_begun{}});
    ASSERT_NE(concluded<not_run>(), nullptr);
    EXPECT_EQ(core->state(), attempt_state::not_run);
}

TEST_F(attempt_core_test, unanswered_tombstones_end_as_unknown)
{
    send();
    feed(connection_lost{});
    while (core->state() == attempt_state::sent && now < mono_time(seconds(30)))
    {
        feed(timer_due{}, milliseconds(200));
    }
    EXPECT_NE(concluded<unknown>(), nullptr);
}

TEST_F(attempt_core_test, still_running_after_loss_resumes_the_stream)
{
    send();
    feed(connection_lost{});
    feed(tombstone_replied{still_running{}});
    ASSERT_NE(commanded<resume_stream>(), nullptr);
    EXPECT_EQ(commanded<resume_stream>()->next_frame, 0U);
}

TEST_F(attempt_core_test, finished_filing_after_loss_has_its_outcome)
{
    send();
    feed(connection_lost{});
    feed(tombstone_replied{has_finished{run_outcome{200, "done"}}});
    ASSERT_NE(concluded<finished>(), nullptr);
    EXPECT_EQ(concluded<finished>()->outcome.body, "done");
}

TEST_F(attempt_core_test, sidecar_of_other_life_leaves_outcome_unknown)
{
    send();
    feed(connection_lost{});
    feed(tombstone_replied{cannot_tell{result_code::upstream_lost}});
    ASSERT_NE(concluded<unknown>(), nullptr);
    EXPECT_FALSE(is_not_run(concluded<unknown>()->code));
}

TEST_F(attempt_core_test, broken_stream_resumes_at_next_frame_and_finishes)
{
    begin();
    feed(frame{id, life, 0, "a"});
    ASSERT_NE(commanded<deliver>(), nullptr);
    feed(connection_lost{});
    ASSERT_NE(commanded<resume_stream>(), nullptr);
    EXPECT_EQ(commanded<resume_stream>()->next_frame, 1U);
    feed(frame{id, life, 0, "a"});
    EXPECT_EQ(commanded<deliver>(), nullptr);
    feed(frame{id, life, 1, "b"});
    feed(end_frame{id, life, 2, sha256("ab"), 200});
    ASSERT_NE(concluded<finished>(), nullptr);
    EXPECT_EQ(concluded<finished>()->outcome.body, "ab");
}

TEST_F(attempt_core_test, early_end_resumes_instead_of_finishing)
{
    begin();
    feed(end_frame{id, life, 1, sha256("a"), 200});
    EXPECT_EQ(commanded<conclude>(), nullptr);
    EXPECT_NE(commanded<resume_stream>(), nullptr);
}

TEST_F(attempt_core_test, wrong_digest_is_never_finished)
{
    begin();
    feed(frame{id, life, 0, "a"});
    feed(end_frame{id, life, 1, sha256("b"), 200});
    ASSERT_NE(concluded<unknown>(), nullptr);
    EXPECT_EQ(concluded<unknown>()->code, result_code::frame_digest_mismatch);
}

TEST_F(attempt_core_test, late_refusal_does_not_undo_an_acceptance)
{
    begin();
    feed(dispatch_refused{result_code::upstream_draining});
    EXPECT_EQ(commanded<conclude>(), nullptr);
    EXPECT_EQ(core->state(), attempt_state::begun);
}

TEST_F(attempt_core_test, unlisted_refusal_code_is_not_taken_for_not_run)
{
    send();
    feed(dispatch_refused{result_code_from_number(499)});
    EXPECT_NE(concluded<unknown>(), nullptr);
}

TEST_F(attempt_core_test, silence_after_sending_asks_the_sidecar)
{
    send();
    feed(timer_due{}, seconds(2));
    EXPECT_NE(commanded<send_tombstone>(), nullptr);
}

TEST_F(attempt_core_test, caller_of_a_filing_leaving_does_not_cancel_it)
{
    begin();
    feed(caller_left{});
    EXPECT_TRUE(last.empty());
}

TEST_F(attempt_core_test, caller_of_an_idempotent_request_leaving_cancels_it)
{
    make(true);
    begin();
    feed(caller_left{});
    EXPECT_NE(commanded<cancel_run>(), nullptr);
    ASSERT_NE(concluded<unknown>(), nullptr);
    EXPECT_EQ(concluded<unknown>()->code, result_code::caller_gone);
}

TEST_F(attempt_core_test, deadline_while_running_is_unknown)
{
    begin();
    feed(timer_due{}, seconds(10));
    ASSERT_NE(concluded<unknown>(), nullptr);
    EXPECT_EQ(concluded<unknown>()->code, result_code::deadline_passed);
}

TEST_F(attempt_core_test, deadline_before_sending_is_not_run)
{
    feed(timer_due{}, seconds(10));
    EXPECT_NE(concluded<not_run>(), nullptr);
}

} // namespace
} // namespace wagtailseam::attempt
