// Retries against oracles that count attempts outside the cores.
#include "retry/circuit_breaker.hpp"
#include "retry/retry_budget.hpp"
#include "retry/retry_plan.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::retry
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

mono_time at(duration since_start)
{
    return mono_time(since_start);
}

TEST(retry_budget, every_upstream_failing_attempts_stay_under_a_tenth_more)
{
    retry_budget budget;
    random_source random(7);
    int attempts = 0;
    constexpr int requests = 1000;
    for (int i = 0; i < requests; ++i)
    {
        budget.on_request();
        std::uint32_t made = 1;
        ++attempts;
        while (std::holds_alternative<retry_at>(plan_retry(
            {.attempts = made, .deadline = at(seconds(60))}, {}, budget, random,
            at({}))))
        {
            ++made;
            ++attempts;
        }
    }
    EXPECT_LT(attempts, requests * 11 / 10);
    EXPECT_GT(attempts, requests);
}

TEST(retry_budget, crash_of_full_batch_at_new_entry_lets_all_run_again)
{
    retry_budget budget;
    for (int i = 0; i < 32; ++i)
    {
        EXPECT_TRUE(budget.try_spend(retry_cause::upstream_crash)) << i;
    }
}

TEST(retry_budget, failures_do_not_spend_what_crashes_need)
{
    retry_budget budget;
    while (budget.try_spend(retry_cause::failure))
    {
    }
    EXPECT_FALSE(budget.try_spend(retry_cause::reroute));
    EXPECT_TRUE(budget.try_spend(retry_cause::upstream_crash));
}

RC_GTEST_PROP(
    retry_budget, any_history_grants_no_more_than_was_earned,
    (std::vector<std::uint8_t> steps))
{
    const retry_budget_options options;
    retry_budget budget(options);
    double earned = options.initial + options.crash_capacity;
    double spent = 0;
    for (const std::uint8_t step : steps)
    {
        switch (step % 5)
        {
        case 0:
            budget.on_request();
            earned += options.request_ratio;
            break;
        case 1:
            budget.on_success();
            earned += options.success_ratio + options.crash_success_ratio;
            break;
        case 2:
            spent += budget.try_spend(retry_cause::failure) ? 1 : 0;
            break;
        case 3:
            spent += budget.try_spend(retry_cause::upstream_crash) ? 1 : 0;
            break;
        default:
            spent += budget.try_spend(retry_cause::reroute)
                         ? options.reroute_cost
                         : 0;
        }
        RC_ASSERT(spent <= earned + 1e-6);
        RC_ASSERT(budget.tokens() >= 0);
    }
}

RC_GTEST_PROP(
    retry_plan, granted_retry_can_finish_and_honours_retry_after,
    (std::uint16_t left_ms, std::uint16_t first_ms, std::uint16_t after_ms,
     std::uint64_t seed))
{
    retry_budget budget;
    random_source random(seed);
    const mono_time now = at(seconds(5));
    const failed_attempt failed{
        .attempts = 1,
        .deadline = now + milliseconds(left_ms),
        .expected_first_token = milliseconds(first_ms),
        .retry_after = milliseconds(after_ms)};
    const double before = budget.tokens();
    const auto decision = plan_retry(failed, {}, budget, random, now);
    if (const auto* const again = std::get_if<retry_at>(&decision))
    {
        RC_ASSERT(again->at >= now + failed.retry_after);
        RC_ASSERT(again->at + failed.expected_first_token <= failed.deadline);
        return;
    }
    const auto& refusal = std::get<retry_refused>(decision);
    RC_ASSERT(refusal.code == result_code::deadline_unreachable);
    RC_ASSERT(
        refusal.retry_after >=
        std::min<duration>(failed.retry_after, seconds(60)));
    RC_ASSERT(budget.tokens() == before);
}

TEST(retry_plan, retry_after_header_round_trips_in_whole_seconds)
{
    EXPECT_EQ(retry_after_seconds(milliseconds(1200)), 2U);
    EXPECT_EQ(retry_after_seconds({}), 1U);
    EXPECT_EQ(parse_retry_after("3"), seconds(3));
    EXPECT_EQ(parse_retry_after("Fri, 04 Dec"), duration{});
    EXPECT_EQ(parse_retry_after("999999"), seconds(3600));
}

class circuit_fixture : public testing::Test
{
protected:
    void fail_times(int times)
    {
        for (int i = 0; i < times; ++i)
        {
            report(attempt_outcome::failure);
        }
    }
    void report(attempt_outcome outcome)
    {
        const auto permit = circuit_.acquire(now_);
        ASSERT_TRUE(permit.has_value());
        circuit_.report(*permit, outcome, random_, now_);
    }

    circuit_breaker circuit_;
    random_source random_{1};
    mono_time now_ = at(seconds(1));
};

TEST_F(circuit_fixture, failures_in_row_open_and_successful_probes_close)
{
    fail_times(5);
    EXPECT_FALSE(circuit_.acquire(now_).has_value());
    now_ += seconds(1);
    report(attempt_outcome::success);
    report(attempt_outcome::success);
    EXPECT_TRUE(std::holds_alternative<circuit_closed>(circuit_.state()));
}

TEST_F(circuit_fixture, failed_probe_opens_for_longer)
{
    fail_times(5);
    now_ += seconds(1);
    fail_times(1);
    EXPECT_GE(circuit_.retry_after(now_), seconds(1));
}

TEST_F(circuit_fixture, report_of_earlier_state_is_ignored)
{
    const auto late = circuit_.acquire(now_);
    fail_times(5);
    now_ += seconds(1);
    const auto probe = circuit_.acquire(now_);
    ASSERT_TRUE(probe.has_value());
    circuit_.report(*late, attempt_outcome::failure, random_, now_);
    EXPECT_TRUE(std::holds_alternative<circuit_half_open>(circuit_.state()));
}

TEST_F(circuit_fixture, lost_probe_report_frees_its_place_after_timeout)
{
    fail_times(5);
    now_ += seconds(1);
    ASSERT_TRUE(circuit_.acquire(now_).has_value());
    EXPECT_FALSE(circuit_.acquire(now_).has_value());
    now_ += seconds(10);
    EXPECT_TRUE(circuit_.acquire(now_).has_value());
}

TEST_F(circuit_fixture, retry_after_of_upstream_holds_it_back)
{
    circuit_.open_for(seconds(4), now_);
    EXPECT_FALSE(circuit_.would_permit(now_ + milliseconds(3999)));
    EXPECT_TRUE(circuit_.would_permit(now_ + seconds(4)));
}

RC_GTEST_PROP(
    circuit, half_open_probes_in_flight_stay_within_bound,
    (std::vector<std::pair<std::uint8_t, std::uint8_t>> steps))
{
    const circuit_breaker_options options{
        .failure_threshold = 1,
        .open_base = milliseconds(10),
        .max_probes = 2,
        .probe_timeout = seconds(1000)};
    circuit_breaker tested(options);
    random_source random(3);
    mono_time now = at({});
    // The oracle: leaves not reported yet, each with the episode it belongs
    // to; a report that leaves the state open or closed ends an episode.
    std::vector<std::pair<circuit_permit, int>> out;
    int episode = 0;
    for (const auto& [kind, detail] : steps)
    {
        now += milliseconds(detail * 10);
        if (kind % 3 == 0 || out.empty())
        {
            const bool probe =
                !std::holds_alternative<circuit_closed>(tested.state());
            const auto leave = tested.acquire(now);
            if (leave)
            {
                out.emplace_back(*leave, probe ? episode : -1);
            }
            const auto probes = std::count_if(
                out.begin(), out.end(),
                [&](const auto& held) { return held.second == episode; });
            RC_ASSERT(probes <= options.max_probes);
            continue;
        }
        const circuit_permit leave = out.back().first;
        out.pop_back();
        const auto outcome =
            kind % 3 == 1 ? attempt_outcome::failure : attempt_outcome::success;
        tested.report(leave, outcome, random, now);
        if (!std::holds_alternative<circuit_half_open>(tested.state()))
        {
            ++episode;
        }
    }
}

TEST(circuit_breaker_set, upstreams_past_bound_are_permitted_and_not_kept)
{
    circuit_breaker_set circuits({}, 1);
    EXPECT_TRUE(circuits.acquire(upstream_id("a"), at({})).has_value());
    EXPECT_TRUE(circuits.acquire(upstream_id("b"), at({})).has_value());
    EXPECT_EQ(circuits.size(), 1U);
}

} // namespace
} // namespace wagtailseam::retry
