// Tests of the retry budget, the retry plan and the circuit breaker. Reference
// models count attempts, tokens and probes independently of the tested code.
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

mono_time time_at(duration time_since_epoch)
{
    return mono_time(time_since_epoch);
}

TEST(retry_budget, failing_pool_receives_less_than_ten_percent_extra_attempts)
{
    retry_budget budget;
    random_source random(7);
    int attempts = 0;
    constexpr int requests = 1000;
    for (int i = 0; i < requests; ++i)
    {
        budget.on_request();
        std::uint32_t attempts_made = 1;
        ++attempts;
        while (std::holds_alternative<retry_at>(plan_retry(
            {.attempts = attempts_made, .deadline = time_at(seconds(60))}, {},
            budget, random, time_at({}))))
        {
            ++attempts_made;
            ++attempts;
        }
    }
    EXPECT_LT(attempts, requests * 11 / 10);
    EXPECT_GT(attempts, requests);
}

TEST(retry_budget, crash_of_full_batch_with_new_budget_permits_all_retries)
{
    retry_budget budget;
    for (int i = 0; i < 32; ++i)
    {
        EXPECT_TRUE(budget.try_spend(retry_cause::upstream_crash)) << i;
    }
}

TEST(retry_budget, failures_leave_crash_tokens_available)
{
    retry_budget budget;
    while (budget.try_spend(retry_cause::failure))
    {
    }
    EXPECT_FALSE(budget.try_spend(retry_cause::reroute));
    EXPECT_TRUE(budget.try_spend(retry_cause::upstream_crash));
}

RC_GTEST_PROP(
    retry_budget, granted_retries_never_cost_more_than_earned_tokens,
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
    retry_plan, granted_retry_meets_deadline_and_respects_retry_after,
    (std::uint16_t time_left_ms, std::uint16_t first_token_ms,
     std::uint16_t retry_after_ms, std::uint64_t seed))
{
    retry_budget budget;
    random_source random(seed);
    const mono_time now = time_at(seconds(5));
    const failed_attempt failed{
        .attempts = 1,
        .deadline = now + milliseconds(time_left_ms),
        .expected_time_to_first_token = milliseconds(first_token_ms),
        .retry_after = milliseconds(retry_after_ms)};
    const double tokens_before = budget.tokens();
    const auto decision = plan_retry(failed, {}, budget, random, now);
    if (const auto* const retry = std::get_if<retry_at>(&decision))
    {
        RC_ASSERT(retry->at >= now + failed.retry_after);
        RC_ASSERT(
            retry->at + failed.expected_time_to_first_token <= failed.deadline);
        return;
    }
    const auto& refused = std::get<retry_refused>(decision);
    RC_ASSERT(refused.code == result_code::deadline_unreachable);
    RC_ASSERT(
        refused.retry_after >=
        std::min<duration>(failed.retry_after, seconds(60)));
    RC_ASSERT(budget.tokens() == tokens_before);
}

TEST(retry_plan, retry_after_header_is_written_and_parsed_in_whole_seconds)
{
    EXPECT_EQ(retry_after_seconds(milliseconds(1200)), 2U);
    EXPECT_EQ(retry_after_seconds({}), 1U);
    EXPECT_EQ(parse_retry_after("3"), seconds(3));
    EXPECT_EQ(parse_retry_after("Fri, 04 Dec"), duration{});
    EXPECT_EQ(parse_retry_after("999999"), seconds(3600));
}

class circuit_breaker_fixture : public testing::Test
{
protected:
    void record_failures(int times)
    {
        for (int i = 0; i < times; ++i)
        {
            record_outcome(attempt_outcome::failure);
        }
    }
    void record_outcome(attempt_outcome outcome)
    {
        const auto permit = breaker_.acquire(now_);
        ASSERT_TRUE(permit.has_value());
        breaker_.record_outcome(*permit, outcome, random_, now_);
    }

    circuit_breaker breaker_;
    random_source random_{1};
    mono_time now_ = time_at(seconds(1));
};

TEST_F(
    circuit_breaker_fixture,
    consecutive_failures_open_and_successful_probes_close)
{
    record_failures(5);
    EXPECT_FALSE(breaker_.acquire(now_).has_value());
    now_ += seconds(1);
    record_outcome(attempt_outcome::success);
    record_outcome(attempt_outcome::success);
    EXPECT_TRUE(std::holds_alternative<circuit_closed>(breaker_.state()));
}

TEST_F(circuit_breaker_fixture, failed_probe_increases_open_time)
{
    record_failures(5);
    now_ += seconds(1);
    record_failures(1);
    EXPECT_GE(breaker_.retry_after(now_), seconds(1));
}

TEST_F(circuit_breaker_fixture, outcome_of_earlier_state_is_ignored)
{
    const auto stale_permit = breaker_.acquire(now_);
    record_failures(5);
    now_ += seconds(1);
    const auto probe = breaker_.acquire(now_);
    ASSERT_TRUE(probe.has_value());
    breaker_.record_outcome(
        *stale_permit, attempt_outcome::failure, random_, now_);
    EXPECT_TRUE(std::holds_alternative<circuit_half_open>(breaker_.state()));
}

TEST_F(
    circuit_breaker_fixture, probe_without_outcome_stops_blocking_after_timeout)
{
    record_failures(5);
    now_ += seconds(1);
    ASSERT_TRUE(breaker_.acquire(now_).has_value());
    EXPECT_FALSE(breaker_.acquire(now_).has_value());
    now_ += seconds(10);
    EXPECT_TRUE(breaker_.acquire(now_).has_value());
}

TEST_F(circuit_breaker_fixture, retry_after_of_upstream_opens_circuit)
{
    breaker_.open_for(seconds(4), now_);
    EXPECT_FALSE(breaker_.would_permit(now_ + milliseconds(3999)));
    EXPECT_TRUE(breaker_.would_permit(now_ + seconds(4)));
}

RC_GTEST_PROP(
    circuit_breaker, half_open_state_limits_concurrent_probes,
    (std::vector<std::pair<std::uint8_t, std::uint8_t>> steps))
{
    const circuit_breaker_options options{
        .failure_threshold = 1,
        .initial_open_time = milliseconds(10),
        .max_concurrent_probes = 2,
        .probe_timeout = seconds(1000)};
    circuit_breaker breaker(options);
    random_source random(3);
    mono_time now = time_at({});
    // Reference model: the permits without an outcome, each with the number of
    // the half-open period that issued it, or -1 for the closed state. A period
    // ends when the breaker is not half-open after an outcome.
    std::vector<std::pair<circuit_permit, int>> outstanding_permits;
    int half_open_period = 0;
    for (const auto& [kind, delay_steps] : steps)
    {
        now += milliseconds(delay_steps * 10);
        if (kind % 3 == 0 || outstanding_permits.empty())
        {
            const bool probe =
                !std::holds_alternative<circuit_closed>(breaker.state());
            const auto permit = breaker.acquire(now);
            if (permit)
            {
                outstanding_permits.emplace_back(
                    *permit, probe ? half_open_period : -1);
            }
            const auto probes = std::count_if(
                outstanding_permits.begin(), outstanding_permits.end(),
                [&](const auto& entry)
                { return entry.second == half_open_period; });
            RC_ASSERT(probes <= options.max_concurrent_probes);
            continue;
        }
        const circuit_permit permit = outstanding_permits.back().first;
        outstanding_permits.pop_back();
        const auto outcome =
            kind % 3 == 1 ? attempt_outcome::failure : attempt_outcome::success;
        breaker.record_outcome(permit, outcome, random, now);
        if (!std::holds_alternative<circuit_half_open>(breaker.state()))
        {
            ++half_open_period;
        }
    }
}

TEST(circuit_breaker_set, upstreams_beyond_limit_are_permitted_and_not_stored)
{
    circuit_breaker_set breakers({}, 1);
    EXPECT_TRUE(breakers.acquire(upstream_id("a"), time_at({})).has_value());
    EXPECT_TRUE(breakers.acquire(upstream_id("b"), time_at({})).has_value());
    EXPECT_EQ(breakers.size(), 1U);
}

} // namespace
} // namespace wagtailseam::retry
