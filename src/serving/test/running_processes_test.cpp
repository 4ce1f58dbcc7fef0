// Whether a connection leads to the process of an upstream that is listed.
#include "serving/running_processes.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::serving
{
namespace
{

using std::chrono::seconds;

upstream make_entry(
    std::uint64_t started_ms, const char* address = "10.0.0.1:80")
{
    return {
        .id = upstream_id{"u"},
        .address = http::address{address},
        .started_ms = started_ms};
}

const upstream first = make_entry(1000);
const upstream second = make_entry(2000);

class running_processes_fixture : public testing::Test
{
protected:
    [[nodiscard]] static mono_time at(int time)
    {
        return mono_time{seconds(time)};
    }

    running_processes processes_;
};

TEST_F(running_processes_fixture, unknown_process_is_not_confirmed)
{
    EXPECT_FALSE(processes_.leads_to(first, at(1)));
    EXPECT_FALSE(processes_.is_replaced(first));
}

TEST_F(
    running_processes_fixture,
    connection_leads_to_the_process_that_ran_after_it_was_established)
{
    processes_.confirm(first, 1000, at(2));
    EXPECT_TRUE(processes_.leads_to(first, at(1)));
    EXPECT_TRUE(processes_.leads_to(first, at(2)));
    EXPECT_FALSE(processes_.leads_to(first, at(3)));
}

TEST_F(
    running_processes_fixture,
    response_on_a_known_connection_extends_the_known_time)
{
    processes_.confirm(first, 1000, at(2));
    processes_.record_response(first, at(1), at(5));
    EXPECT_TRUE(processes_.leads_to(first, at(5)));
}

// Guards against a restarted upstream whose first response is taken for one of
// its predecessor.
TEST_F(
    running_processes_fixture, response_on_an_unknown_connection_shows_nothing)
{
    processes_.confirm(first, 1000, at(2));
    processes_.record_response(first, at(3), at(5));
    EXPECT_FALSE(processes_.leads_to(first, at(3)));
}

TEST_F(running_processes_fixture, later_process_replaces_an_earlier_one)
{
    processes_.confirm(first, 1000, at(2));
    processes_.confirm(second, 2000, at(4));
    EXPECT_FALSE(processes_.leads_to(first, at(1)));
    EXPECT_TRUE(processes_.is_replaced(first));
    EXPECT_TRUE(processes_.leads_to(second, at(4)));
    EXPECT_FALSE(processes_.is_replaced(second));
}

TEST_F(running_processes_fixture, late_statement_of_an_earlier_process_is_old)
{
    processes_.confirm(second, 2000, at(4));
    processes_.confirm(first, 1000, at(5));
    EXPECT_FALSE(processes_.leads_to(second, at(5)));
    EXPECT_TRUE(processes_.is_replaced(first));
}

TEST_F(running_processes_fixture, known_time_does_not_decrease)
{
    processes_.confirm(first, 1000, at(4));
    processes_.confirm(first, 1000, at(2));
    EXPECT_TRUE(processes_.leads_to(first, at(4)));
}

// Guards against streams that stay unknown because another upstream answered at
// an address that was left.
TEST_F(running_processes_fixture, process_at_another_address_is_another_one)
{
    processes_.confirm(first, 3000, at(2));
    const auto moved = make_entry(2000, "10.0.0.2:80");
    EXPECT_FALSE(processes_.is_replaced(moved));
    processes_.confirm(moved, 2000, at(4));
    EXPECT_TRUE(processes_.leads_to(moved, at(3)));
}

TEST_F(running_processes_fixture, erased_upstream_is_unknown)
{
    processes_.confirm(second, 2000, at(4));
    processes_.erase(second.id);
    EXPECT_FALSE(processes_.leads_to(second, at(1)));
    EXPECT_FALSE(processes_.is_replaced(first));
}

} // namespace
} // namespace wagtailseam::serving
