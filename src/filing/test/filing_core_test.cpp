// One call of a filing against a table whose answers the test chooses.
#include "filing/filing_core.hpp"
#include "table_service/memory_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace wagtailseam::filing
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const table_service::row_key here{"filing", "w/k"};
const attempt::run_outcome done{200, "coupon issued"};

struct filing_core_test : testing::Test
{
    random_source random{1};
    table_service::memory_table table;
    mono_time now{};
    std::optional<filing_core> core;
    std::vector<filing_command> last;

    void SetUp() override { make("mine", "body"); }

    void make(const std::string& nonce, const std::string& body)
    {
        core.emplace(
            filing_options{},
            filing_request{
                .at = here,
                .request_digest = sha256(body),
                .nonce = claim_nonce{nonce},
                .entry = entry_id{"e"},
                .request = request_id{nonce},
                .config = config_number{1},
                .deadline = now + seconds(20)},
            random);
        feed(filing_begun{});
        feed(plan_made{{upstream_id{"u"}, incarnation{1}, {}}});
    }

    void feed(const filing_event& event)
    {
        last = core->handle(event, {now, wall_time{}});
    }

    template <class Command>
    std::optional<Command> commanded() const
    {
        for (const filing_command& command : last)
        {
            if (const auto* const found = std::get_if<Command>(&command))
            {
                return *found;
            }
        }
        return {};
    }

    /// Gives the write asked for to the table and its answer to the core.
    void write()
    {
        const auto asked = commanded<write_row>();
        ASSERT_TRUE(asked);
        feed(row_written{asked->operation, table.apply({{asked->write}})});
    }

    /// Gives the write asked for to the table; its answer is lost.
    void write_without_answer()
    {
        const auto asked = commanded<write_row>();
        ASSERT_TRUE(asked);
        (void)table.apply({{asked->write}});
        feed(row_written{asked->operation, table_service::outcome_unknown{}});
    }

    void read()
    {
        const auto asked = commanded<read_row>();
        ASSERT_TRUE(asked);
        feed(row_read{asked->operation, table.read(here)});
    }

    void timer(duration passed)
    {
        now += passed;
        feed(filing_timer_due{});
    }

    filing_state stored() const
    {
        return decode(table.read(here)->value).value().state;
    }

    result_code answer_code() const
    {
        const auto answer = commanded<answer_caller>();
        return answer ? answer->code : result_code::not_ready;
    }

    void finish()
    {
        write();
        feed(run_judged{attempt::finished{done}});
    }
};

TEST_F(filing_core_test, claim_is_written_before_the_run)
{
    EXPECT_FALSE(commanded<run_filing>());
    write();
    EXPECT_TRUE(commanded<run_filing>());
    EXPECT_EQ(stored(), filing_state::claimed);
}

TEST_F(filing_core_test, outcome_is_answered_and_stored_for_repeats)
{
    finish();
    write();
    EXPECT_EQ(answer_code(), result_code::ok);
    EXPECT_EQ(stored(), filing_state::finished);
    make("repeat", "body");
    write();
    EXPECT_FALSE(commanded<run_filing>());
    ASSERT_EQ(answer_code(), result_code::ok);
    EXPECT_EQ(commanded<answer_caller>()->outcome, done);
}

TEST_F(filing_core_test, outcome_without_its_record_is_not_answered_yet)
{
    finish();
    EXPECT_FALSE(commanded<answer_caller>());
    ASSERT_TRUE(commanded<write_row>());
    EXPECT_TRUE(commanded<write_row>()->urgent);
    write_without_answer();
    EXPECT_FALSE(commanded<answer_caller>());
    timer(milliseconds(100));
    write();
    EXPECT_EQ(answer_code(), result_code::ok);
    EXPECT_EQ(commanded<answer_caller>()->outcome, done);
    EXPECT_TRUE(commanded<filing_over>());
}

TEST_F(filing_core_test, outcome_with_table_down_is_answered_at_its_bound)
{
    finish();
    const auto first = commanded<write_row>();
    timer(seconds(2));
    EXPECT_EQ(answer_code(), result_code::ok);
    EXPECT_FALSE(commanded<write_row>());
    feed(row_written{first->operation, table_service::rejected{}});
    EXPECT_FALSE(commanded<filing_over>());
    timer(milliseconds(100));
    EXPECT_FALSE(commanded<answer_caller>());
    write();
    EXPECT_EQ(stored(), filing_state::finished);
    EXPECT_TRUE(commanded<filing_over>());
}

TEST_F(filing_core_test, other_body_with_the_same_key_conflicts)
{
    finish();
    write();
    make("repeat", "other body");
    write();
    EXPECT_EQ(answer_code(), result_code::idempotency_conflict);
}

TEST_F(filing_core_test, lost_answer_is_read_back_and_own_claim_runs)
{
    write_without_answer();
    EXPECT_FALSE(commanded<run_filing>());
    read();
    EXPECT_TRUE(commanded<run_filing>());
}

TEST_F(filing_core_test, lost_answer_is_read_back_and_other_claim_does_not_run)
{
    const auto mine = commanded<write_row>();
    filing_record record = decode(*mine->write.value).value();
    record.nonce = claim_nonce{"other"};
    (void)table.apply(
        {{{here, table_service::absent_row_version, encode(record)}}});
    feed(row_written{mine->operation, table_service::outcome_unknown{}});
    read();
    EXPECT_FALSE(commanded<run_filing>());
    EXPECT_FALSE(commanded<answer_caller>());
}

TEST_F(filing_core_test, slow_store_is_refused_and_late_claim_never_runs)
{
    const auto claim = commanded<write_row>();
    timer(seconds(1));
    EXPECT_EQ(answer_code(), result_code::filing_store_unavailable);
    EXPECT_TRUE(commanded<answer_caller>()->retry_after);
    const auto first_look = commanded<read_row>();
    feed(row_read{first_look->operation, table_service::optional_row{}});
    feed(row_written{claim->operation, table.apply({{claim->write}})});
    EXPECT_TRUE(last.empty());
    timer(seconds(1));
    read();
    write();
    EXPECT_EQ(stored(), filing_state::released);
}

TEST_F(filing_core_test, refused_write_is_answered_as_not_run_at_once)
{
    feed(row_written{
        commanded<write_row>()->operation, table_service::rejected{}});
    EXPECT_EQ(answer_code(), result_code::filing_store_unavailable);
    EXPECT_TRUE(commanded<filing_over>());
}

TEST_F(filing_core_test, refused_attempt_claims_again_before_the_next)
{
    write();
    feed(run_judged{attempt::not_run{result_code::upstream_busy}});
    EXPECT_FALSE(commanded<run_filing>());
    ASSERT_TRUE(commanded<ask_plan>());
    feed(plan_made{{upstream_id{"v"}, incarnation{1}, {}}});
    EXPECT_FALSE(commanded<run_filing>());
    write();
    ASSERT_TRUE(commanded<run_filing>());
    EXPECT_EQ(commanded<run_filing>()->attempt.number, attempt_number{2});
}

TEST_F(filing_core_test, unknown_attempt_is_never_tried_again)
{
    write();
    feed(run_judged{attempt::unknown{result_code::upstream_lost}});
    EXPECT_EQ(answer_code(), result_code::upstream_lost);
    EXPECT_FALSE(commanded<ask_plan>());
    write();
    EXPECT_EQ(stored(), filing_state::unknown);
}

TEST_F(filing_core_test, last_refusal_releases_the_claim)
{
    write();
    feed(run_judged{attempt::not_run{result_code::quarantined}});
    EXPECT_EQ(answer_code(), result_code::quarantined);
    write();
    EXPECT_EQ(stored(), filing_state::released);
    make("repeat", "body");
    write();
    EXPECT_TRUE(commanded<ask_plan>());
}

TEST_F(filing_core_test, no_upstream_still_serves_the_stored_outcome)
{
    finish();
    write();
    core.emplace(
        filing_options{},
        filing_request{
            .at = here,
            .request_digest = sha256("body"),
            .nonce = claim_nonce{"repeat"},
            .entry = entry_id{"e"},
            .request = request_id{"repeat"},
            .config = config_number{1},
            .deadline = now + seconds(20)},
        random);
    feed(filing_begun{});
    feed(plan_refused{result_code::no_upstream});
    read();
    EXPECT_EQ(answer_code(), result_code::ok);
}

/// A call that finds another call's claim.
struct filing_repeat_test : filing_core_test
{
    void SetUp() override
    {
        filing_core_test::SetUp();
        write();
        make("repeat", "body");
        write();
        EXPECT_FALSE(commanded<run_filing>());
    }

    void ask()
    {
        while (!commanded<ask_sidecar>())
        {
            timer(milliseconds(500));
            if (commanded<read_row>())
            {
                read();
            }
        }
    }

    void sidecar_says(const attempt::tombstone_answer& said)
    {
        feed(sidecar_answered{commanded<ask_sidecar>()->operation, said});
    }
};

TEST_F(filing_repeat_test, claim_is_taken_over_only_after_never_begun)
{
    ask();
    EXPECT_EQ(commanded<ask_sidecar>()->attempt.request, request_id{"mine"});
    sidecar_says(attempt::never_begun{});
    ASSERT_TRUE(commanded<ask_plan>());
    feed(plan_made{{upstream_id{"v"}, incarnation{1}, {}}});
    EXPECT_FALSE(commanded<run_filing>());
    write();
    EXPECT_TRUE(commanded<run_filing>());
}

TEST_F(filing_repeat_test, outcome_kept_by_the_sidecar_is_adopted)
{
    ask();
    sidecar_says(attempt::has_finished{done});
    EXPECT_FALSE(commanded<answer_caller>());
    write();
    ASSERT_EQ(answer_code(), result_code::ok);
    EXPECT_EQ(commanded<answer_caller>()->outcome, done);
    EXPECT_EQ(stored(), filing_state::finished);
}

TEST_F(filing_repeat_test, lost_run_is_answered_as_outcome_unknown)
{
    ask();
    sidecar_says(attempt::cannot_tell{result_code::upstream_lost});
    timer(seconds(1));
    EXPECT_EQ(answer_code(), result_code::outcome_unknown);
}

TEST_F(filing_repeat_test, running_filing_is_answered_as_in_progress)
{
    while (!commanded<answer_caller>())
    {
        ask();
        sidecar_says(attempt::still_running{});
        now += seconds(3);
        feed(filing_timer_due{});
        if (commanded<read_row>())
        {
            read();
        }
    }
    EXPECT_EQ(answer_code(), result_code::filing_in_progress);
    EXPECT_TRUE(commanded<answer_caller>()->retry_after);
}

TEST(filing_record_test, claimed_and_unknown_rows_are_never_forgotten)
{
    const wall_time much_later{std::chrono::hours(24 * 365)};
    for (const auto state : {filing_state::claimed, filing_state::unknown})
    {
        EXPECT_FALSE(may_forget({.state = state}, much_later));
    }
    EXPECT_TRUE(may_forget({.state = filing_state::finished}, much_later));
    EXPECT_FALSE(may_forget({.state = filing_state::finished}, wall_time{}));
}

RC_GTEST_PROP(filing_record_property, any_record_survives_encoding, ())
{
    filing_record record{
        .request_digest = sha256(*rc::gen::arbitrary<std::string>()),
        .nonce = claim_nonce{*rc::gen::arbitrary<std::string>()},
        .entry = entry_id{*rc::gen::arbitrary<std::string>()},
        .config = config_number{*rc::gen::arbitrary<std::uint64_t>()}};
    if (*rc::gen::arbitrary<bool>())
    {
        record.state = filing_state::finished;
        record.outcome =
            attempt::run_outcome{200, *rc::gen::arbitrary<std::string>()};
    }
    const auto decoded = decode(encode(record));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value() == record);
}

RC_GTEST_PROP(filing_record_property, any_bytes_are_refused_or_decoded, ())
{
    (void)decode(*rc::gen::arbitrary<std::string>());
}

RC_GTEST_PROP(filing_record_property, any_two_pairs_have_two_rows, ())
{
    const auto part = rc::gen::container<std::string>(
        rc::gen::element('/', '%', '2', 'F', 'a'));
    const std::string a = *part;
    const std::string b = *part;
    const std::string c = *part;
    const std::string d = *part;
    const bool same = filing_row(workspace_id{a}, idempotency_key{b}) ==
                      filing_row(workspace_id{c}, idempotency_key{d});
    RC_ASSERT(same == (a == c && b == d));
}

} // namespace
} // namespace wagtailseam::filing
