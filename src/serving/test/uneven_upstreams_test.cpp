// Load on upstreams of one service that differ in speed, and on data centres
// that are evacuated.
#include "serving/load_balancer.hpp"

#include <gtest/gtest.h>

#include <map>

namespace wagtailseam::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id ledger{"ledger"};
const data_centre_id near{"near"};
const data_centre_id far{"far"};

class uneven_upstreams_fixture : public testing::Test
{
protected:
    void list(const std::string& id, const data_centre_id& data_centre = near)
    {
        balancer_.upsert(
            {.id = upstream_id{id},
             .service = ledger,
             .address = http::address{"10.0.0." + id + ":80"},
             .data_centre = data_centre,
             .started_ms = 1});
    }

    /// Sends requests one after the other; an upstream answers in its time.
    /// @return how many each upstream got
    std::map<std::string, int> send(int count)
    {
        std::map<std::string, int> sent;
        for (int i = 0; i < count; ++i)
        {
            const auto selection = balancer_.choose(
                {.service = ledger, .local_data_centre = near}, random_, now_);
            const auto* const chosen = std::get_if<chosen_upstream>(&selection);
            if (chosen == nullptr)
            {
                ++sent["none"];
                continue;
            }
            const auto& id = chosen->entry.id;
            balancer_.begin_attempt(id, {});
            now_ += milliseconds(20);
            balancer_.record_first_byte(
                id, response_times_[id.value()], milliseconds(30), now_);
            balancer_.finish_prefill(id, {}, now_);
            balancer_.end_attempt(id, answered{}, now_);
            ++sent[id.value()];
        }
        return sent;
    }

    load_balancer balancer_;
    std::map<std::string, milliseconds> response_times_{
        {"1", milliseconds(30)},
        {"2", milliseconds(30)},
        {"3", milliseconds(30)}};
    random_source random_{1};
    mono_time now_{seconds(1000)};
};

TEST_F(uneven_upstreams_fixture, equal_upstreams_share_the_load)
{
    for (const auto* const id : {"1", "2", "3"})
    {
        list(id);
    }
    const auto sent = send(600);
    for (const auto& [id, count] : sent)
    {
        EXPECT_GT(count, 150) << id;
    }
    EXPECT_TRUE(balancer_.uneven_upstreams(now_).empty());
}

TEST_F(uneven_upstreams_fixture, slow_upstream_gets_fewer_requests)
{
    for (const auto* const id : {"1", "2", "3"})
    {
        list(id);
    }
    response_times_["3"] = milliseconds(60);
    (void)send(300);
    auto sent = send(600);
    EXPECT_LT(sent["3"], 120);
    EXPECT_GT(sent["3"], 0);
    EXPECT_EQ(balancer_.uneven_upstreams(now_).count(upstream_id{"3"}), 1U);
}

/// It would be avoided for good if its measurements did not fade.
TEST_F(uneven_upstreams_fixture, recovered_upstream_gets_its_share_again)
{
    for (const auto* const id : {"1", "2", "3"})
    {
        list(id);
    }
    response_times_["3"] = milliseconds(240);
    (void)send(600);
    response_times_["3"] = milliseconds(30);
    (void)send(3000);
    auto sent = send(600);
    EXPECT_GT(sent["3"], 120);
}

/// An upstream that was slow for a moment got no requests for ten seconds,
/// since its many measurements faded slowly.
TEST_F(
    uneven_upstreams_fixture,
    upstream_that_was_slow_is_tried_again_within_three_seconds)
{
    list("1");
    list("2");
    for (int i = 0; i < 40; ++i)
    {
        const milliseconds expected(30);
        balancer_.record_first_byte(upstream_id{"1"}, expected, expected, now_);
        balancer_.record_first_byte(
            upstream_id{"2"}, 8 * expected, expected, now_);
    }
    EXPECT_EQ(send(20)["2"], 0);
    EXPECT_GT(send(130)["2"], 0);
}

/// The same if an agent reports the measurements of all gateways.
TEST_F(
    uneven_upstreams_fixture, engine_that_was_slow_is_tried_again_by_a_request)
{
    list("1");
    list("2");
    const auto report = [&](const std::string& id, double ratio, duration age)
    {
        balancer_.update_load(
            upstream_id{id},
            {.prefill_of_other_gateways = pending_prefill{},
             .speed =
                 upstream_speed::measured_speed{.ratio = ratio, .age = age}},
            now_);
    };
    report("1", 1, milliseconds(0));
    report("2", 4, milliseconds(0));
    EXPECT_EQ(send(20)["2"], 0);
    now_ += seconds(3);
    report("1", 1, milliseconds(0));
    report("2", 4, seconds(4));
    EXPECT_GT(send(20)["2"], 0);
}

/// A report that is not renewed grows old.
TEST_F(uneven_upstreams_fixture, age_of_the_load_report_counts)
{
    list("1");
    for (const auto* const id : {"2", "3"})
    {
        list(id);
        balancer_.update_load(
            upstream_id{id},
            {.speed =
                 upstream_speed::measured_speed{
                     .ratio = id == std::string("3") ? 4.0 : 1.0,
                     .age = milliseconds(900)}},
            now_);
    }
    const auto slowness = [&]
    {
        return balancer_
            .assess({.service = ledger, .local_data_centre = near}, now_)
            .back()
            .slowness;
    };
    const double reported = slowness();
    now_ += milliseconds(900);
    EXPECT_LT(slowness(), reported);
    EXPECT_GT(slowness(), 1);
}

/// The measurements of a process must not count for the next one.
TEST_F(uneven_upstreams_fixture, restarted_upstream_has_no_speed)
{
    list("1");
    list("2");
    const auto report = [&](const std::string& id, double ratio)
    {
        balancer_.update_load(
            upstream_id{id},
            {.speed = upstream_speed::measured_speed{.ratio = ratio}}, now_);
    };
    report("1", 1);
    report("2", 4);
    EXPECT_EQ(balancer_.uneven_upstreams(now_).size(), 1U);
    balancer_.upsert(
        {.id = upstream_id{"2"},
         .service = ledger,
         .address = http::address{"10.0.0.2:80"},
         .data_centre = near,
         .started_ms = 2});
    EXPECT_TRUE(balancer_.uneven_upstreams(now_).empty());
}

TEST_F(uneven_upstreams_fixture, slow_upstreams_alone_still_serve)
{
    list("3");
    response_times_["3"] = milliseconds(240);
    auto sent = send(100);
    EXPECT_EQ(sent["3"], 100);
}

TEST_F(uneven_upstreams_fixture, evacuated_data_centre_gets_no_requests)
{
    list("1", near);
    list("2", far);
    balancer_.set_evacuated({near});
    auto sent = send(50);
    EXPECT_EQ(sent["2"], 50);
    EXPECT_TRUE(balancer_.is_evacuated(upstream_id{"1"}));
    // Its attempts in progress are judged like any others.
    EXPECT_FALSE(balancer_.is_leaving(upstream_id{"1"}, now_));
    balancer_.set_evacuated({});
    EXPECT_GT(send(50)["1"], 0);
}

TEST_F(uneven_upstreams_fixture, evacuation_of_all_leaves_none)
{
    list("1", near);
    balancer_.set_evacuated({near});
    EXPECT_EQ(send(1)["none"], 1);
}

} // namespace
} // namespace wagtailseam::serving
