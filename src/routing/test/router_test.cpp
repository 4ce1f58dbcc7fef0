// Tests probes, decisions and explanations of the router, and the limit that
// keeps stale reports from sending all prompts to one upstream.
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

upstream_id make_upstream(std::size_t number)
{
    return upstream_id{"runner-" + std::to_string(number)};
}

std::vector<digest> make_chain(const std::string& name, std::size_t pieces)
{
    std::vector<digest> chain;
    for (std::size_t i = 0; i < pieces; ++i)
    {
        chain.push_back(sha256(name + "/" + std::to_string(i)));
    }
    return chain;
}

prompt_info make_prompt(const std::string& id, std::size_t pieces = 8)
{
    return {
        .id = request_id{id},
        .chain = make_chain(id, pieces),
        .tokens = token_count{pieces * 1024 + 100}};
}

std::vector<command> send(router& target, const event& incoming, mono_time now)
{
    return target.handle(incoming, now);
}

class router_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        for (std::size_t i = 0; i < 5; ++i)
        {
            send(upstream_joined{make_upstream(i), cell_id{0}});
        }
        send(store_joined{upstream_id{"store-0"}});
    }

    std::vector<command> send(const event& incoming)
    {
        return router_.handle(incoming, now_);
    }

    /// Answers all probes; only `holder` has cached pieces. Returns the
    /// commands that the last answer caused.
    std::vector<command> answer_all(
        const std::vector<command>& commands, const upstream_id& holder,
        std::size_t cached)
    {
        std::vector<command> last;
        for (const auto& next : commands)
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

    static const dispatch_prompt& last_dispatch(
        const std::vector<command>& commands)
    {
        return std::get<dispatch_prompt>(commands.back());
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

TEST_F(router_test, new_prompt_probes_its_home_and_a_store)
{
    const auto prompt = make_prompt("a");
    const auto probes = send(prompt_received{prompt});
    std::vector<upstream_id> members;
    for (std::size_t i = 0; i < 5; ++i)
    {
        members.push_back(make_upstream(i));
    }
    const auto home = rendezvous_order(prompt.chain[3], members, 1).front();
    bool home_probed = false;
    bool store_probed = false;
    for (const auto& next : probes)
    {
        const auto* p = std::get_if<probe_upstream>(&next);
        home_probed |= p != nullptr && p->upstream == home;
        store_probed |= std::holds_alternative<probe_store>(next);
    }
    EXPECT_TRUE(home_probed);
    EXPECT_TRUE(store_probed);
}

TEST_F(router_test, extended_prompt_goes_to_holder_and_is_explained)
{
    const auto first = last_dispatch(answer_all(
        send(prompt_received{make_prompt("a")}), make_upstream(9), 0));
    const auto holder = first.plan.upstream;
    send(prefill_ended{request_id{"a"}});
    now_ += std::chrono::seconds(30);
    auto extended = make_prompt("a", 9);
    extended.id = request_id{"a2"};
    const auto second =
        last_dispatch(answer_all(send(prompt_received{extended}), holder, 8));
    EXPECT_EQ(second.plan.upstream, holder);
    EXPECT_EQ(second.plan.cached_pieces, 8U);
    EXPECT_EQ(second.explanation.chosen, holder);
    EXPECT_EQ(second.explanation.candidates.size(), 5U);
    EXPECT_EQ(second.explanation.missing_answers, 0U);
}

TEST_F(router_test, probe_deadline_without_answers_dispatches_prompt)
{
    const auto probes = send(prompt_received{make_prompt("a")});
    const auto wake = std::get<wake_at>(probes.back());
    now_ = wake.when;
    const auto out = send(probe_deadline_passed{request_id{"a"}});
    EXPECT_GT(last_dispatch(out).explanation.missing_answers, 0U);
    EXPECT_EQ(router_.pending(), 0U);
    EXPECT_TRUE(send(probe_deadline_passed{request_id{"a"}}).empty());
}

TEST_F(router_test, upstream_that_left_while_probing_is_not_chosen)
{
    const auto probes = send(prompt_received{make_prompt("a")});
    for (std::size_t i = 0; i < 4; ++i)
    {
        send(upstream_left{make_upstream(i)});
    }
    const auto out = send(probe_deadline_passed{request_id{"a"}});
    EXPECT_EQ(last_dispatch(out).plan.upstream, make_upstream(4));
}

TEST_F(router_test, plan_over_time_limit_is_refused_with_retry_time)
{
    for (std::size_t i = 0; i < 5; ++i)
    {
        load_report report{.prefill_rate = token_rate{1000.0}};
        report.queued[0] = token_count{60000};
        send(load_reported{.upstream = make_upstream(i), .load = report});
    }
    send(prompt_received{make_prompt("a")});
    const auto out = send(probe_deadline_passed{request_id{"a"}});
    const auto& refused = std::get<refuse_prompt>(out.back());
    EXPECT_EQ(refused.code, result_code::queue_full);
    EXPECT_GT(refused.retry_after, std::chrono::seconds(30));
}

TEST_F(router_test, holder_reported_by_upstream_is_probed_before_decision)
{
    const auto prompt = make_prompt("a");
    const auto probes = send(prompt_received{prompt});
    std::set<upstream_id> probed;
    for (const auto& next : probes)
    {
        if (const auto* p = std::get_if<probe_upstream>(&next))
        {
            probed.insert(p->upstream);
        }
    }
    upstream_id holder;
    for (std::size_t i = 0; i < 5; ++i)
    {
        holder = probed.contains(make_upstream(i)) ? holder : make_upstream(i);
    }
    const auto commands = send(upstream_answered{
        .id = prompt.id,
        .upstream = *probed.begin(),
        .load = {.prefill_rate = token_rate{8000.0}},
        .last_holder = holder});
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(std::get<probe_upstream>(commands.front()).upstream, holder);
}

TEST_F(router_test, dispatch_away_from_home_is_recorded_at_home)
{
    const auto prompt = make_prompt("a");
    const auto members = std::vector{
        make_upstream(0), make_upstream(1), make_upstream(2), make_upstream(3),
        make_upstream(4)};
    const auto home = rendezvous_order(prompt.chain[3], members, 1).front();
    load_report busy{.prefill_rate = token_rate{1000.0}};
    busy.queued[0] = token_count{9000};
    send(load_reported{.upstream = home, .load = busy});
    send(prompt_received{prompt});
    const auto out = send(probe_deadline_passed{prompt.id});
    ASSERT_EQ(out.size(), 2U);
    const auto& record = std::get<record_holder>(out.front());
    EXPECT_EQ(record.home, home);
    EXPECT_EQ(record.holder, last_dispatch(out).plan.upstream);
    EXPECT_NE(record.holder, home);
}

TEST_F(router_test, shortest_queue_of_the_cell_is_probed)
{
    for (std::size_t i = 0; i < 5; ++i)
    {
        load_report report{.prefill_rate = token_rate{1000.0}};
        report.queued[0] = token_count{i == 3 ? 0U : 5000U};
        send(load_reported{.upstream = make_upstream(i), .load = report});
    }
    for (int i = 0; i < 10; ++i)
    {
        const auto probes =
            send(prompt_received{make_prompt(std::to_string(i))});
        const bool found = std::any_of(
            probes.begin(), probes.end(),
            [](const command& next)
            {
                const auto* p = std::get_if<probe_upstream>(&next);
                return p != nullptr && p->upstream == make_upstream(3);
            });
        EXPECT_TRUE(found);
    }
}

RC_GTEST_PROP(router_property, stale_report_never_exceeds_outstanding_limit, ())
{
    router::options settings;
    settings.load.min_outstanding_limit = 4;
    router tested(
        settings, random_source(*rc::gen::arbitrary<std::uint64_t>()));
    mono_time now{std::chrono::seconds(5)};
    const auto members = *rc::gen::inRange<std::size_t>(2, 12);
    for (std::size_t i = 0; i < members; ++i)
    {
        send(tested, upstream_joined{make_upstream(i), cell_id{0}}, now);
        load_report busy{.prefill_rate = token_rate{1000.0}};
        busy.queued[0] = token_count{i == 0 ? 0U : 20000U};
        send(
            tested, load_reported{.upstream = make_upstream(i), .load = busy},
            now);
    }
    std::map<upstream_id, std::size_t> placed;
    const auto prompts = *rc::gen::inRange<std::size_t>(1, 80);
    for (std::size_t i = 0; i < prompts; ++i)
    {
        const request_id id{std::to_string(i)};
        // A prompt of one token adds almost no queue wait of its own, so only
        // the limit spreads the prompts.
        send(
            tested,
            prompt_received{{.id = id, .chain = {}, .tokens = token_count{1}}},
            now);
        const auto out = send(tested, probe_deadline_passed{id}, now);
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
    router first({}, random_source(seed));
    router second({}, random_source(seed));
    const mono_time now{std::chrono::seconds(5)};
    const auto expect_same_commands = [&](const event& incoming)
    {
        const auto a = first.handle(incoming, now);
        const auto b = second.handle(incoming, now);
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
        expect_same_commands(upstream_joined{make_upstream(i), cell_id{0}});
    }
    for (std::size_t i = 0; i < 20; ++i)
    {
        const auto name = std::to_string(*rc::gen::inRange(0, 5));
        auto prompt = make_prompt(name);
        prompt.id = request_id{std::to_string(i)};
        expect_same_commands(prompt_received{prompt});
        expect_same_commands(probe_deadline_passed{prompt.id});
    }
}

} // namespace
} // namespace wagtailseam::routing
