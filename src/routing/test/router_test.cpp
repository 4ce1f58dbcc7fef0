// The router: probes, decisions, explanations and the bound on herding.
#include "routing/rendezvous.hpp"
#include "routing/router.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <gmock/gmock.h>
#include <map>
#include <set>

namespace wagtailseam::routing
{
namespace
{

upstream_id runner(std::size_t number)
{
    return upstream_id{"runner-" + std::to_string(number)};
}

std::vector<digest> chain(const std::string& name, std::size_t pieces)
{
    std::vector<digest> made;
    for (std::size_t i = 0; i < pieces; ++i)
    {
        made.push_back(sha256(name + "/" + std::to_string(i)));
    }
    return made;
}

prompt_info make_prompt(const std::string& id, std::size_t pieces = 8)
{
    return {
        .id = request_id{id},
        .chain = chain(id, pieces),
        .tokens = token_count{pieces * 1024 + 100}};
}

std::vector<command> send(router& one, const event& incoming, mono_time now)
{
    return one.handle(incoming, now);
}

class router_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        for (std::size_t i = 0; i < 5; ++i)
        {
            send(upstream_joined{runner(i), cell_id{0}});
        }
        send(store_joined{upstream_id{"store-0"}});
    }

    std::vector<command> send(const event& incoming)
    {
        return router_.handle(incoming, now_);
    }

    /// Answers every probe; the upstream `holder` has `cached` pieces.
    std::vector<command> answer_all(
        const std::vector<command>& asked, const upstream_id& holder,
        std::size_t cached)
    {
        std::vector<command> last;
        for (const auto& next : asked)
        {
            if (const auto* p = std::get_if<probe_upstream>(&next))
            {
                last = send(upstream_answered{
                    .id = p->id,
                    .upstream = p->upstream,
                    .load = {.prefill_rate = token_rate{8000.0}},
                    .cached_pieces = p->upstream == holder ? cached : 0});
            }
            if (const auto* p = std::get_if<probe_store>(&next))
            {
                last = send(
                    store_answered{.id = p->id, .source = {.store = p->store}});
            }
        }
        return last;
    }

    static const dispatch_prompt& dispatched(const std::vector<command>& all)
    {
        return std::get<dispatch_prompt>(all.back());
    }

    router router_{{}, random_source(7)};
    mono_time now_{std::chrono::seconds(100)};
};

TEST_F(router_test, prompt_without_upstreams_is_refused)
{
    router empty({}, random_source(1));
    const auto out = empty.handle(prompt_received{make_prompt("a")}, now_);
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(
        std::get<refuse_prompt>(out.front()).code, result_code::no_upstream);
}

TEST_F(router_test, new_prompt_probes_home_and_store)
{
    const auto wanted = make_prompt("a");
    const auto asked = send(prompt_received{wanted});
    std::vector<upstream_id> members;
    for (std::size_t i = 0; i < 5; ++i)
    {
        members.push_back(runner(i));
    }
    const auto home = rendezvous_order(wanted.chain[3], members, 1).front();
    bool home_asked = false;
    bool store_asked = false;
    for (const auto& next : asked)
    {
        const auto* p = std::get_if<probe_upstream>(&next);
        home_asked |= p != nullptr && p->upstream == home;
        store_asked |= std::holds_alternative<probe_store>(next);
    }
    EXPECT_TRUE(home_asked);
    EXPECT_TRUE(store_asked);
}

TEST_F(router_test, returning_prompt_goes_to_holder_and_is_explained)
{
    const auto first = dispatched(
        answer_all(send(prompt_received{make_prompt("a")}), runner(9), 0));
    const auto holder = first.plan.upstream;
    send(prefill_ended{request_id{"a"}});
    now_ += std::chrono::seconds(30);
    auto again = make_prompt("a", 9);
    again.id = request_id{"a2"};
    const auto second =
        dispatched(answer_all(send(prompt_received{again}), holder, 8));
    EXPECT_EQ(second.plan.upstream, holder);
    EXPECT_EQ(second.plan.cached_pieces, 8U);
    EXPECT_EQ(second.explanation.chosen, holder);
    EXPECT_EQ(second.explanation.candidates.size(), 5U);
    EXPECT_EQ(second.explanation.missing_answers, 0U);
}

TEST_F(router_test, deadline_without_answers_still_decides)
{
    const auto asked = send(prompt_received{make_prompt("a")});
    const auto wake = std::get<wake_at>(asked.back());
    now_ = wake.when;
    const auto out = send(probe_deadline_passed{request_id{"a"}});
    EXPECT_GT(dispatched(out).explanation.missing_answers, 0U);
    EXPECT_EQ(router_.pending(), 0U);
    EXPECT_TRUE(send(probe_deadline_passed{request_id{"a"}}).empty());
}

TEST_F(router_test, upstream_that_left_is_not_chosen)
{
    const auto asked = send(prompt_received{make_prompt("a")});
    for (std::size_t i = 0; i < 4; ++i)
    {
        send(upstream_left{runner(i)});
    }
    const auto out = send(probe_deadline_passed{request_id{"a"}});
    EXPECT_EQ(dispatched(out).plan.upstream, runner(4));
}

TEST_F(router_test, estimate_over_limit_is_refused_with_return_time)
{
    for (std::size_t i = 0; i < 5; ++i)
    {
        load_report full{.prefill_rate = token_rate{1000.0}};
        full.queued[0] = token_count{60000};
        send(load_reported{.upstream = runner(i), .load = full});
    }
    send(prompt_received{make_prompt("a")});
    const auto out = send(probe_deadline_passed{request_id{"a"}});
    const auto& refused = std::get<refuse_prompt>(out.back());
    EXPECT_EQ(refused.code, result_code::queue_full);
    EXPECT_GT(refused.retry_after, std::chrono::seconds(30));
}

TEST_F(router_test, holder_named_by_home_is_asked_before_deciding)
{
    const auto wanted = make_prompt("a");
    const auto asked = send(prompt_received{wanted});
    std::set<upstream_id> probed;
    for (const auto& next : asked)
    {
        if (const auto* p = std::get_if<probe_upstream>(&next))
        {
            probed.insert(p->upstream);
        }
    }
    upstream_id holder;
    for (std::size_t i = 0; i < 5; ++i)
    {
        holder = probed.contains(runner(i)) ? holder : runner(i);
    }
    const auto follow = send(upstream_answered{
        .id = wanted.id,
        .upstream = *probed.begin(),
        .load = {.prefill_rate = token_rate{8000.0}},
        .last_holder = holder});
    ASSERT_EQ(follow.size(), 1U);
    EXPECT_EQ(std::get<probe_upstream>(follow.front()).upstream, holder);
}

TEST_F(router_test, prompt_placed_off_home_is_recorded_there)
{
    const auto wanted = make_prompt("a");
    const auto members =
        std::vector{runner(0), runner(1), runner(2), runner(3), runner(4)};
    const auto home = rendezvous_order(wanted.chain[3], members, 1).front();
    load_report busy{.prefill_rate = token_rate{1000.0}};
    busy.queued[0] = token_count{9000};
    send(load_reported{.upstream = home, .load = busy});
    send(prompt_received{wanted});
    const auto out = send(probe_deadline_passed{wanted.id});
    ASSERT_EQ(out.size(), 2U);
    const auto& record = std::get<record_holder>(out.front());
    EXPECT_EQ(record.home, home);
    EXPECT_EQ(record.holder, dispatched(out).plan.upstream);
    EXPECT_NE(record.holder, home);
}

TEST_F(router_test, shortest_queue_of_the_cell_is_asked)
{
    for (std::size_t i = 0; i < 5; ++i)
    {
        load_report made{.prefill_rate = token_rate{1000.0}};
        made.queued[0] = token_count{i == 3 ? 0U : 5000U};
        send(load_reported{.upstream = runner(i), .load = made});
    }
    for (int i = 0; i < 10; ++i)
    {
        const auto asked =
            send(prompt_received{make_prompt(std::to_string(i))});
        const bool found = std::any_of(
            asked.begin(), asked.end(),
            [](const command& next)
            {
                const auto* p = std::get_if<probe_upstream>(&next);
                return p != nullptr && p->upstream == runner(3);
            });
        EXPECT_TRUE(found);
    }
}

RC_GTEST_PROP(router_property, stale_report_never_attracts_past_the_bound, ())
{
    router::options settings;
    settings.load.floor = 4;
    router one(settings, random_source(*rc::gen::arbitrary<std::uint64_t>()));
    mono_time now{std::chrono::seconds(5)};
    const auto members = *rc::gen::inRange<std::size_t>(2, 12);
    for (std::size_t i = 0; i < members; ++i)
    {
        send(one, upstream_joined{runner(i), cell_id{0}}, now);
        load_report busy{.prefill_rate = token_rate{1000.0}};
        busy.queued[0] = token_count{i == 0 ? 0U : 20000U};
        send(one, load_reported{.upstream = runner(i), .load = busy}, now);
    }
    std::map<upstream_id, std::size_t> placed;
    const auto prompts = *rc::gen::inRange<std::size_t>(1, 80);
    for (std::size_t i = 0; i < prompts; ++i)
    {
        const request_id id{std::to_string(i)};
        // A prompt of few tokens, so that its own work repels nothing.
        send(
            one,
            prompt_received{{.id = id, .chain = {}, .tokens = token_count{1}}},
            now);
        const auto out = send(one, probe_deadline_passed{id}, now);
        ++placed[std::get<dispatch_prompt>(out.back()).plan.upstream];
    }
    const auto mean =
        static_cast<double>(prompts) / static_cast<double>(members);
    for (const auto& [id, count] : placed)
    {
        RC_ASSERT(
            static_cast<double>(count) <= std::max(4.0, 2.0 * mean) + 1.0);
    }
}

RC_GTEST_PROP(router_property, equal_inputs_give_equal_decisions, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    router one({}, random_source(seed));
    router two({}, random_source(seed));
    const mono_time now{std::chrono::seconds(5)};
    const auto both = [&](const event& incoming)
    {
        const auto a = one.handle(incoming, now);
        const auto b = two.handle(incoming, now);
        RC_ASSERT(a.size() == b.size());
        for (std::size_t i = 0; i < a.size(); ++i)
        {
            RC_ASSERT(a[i].index() == b[i].index());
            if (const auto* d = std::get_if<dispatch_prompt>(&a[i]))
            {
                const auto& other = std::get<dispatch_prompt>(b[i]);
                RC_ASSERT(d->plan.upstream == other.plan.upstream);
                RC_ASSERT(d->plan.cost == other.plan.cost);
            }
        }
    };
    for (std::size_t i = 0; i < 6; ++i)
    {
        both(upstream_joined{runner(i), cell_id{0}});
    }
    for (std::size_t i = 0; i < 20; ++i)
    {
        const auto name = std::to_string(*rc::gen::inRange(0, 5));
        auto wanted = make_prompt(name);
        wanted.id = request_id{std::to_string(i)};
        both(prompt_received{wanted});
        both(probe_deadline_passed{wanted.id});
    }
}

} // namespace
} // namespace wagtailseam::routing
