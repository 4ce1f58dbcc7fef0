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

class upstream_book_fixture : public testing::Test
{
protected:
    void list(const std::string& id, const data_centre_id& where = here)
    {
        book_.put(
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
        return {.service = engines, .near = here};
    }

    [[nodiscard]] std::string chosen(const upstream_query& wanted)
    {
        const auto made = book_.choose(wanted, random_, now_);
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
        book_.take_load(
            upstream_id{id},
            {.prompts_waiting = waiting, .running = 0, .loading = loading},
            now_);
    }

    void end(const std::string& id, const attempt_end& how)
    {
        book_.begin(upstream_id{id}, duration{});
        book_.end(upstream_id{id}, how, now_);
    }

    upstream_book book_;
    random_source random_{1};
    mono_time now_{seconds(1000)};
};

TEST_F(upstream_book_fixture, draining_upstream_gets_nothing_at_once)
{
    list("a");
    auto leaving =
        upstream{.id = upstream_id{"a"}, .service = engines, .draining = true};
    book_.put(leaving);
    EXPECT_EQ(chosen(query()), "none");
    EXPECT_TRUE(book_.leaves(upstream_id{"a"}, now_));
}

TEST_F(upstream_book_fixture, unlisted_upstream_is_used_for_the_grace_only)
{
    list("a");
    book_.remove(upstream_id{"a"}, milliseconds(1500), now_);
    EXPECT_EQ(chosen(query()), "a");
    now_ += milliseconds(1499);
    EXPECT_EQ(chosen(query()), "a");
    now_ += milliseconds(1);
    EXPECT_EQ(chosen(query()), "none");
}

TEST_F(upstream_book_fixture, upstream_back_on_list_within_grace_stays)
{
    list("a");
    book_.remove(upstream_id{"a"}, milliseconds(1500), now_);
    now_ += milliseconds(700);
    list("a");
    now_ += seconds(10);
    EXPECT_EQ(chosen(query()), "a");
}

TEST_F(upstream_book_fixture, list_read_again_without_upstream_drops_it)
{
    list("a");
    list("b");
    book_.replace(
        {{.id = upstream_id{"b"}, .service = engines}}, milliseconds(500),
        now_);
    now_ += seconds(1);
    EXPECT_EQ(share_of("b"), 200);
}

TEST_F(upstream_book_fixture, silent_vm_is_avoided_and_tried_by_one_request)
{
    list("a");
    end("a", connect_failed{});
    EXPECT_EQ(chosen(query()), "none");
    now_ += milliseconds(401);
    ASSERT_EQ(chosen(query()), "a");
    book_.begin(upstream_id{"a"}, duration{});
    EXPECT_EQ(chosen(query()), "none");
    book_.end(upstream_id{"a"}, answered{}, now_);
    EXPECT_EQ(chosen(query()), "a");
}

TEST_F(upstream_book_fixture, vm_that_stays_silent_is_tried_less_and_less)
{
    list("a");
    duration last{};
    for (int failure = 0; failure < 4; ++failure)
    {
        end("a", connect_failed{});
        const auto pause = book_.retry_after(engines, now_);
        EXPECT_GT(pause, last);
        last = pause;
        now_ += pause;
    }
    EXPECT_LE(last, seconds(4));
}

TEST_F(upstream_book_fixture, grey_upstream_gets_few_requests)
{
    list("a");
    list("b");
    for (int at = 0; at < 10; ++at)
    {
        end("a",
            at % 2 == 0 ? attempt_end(failed_run{}) : attempt_end(answered{}));
        end("b", answered{});
    }
    EXPECT_LT(share_of("a"), 10);
}

TEST_F(upstream_book_fixture, grey_upstream_is_forgiven_in_time)
{
    list("a");
    list("b");
    for (int at = 0; at < 10; ++at)
    {
        end("a", failed_run{});
    }
    now_ += seconds(120);
    EXPECT_GT(share_of("a"), 60);
}

TEST_F(upstream_book_fixture, equal_upstreams_share_a_burst)
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

TEST_F(upstream_book_fixture, crowded_engine_is_passed_over)
{
    list("a");
    list("b");
    say("a", 6);
    say("b", 1);
    EXPECT_EQ(share_of("b"), 200);
}

TEST_F(upstream_book_fixture, old_word_on_load_no_longer_counts)
{
    list("a");
    list("b");
    say("a", 6);
    say("b", 0);
    now_ += seconds(2);
    EXPECT_GT(share_of("a"), 50);
}

TEST_F(upstream_book_fixture, own_sends_count_until_next_word)
{
    list("a");
    list("b");
    say("a", 0);
    say("b", 0);
    for (int at = 0; at < 4; ++at)
    {
        book_.begin(upstream_id{"a"}, duration{});
    }
    EXPECT_EQ(share_of("b"), 200);
    say("a", 0);
    EXPECT_GT(share_of("a"), 50);
}

TEST_F(upstream_book_fixture, work_that_others_just_sent_counts_before_reports)
{
    // Forty entries with the same report, a hundred ms old, would all choose
    // the engine that was idle then.
    list("a");
    list("b");
    say("a", 0);
    book_.take_load(
        upstream_id{"b"},
        {.prompts_waiting = 3,
         .unread_of_others =
             unread_work{.prompts = 1, .reading = milliseconds(9)}},
        now_);
    book_.take_load(
        upstream_id{"a"},
        {.prompts_waiting = 0,
         .unread_of_others =
             unread_work{.prompts = 1, .reading = milliseconds(100)}},
        now_);
    EXPECT_EQ(share_of("b"), 200);
}

TEST_F(
    upstream_book_fixture, own_unread_prompts_count_until_their_answers_begin)
{
    list("a");
    list("b");
    const upstream_id a{"a"};
    for (const auto* id : {"a", "b"})
    {
        book_.take_load(
            upstream_id{id}, {.unread_of_others = unread_work{}}, now_);
    }
    book_.begin(a, milliseconds(100));
    // Words that left before the send do not know of it.
    book_.take_load(a, {.unread_of_others = unread_work{}}, now_);
    EXPECT_EQ(share_of("b"), 200);
    EXPECT_EQ(book_.own_unread(a).prompts, 1U);
    book_.prompt_read(a, milliseconds(100));
    EXPECT_GT(share_of("a"), 50);
    EXPECT_TRUE(book_.with_own_unread().empty());
}

TEST_F(upstream_book_fixture, loading_engine_gets_nothing_until_it_is_back)
{
    list("a");
    say("a", 0, true);
    EXPECT_EQ(chosen(query()), "none");
    say("a", 0, false);
    EXPECT_EQ(chosen(query()), "a");
}

TEST_F(upstream_book_fixture, all_engines_crowded_is_told_apart_from_none)
{
    list("a");
    say("a", 5);
    auto wanted = query();
    wanted.max_prompts_waiting = 5;
    EXPECT_TRUE(std::holds_alternative<all_overloaded>(
        book_.choose(wanted, random_, now_)));
    wanted.max_prompts_waiting = 6;
    EXPECT_EQ(chosen(wanted), "a");
    wanted.service = service_id{"other"};
    EXPECT_TRUE(std::holds_alternative<none_usable>(
        book_.choose(wanted, random_, now_)));
}

TEST_F(upstream_book_fixture, prompt_goes_home_when_load_is_equal)
{
    for (const auto* const id : {"a", "b", "c", "d"})
    {
        list(id);
        say(id, 0);
    }
    auto wanted = query();
    wanted.home_key = 77;
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

TEST_F(upstream_book_fixture, old_weights_are_excluded_when_asked)
{
    list("a");
    auto wanted = query();
    wanted.model = model;
    wanted.wanted = weight_version{2};
    EXPECT_EQ(chosen(wanted), "a");
    wanted.only_wanted = true;
    EXPECT_EQ(chosen(wanted), "none");
    end("a", weights_differ{model, weight_version{2}});
    EXPECT_EQ(chosen(wanted), "a");
}

TEST_F(upstream_book_fixture, lagging_list_does_not_lower_known_weights)
{
    list("a");
    end("a", weights_differ{model, weight_version{3}});
    list("a");
    EXPECT_EQ(book_.weights(upstream_id{"a"}, model), weight_version{3});
}

TEST_F(upstream_book_fixture, address_taken_by_another_upstream_is_left)
{
    list("a");
    end("a", misdirected{});
    EXPECT_EQ(chosen(query()), "none");
}

TEST_F(upstream_book_fixture, restarted_upstream_replaces_its_earlier_life)
{
    // The list names the earlier life until its heartbeats are missed.
    const http::address address{"10.0.0.1:80"};
    book_.put(
        {.id = upstream_id{"old"},
         .service = engines,
         .address = address,
         .started_ms = 100});
    book_.put(
        {.id = upstream_id{"new"},
         .service = engines,
         .address = address,
         .started_ms = 200});
    EXPECT_EQ(share_of("new"), 200);
}

TEST_F(upstream_book_fixture, near_upstream_is_preferred_among_equals)
{
    list("near", here);
    list("far", there);
    EXPECT_GT(share_of("near"), 100);
}

RC_GTEST_PROP(
    upstream_book, tried_or_leaving_upstream_is_never_chosen,
    (const std::vector<std::uint8_t>& steps, std::uint64_t seed))
{
    upstream_book book;
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
            book.put({.id = id, .service = engines});
            draining[id] = false;
            break;
        case 1:
            book.put({.id = id, .service = engines, .draining = true});
            draining[id] = true;
            break;
        case 2:
            book.begin(id, duration{});
            book.end(id, connect_failed{}, now);
            break;
        case 3:
            book.take_load(id, {.prompts_waiting = step}, now);
            break;
        case 4:
            book.begin(id, duration{});
            book.end(id, answered{}, now);
            break;
        default:
            book.remove(id, duration::zero(), now);
            draining.erase(id);
            break;
        }
        const upstream_query wanted{
            .service = engines, .tried = {upstream_id{"0"}}};
        const auto made = book.choose(wanted, random, now);
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
