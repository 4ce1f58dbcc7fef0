// A cold upstream that is idle beside busy ones, so that every gateway would
// send it requests at once.
#include "upstream_statement/statement_record.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace wagtailseam::upstream_statement
{
namespace
{

using rate_limit::request_rate;
using std::chrono::milliseconds;
using std::chrono::seconds;

const upstream_process first{upstream_id{"a"}, 1};
const upstream_process successor{upstream_id{"a"}, 2};

class cold_upstream_fixture : public testing::Test
{
protected:
    cold_upstream_fixture() { record_.set_position({.index = 0, .size = 1}); }

    [[nodiscard]] wall_time wall_now() const
    {
        return wall_time(now_.time_since_epoch());
    }
    [[nodiscard]] bool is_restricted(const upstream_process& process) const
    {
        return record_.restricted(now_, wall_now()).contains(process);
    }
    void send(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            record_.record_request(first.id, wall_now());
        }
    }

    statement_record record_;
    mono_time now_{std::chrono::hours(1)};
};

TEST_F(cold_upstream_fixture, rate_is_limited_until_it_is_warm)
{
    EXPECT_TRUE(record_.record_cold(first, request_rate{4}, seconds(3), now_));
    EXPECT_FALSE(is_restricted(first));
    send(4);
    EXPECT_TRUE(is_restricted(first));
    EXPECT_EQ(record_.cold_count(now_), 1U);
    now_ += seconds(3);
    send(100);
    EXPECT_FALSE(is_restricted(first));
    EXPECT_EQ(record_.cold_count(now_), 0U);
}

TEST_F(cold_upstream_fixture, response_without_a_limit_does_not_end_it)
{
    (void)record_.record_cold(first, request_rate{4}, seconds(3), now_);
    send(4);
    (void)record_.record_response(first, {}, now_, now_);
    EXPECT_TRUE(is_restricted(first));
}

TEST_F(cold_upstream_fixture, warm_entry_ends_it)
{
    (void)record_.record_cold(first, request_rate{4}, seconds(3), now_);
    send(4);
    record_.record_warm(first);
    EXPECT_FALSE(is_restricted(first));
}

TEST_F(cold_upstream_fixture, earlier_process_says_nothing_about_its_successor)
{
    (void)record_.record_cold(successor, request_rate{4}, seconds(3), now_);
    send(4);
    EXPECT_FALSE(
        record_.record_cold(first, request_rate{100}, seconds(9), now_));
    record_.record_warm(first);
    EXPECT_TRUE(is_restricted(successor));
}

TEST_F(cold_upstream_fixture, gateway_without_a_position_sends_nothing)
{
    record_.clear_position();
    (void)record_.record_cold(first, request_rate{4}, seconds(3), now_);
    EXPECT_TRUE(is_restricted(first));
}

TEST_F(cold_upstream_fixture, callers_return_when_it_is_warm_at_the_latest)
{
    (void)record_.record_cold(first, request_rate{4}, milliseconds(300), now_);
    send(4);
    const auto end = record_.first_end({first}, now_, wall_now());
    EXPECT_EQ(end.reason, restriction::limited);
    EXPECT_LE(end.remaining, milliseconds(300));
}

/// Gateways that all prefer the idle upstream: any second may hold what two
/// slots allow, whatever the number of gateways and their order.
RC_GTEST_PROP(cold_upstream_property, gateways_together_keep_the_rate, ())
{
    const auto size = *rc::gen::inRange<std::size_t>(1, 60);
    constexpr double rate = 13;
    constexpr std::size_t max_arrivals = 26;
    std::vector<statement_record> gateways(size);
    mono_time now{std::chrono::hours(1)};
    for (std::size_t index = 0; index < size; ++index)
    {
        gateways[index].set_position({.index = index, .size = size});
        (void)gateways[index].record_cold(
            first, request_rate{rate}, seconds(60), now);
    }
    std::deque<mono_time> arrivals;
    for (int step = 0; step < 500; ++step)
    {
        now += milliseconds(10);
        const wall_time wall(now.time_since_epoch());
        for (auto& gateway : gateways)
        {
            if (!gateway.restricted(now, wall).contains(first))
            {
                gateway.record_request(first.id, wall);
                arrivals.push_back(now);
            }
        }
        while (!arrivals.empty() && arrivals.front() <= now - seconds(1))
        {
            arrivals.pop_front();
        }
        RC_ASSERT(arrivals.size() <= max_arrivals);
    }
}

} // namespace
} // namespace wagtailseam::upstream_statement
