// Patterns of load and failure, and where requests go under them.
#include "serving/load_balancer.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id engines{"engines"};
const data_centre_id here{"here"};
const data_centre_id there{"there"};
const model_id model{"m"};

class load_balancer_fixture : public testing::Test
{
protected:
    void list(const std::string& id, const data_centre_id& where = here)
    {
        balancer_.upsert(
            {.id = upstream_id{id},
             .service = engines,
             .address = http::address{"10.0.0.1:80"},
             .data_centre = where,
             .slots = 8,
             .draining = false,
             .weights = {{model, weight_version{1}}}});
    }

    [[nodiscard]] upstream_query query() const
    {
        return {.service = engines, .local_data_centre = here};
    }

    [[nodiscard]] std::string chosen(const upstream_query& wanted)
    {
        const auto made = balancer_.choose(wanted, random_, now_);
        const auto* const upstream = std::get_if<chosen_upstream>(&made);
        return upstream == nullptr ? "none" : upstream->entry.id.value();
    }

    /// Returns how many of 200 choices fall on an upstream.
    [[nodiscard]] int share_of(const std::string& id)
    {
        int count = 0;
        for (int at = 0; at < 200; ++at)
        {
            count += chosen(query()) == id ? 1 : 0;
        }
        return count;
    }

    void say(const std::string& id, std::uint32_t waiting, bool loading = false)
    {
        balancer_.update_load(
            upstream_id{id},
            {.prompts_waiting = waiting,
             .running = 0,
             .loading_weights = loading},
            now_);
    }

    void end(const std::string& id, const attempt_result& how)
    {
        balancer_.begin_attempt(upstream_id{id}, duration{});
        balancer_.end_attempt(upstream_id{id}, how, now_);
    }

    load_balancer balancer_;
    random_source random_{1};
    mono_time now_{seconds(1000)};
};

TEST_F(load_balancer_fixture, draining_upstream_gets_nothing_at_once)
{
    list("a");
    auto leaving =
        upstream{.id = upstream_id{"a"}, .service = engines, .draining = true};
    balancer_.upsert(leaving);
    EXPECT_EQ(chosen(query()), "none");
    EXPECT_TRUE(balancer_.is_leaving(upstream_id{"a"}, now_));
}

TEST_F(load_balancer_fixture, unlisted_upstream_is_used_for_the_grace_only)
{
    list("a");
    balancer_.remove(upstream_id{"a"}, milliseconds(1500), now_);
    EXPECT_EQ(chosen(query()), "a");
    now_ += milliseconds(1499);
    EXPECT_EQ(chosen(query()), "a");
    now_ += milliseconds(1);
    EXPECT_EQ(chosen(query()), "none");
}

TEST_F(load_balancer_fixture, upstream_back_on_list_within_grace_stays)
{
    list("a");
    balancer_.remove(upstream_id{"a"}, milliseconds(1500), now_);
    now_ += milliseconds(700);
    list("a");
    now_ += seconds(10);
    EXPECT_EQ(chosen(query()), "a");
}

TEST_F(load_balancer_fixture, list_read_again_without_upstream_drops_it)
{
    list("a");
    list("b");
    balancer_.replace(
        {{.id = upstream_id{"b"}, .service = engines}}, milliseconds(500),
        now_);
    now_ += seconds(1);
    EXPECT_EQ(share_of("b"), 200);
}

TEST_F(load_balancer_fixture, silent_vm_is_avoided_and_tried_by_one_request)
{
    list("a");
    end("a", connect_failed{});
    EXPECT_EQ(chosen(query()), "none");
    now_ += milliseconds(401);
    ASSERT_EQ(chosen(query()), "a");
    balancer_.begin_attempt(upstream_id{"a"}, duration{});
    EXPECT_EQ(chosen(query()), "none");
    balancer_.end_attempt(upstream_id{"a"}, answered{}, now_);
    EXPECT_EQ(chosen(query()), "a");
}

TEST_F(load_balancer_fixture, vm_that_stays_silent_is_tried_less_and_less)
{
    list("a");
    duration last{};
    for (int failure = 0; failure < 4; ++failure)
    {
        end("a", connect_failed{});
        const auto pause = balancer_.retry_after(engines, now_);
        EXPECT_GT(pause, last);
        last = pause;
        now_ += pause;
    }
    EXPECT_LE(last, seconds(4));
}

TEST_F(load_balancer_fixture, grey_upstream_gets_few_requests)
{
    list("a");
    list("b");
    for (int at = 0; at < 10; ++at)
    {
        end("a", at % 2 == 0 ? attempt_result(response_failed{})
                             : attempt_result(answered{}));
        end("b", answered{});
    }
    EXPECT_LT(share_of("a"), 10);
}

TEST_F(load_balancer_fixture, grey_upstream_is_forgiven_in_time)
{
    list("a");
    list("b");
    for (int at = 0; at < 10; ++at)
    {
        end("a", response_failed{});
    }
    now_ += seconds(120);
    EXPECT_GT(share_of("a"), 60);
}

TEST_F(load_balancer_fixture, equal_upstreams_share_a_burst)
{
    // All gateways hear the same words; none of the engines may get all.
    for (const auto* const id : {"a", "b", "c", "d"})
    {
        list(id);
        say(id, 0);
    }
    for (const auto* const id : {"a", "b", "c", "d"})
    {
        EXPECT_GT(share_of(id), 25) << id;
    }
}

TEST_F(load_balancer_fixture, crowded_engine_is_passed_over)
{
    list("a");
    list("b");
    say("a", 6);
    say("b", 1);
    EXPECT_EQ(share_of("b"), 200);
}

TEST_F(load_balancer_fixture, old_word_on_load_no_longer_counts)
{
    list("a");
    list("b");
    say("a", 6);
    say("b", 0);
    now_ += seconds(2);
    EXPECT_GT(share_of("a"), 50);
}

TEST_F(load_balancer_fixture, own_sends_count_until_next_word)
{
    list("a");
    list("b");
    say("a", 0);
    say("b", 0);
    for (int at = 0; at < 4; ++at)
    {
        balancer_.begin_attempt(upstream_id{"a"}, duration{});
    }
    EXPECT_EQ(share_of("b"), 200);
    say("a", 0);
    EXPECT_GT(share_of("a"), 50);
}

TEST_F(load_balancer_fixture, work_that_others_just_sent_counts_before_reports)
{
    // Forty entries with the same report, a hundred ms old, would all choose
    // the engine that was idle then.
    list("a");
    list("b");
    say("a", 0);
    balancer_.update_load(
        upstream_id{"b"},
        {.prompts_waiting = 3,
         .prefill_of_other_gateways =
             pending_prefill{.prompts = 1, .prefill_time = milliseconds(9)}},
        now_);
    balancer_.update_load(
        upstream_id{"a"},
        {.prompts_waiting = 0,
         .prefill_of_other_gateways =
             pending_prefill{.prompts = 1, .prefill_time = milliseconds(100)}},
        now_);
    EXPECT_EQ(share_of("b"), 200);
}

TEST_F(
    load_balancer_fixture, own_unread_prompts_count_until_their_answers_begin)
{
    list("a");
    list("b");
    const upstream_id a{"a"};
    for (const auto* id : {"a", "b"})
    {
        balancer_.update_load(
            upstream_id{id}, {.prefill_of_other_gateways = pending_prefill{}},
            now_);
    }
    balancer_.begin_attempt(a, milliseconds(100));
    // Words that left before the send do not know of it.
    balancer_.update_load(
        a, {.prefill_of_other_gateways = pending_prefill{}}, now_);
    EXPECT_EQ(share_of("b"), 200);
    EXPECT_EQ(balancer_.own_pending_prefill(a).prompts, 1U);
    balancer_.finish_prefill(a, milliseconds(100));
    EXPECT_GT(share_of("a"), 50);
    EXPECT_TRUE(balancer_.upstreams_with_own_prefill().empty());
}

TEST_F(load_balancer_fixture, loading_engine_gets_nothing_until_it_is_back)
{
    list("a");
    say("a", 0, true);
    EXPECT_EQ(chosen(query()), "none");
    say("a", 0, false);
    EXPECT_EQ(chosen(query()), "a");
}

TEST_F(load_balancer_fixture, all_engines_crowded_is_told_apart_from_none)
{
    list("a");
    say("a", 5);
    auto wanted = query();
    wanted.max_prompts_waiting = 5;
    EXPECT_TRUE(std::holds_alternative<all_overloaded>(
        balancer_.choose(wanted, random_, now_)));
    wanted.max_prompts_waiting = 6;
    EXPECT_EQ(chosen(wanted), "a");
    wanted.service = service_id{"other"};
    EXPECT_TRUE(std::holds_alternative<none_available>(
        balancer_.choose(wanted, random_, now_)));
}

TEST_F(load_balancer_fixture, prompt_goes_home_when_load_is_equal)
{
    for (const auto* const id : {"a", "b", "c", "d"})
    {
        list(id);
        say(id, 0);
    }
    auto wanted = query();
    wanted.affinity_key = 77;
    std::map<std::string, int> counts;
    for (int at = 0; at < 200; ++at)
    {
        ++counts[chosen(wanted)];
    }
    const auto most = std::max_element(
        counts.begin(), counts.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    EXPECT_GT(most->second, 140);
}

TEST_F(load_balancer_fixture, old_weights_are_excluded_when_asked)
{
    list("a");
    auto wanted = query();
    wanted.model = model;
    wanted.wanted_version = weight_version{2};
    EXPECT_EQ(chosen(wanted), "a");
    wanted.require_wanted_version = true;
    EXPECT_EQ(chosen(wanted), "none");
    end("a", weights_differ{model, weight_version{2}});
    EXPECT_EQ(chosen(wanted), "a");
}

TEST_F(load_balancer_fixture, lagging_list_does_not_lower_known_weights)
{
    list("a");
    end("a", weights_differ{model, weight_version{3}});
    list("a");
    EXPECT_EQ(
        balancer_.running_version(upstream_id{"a"}, model), weight_version{3});
}

TEST_F(load_balancer_fixture, address_taken_by_another_upstream_is_left)
{
    list("a");
    end("a", misdirected{});
    EXPECT_EQ(chosen(query()), "none");
}

TEST_F(load_balancer_fixture, restarted_upstream_replaces_its_earlier_life)
{
    // The list names the earlier life until its heartbeats are missed.
    const http::address address{"10.0.0.1:80"};
    balancer_.upsert(
        {.id = upstream_id{"old"},
         .service = engines,
         .address = address,
         .started_ms = 100});
    balancer_.upsert(
        {.id = upstream_id{"new"},
         .service = engines,
         .address = address,
         .started_ms = 200});
    EXPECT_EQ(share_of("new"), 200);
}

TEST_F(load_balancer_fixture, near_upstream_is_preferred_among_equals)
{
    list("near", here);
    list("far", there);
    EXPECT_GT(share_of("near"), 100);
}

RC_GTEST_PROP(
    load_balancer, tried_or_leaving_upstream_is_never_chosen,
    (const std::vector<std::uint8_t>& steps, std::uint64_t seed))
{
    load_balancer balancer;
    random_source random(seed);
    mono_time now{seconds(1000)};
    std::map<upstream_id, bool> draining;
    for (const auto step : steps)
    {
        const upstream_id id{std::to_string(step % 4)};
        now += milliseconds(step);
        switch (step / 4 % 6)
        {
        case 0:
            balancer.upsert({.id = id, .service = engines});
            draining[id] = false;
            break;
        case 1:
            balancer.upsert({.id = id, .service = engines, .draining = true});
            draining[id] = true;
            break;
        case 2:
            balancer.begin_attempt(id, duration{});
            balancer.end_attempt(id, connect_failed{}, now);
            break;
        case 3:
            balancer.update_load(id, {.prompts_waiting = step}, now);
            break;
        case 4:
            balancer.begin_attempt(id, duration{});
            balancer.end_attempt(id, answered{}, now);
            break;
        default:
            balancer.remove(id, duration::zero(), now);
            draining.erase(id);
            break;
        }
        const upstream_query wanted{
            .service = engines, .excluded = {upstream_id{"0"}}};
        const auto made = balancer.choose(wanted, random, now);
        if (const auto* const chosen = std::get_if<chosen_upstream>(&made))
        {
            RC_ASSERT(chosen->entry.id != upstream_id{"0"});
            RC_ASSERT(draining.contains(chosen->entry.id));
            RC_ASSERT(!draining.at(chosen->entry.id));
        }
    }
}

} // namespace
} // namespace wagtailseam::serving
