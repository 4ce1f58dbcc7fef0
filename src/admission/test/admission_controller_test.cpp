// The admission core against oracles kept outside it, and its effect in
// virtual time.
#include "admission/admission_controller.hpp"
#include "admission/test/pool_simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::admission
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class admission_core_fixture : public testing::Test
{
protected:
    std::vector<command> arrive(
        const std::string& request, const std::string& workspace,
        priority level = priority::normal, duration patience = seconds(60))
    {
        return send(arrival{
            .request = request_id(request),
            .workspace = workspace_id(workspace),
            .level = level,
            .deadline = now_ + patience,
            .expected_first_token = milliseconds(100),
            .cost = token_count(100)});
    }
    std::vector<command> finish(const std::string& request)
    {
        return send(finished{.request = request_id(request)});
    }
    std::vector<command> send(const event& happened)
    {
        return core_.handle(happened, random_, now_);
    }
    static std::string dispatched(const std::vector<command>& commands)
    {
        std::string names;
        for (const command& one : commands)
        {
            if (const auto* const go = std::get_if<dispatch>(&one))
            {
                names += go->request.value() + " ";
            }
        }
        return names;
    }
    static refuse only_refusal(const std::vector<command>& commands)
    {
        EXPECT_EQ(commands.size(), 1U);
        return std::get<refuse>(commands.at(0));
    }

    random_source random_{1};
    mono_time now_{seconds(1)};
    admission_core core_{
        {.limit = {.initial = 4, .minimum = 4, .maximum = 4},
         .headroom = 0.25,
         .max_queued = 6,
         .max_queued_per_workspace = 4}};
};

TEST_F(admission_core_fixture, lone_workspace_leaves_headroom_to_newcomer)
{
    arrive("a1", "a");
    arrive("a2", "a");
    EXPECT_EQ(dispatched(arrive("a3", "a")), "a3 ");
    EXPECT_EQ(dispatched(arrive("a4", "a")), "");
    EXPECT_EQ(dispatched(arrive("b1", "b")), "b1 ");
}

TEST_F(admission_core_fixture, queues_of_equal_weight_are_served_in_turn)
{
    for (const char* const name : {"a1", "a2", "a3", "a4", "a5"})
    {
        arrive(name, "a");
    }
    arrive("b1", "b");
    arrive("b2", "b");
    EXPECT_EQ(dispatched(finish("a1")), "b2 ");
}

TEST_F(admission_core_fixture, urgent_goes_first_within_its_workspace)
{
    for (const char* const name : {"a1", "a2", "a3", "a4"})
    {
        arrive(name, "a");
    }
    arrive("a5", "a", priority::urgent);
    EXPECT_EQ(dispatched(finish("a1")), "a5 ");
}

TEST_F(admission_core_fixture, background_waits_for_other_workspaces)
{
    for (const char* const name : {"a1", "a2", "a3"})
    {
        arrive(name, "a");
    }
    arrive("b1", "b");
    arrive("c1", "c", priority::background);
    arrive("a4", "a");
    EXPECT_EQ(dispatched(finish("a1")), "");
    EXPECT_EQ(dispatched(finish("a2")), "a4 ");
    EXPECT_EQ(dispatched(finish("a3")), "c1 ");
}

TEST_F(admission_core_fixture, unreachable_deadline_is_refused_on_arrival)
{
    arrive("a1", "a");
    now_ += seconds(10);
    finish("a1");
    for (const char* const name : {"a2", "a3", "a4", "a5"})
    {
        arrive(name, "a");
    }
    const refuse no =
        only_refusal(arrive("a6", "a", priority::normal, seconds(2)));
    EXPECT_EQ(no.code, result_code::deadline_unreachable);
    EXPECT_GE(no.retry_after, seconds(2));
}

TEST_F(admission_core_fixture, hopeless_queued_request_is_refused_at_next_tick)
{
    for (const char* const name : {"a1", "a2", "a3"})
    {
        arrive(name, "a");
    }
    arrive("a4", "a", priority::normal, seconds(2));
    now_ += seconds(10);
    const std::vector<command> commands = send(tick{});
    EXPECT_EQ(only_refusal(commands).code, result_code::deadline_unreachable);
    EXPECT_EQ(core_.queued(), 0U);
}

TEST_F(admission_core_fixture, full_queue_drops_from_longest_not_from_newcomer)
{
    for (const char* const name : {"a1", "a2", "a3", "a4", "a5", "a6", "a7"})
    {
        arrive(name, "a");
    }
    arrive("b1", "b");
    arrive("b2", "b");
    arrive("c1", "c");
    ASSERT_EQ(core_.queued(), 6U);
    const refuse no = only_refusal(arrive("d1", "d"));
    EXPECT_EQ(no.request, request_id("a7"));
    EXPECT_EQ(no.code, result_code::workspace_over_share);
}

TEST_F(admission_core_fixture, workspace_over_its_queue_is_told_when_to_return)
{
    for (const char* const name : {"a1", "a2", "a3", "a4", "a5", "a6", "a7"})
    {
        arrive(name, "a");
    }
    const refuse no = only_refusal(arrive("a8", "a"));
    EXPECT_EQ(no.code, result_code::workspace_over_share);
    EXPECT_GE(no.retry_after, seconds(1));
}

TEST_F(admission_core_fixture, idle_workspaces_past_bound_are_forgotten)
{
    admission_core small({.max_workspaces = 8});
    for (int i = 0; i < 100; ++i)
    {
        const request_id request("r" + std::to_string(i));
        const workspace_id workspace("w" + std::to_string(i));
        (void)small.handle(
            arrival{
                .request = request,
                .workspace = workspace,
                .deadline = now_ + seconds(1)},
            random_, now_);
        (void)small.handle(finished{.request = request}, random_, now_);
        ASSERT_LE(small.workspaces(), 8U);
    }
}

TEST(concurrency_limit, slow_first_tokens_lower_it_and_quick_ones_raise_it)
{
    concurrency_limit limit;
    mono_time now(seconds(10));
    for (int i = 0; i < 100; ++i)
    {
        now += milliseconds(100);
        limit.on_first_token(seconds(4), seconds(1), 32, now);
    }
    const double low = limit.value();
    EXPECT_LT(low, 32);
    for (int i = 0; i < 1000; ++i)
    {
        limit.on_first_token(seconds(1), seconds(1), 32, now);
    }
    EXPECT_GT(limit.value(), low);
}

TEST(admission_in_virtual_time, twenty_shares_of_one_leave_p95_of_others)
{
    test::model_options load{.rate = 0.9, .seed = 1};
    const auto without = test::server_model(load).run();
    load.noisy_rate = 28;
    const auto with = test::server_model(load).run();
    const double before =
        test::model_report::quantile(without.others_first_token, 0.95);
    const double after =
        test::model_report::quantile(with.others_first_token, 0.95);
    EXPECT_LE(after, 1.2 * before);
    EXPECT_TRUE(with.others_refused.empty());
    EXPECT_GT(with.noisy_first_token.size(), 300U);
}

/// Checks each command against what was asked, without the core's state.
class oracle
{
public:
    void asked(const request_id& request, mono_time latest_start)
    {
        open_.emplace(request, latest_start);
    }
    void see(const std::vector<command>& commands, mono_time now)
    {
        for (const command& one : commands)
        {
            std::visit(
                overloaded{
                    [&](const dispatch& go)
                    {
                        RC_ASSERT(open_.contains(go.request));
                        RC_ASSERT(now <= open_.at(go.request));
                        open_.erase(go.request);
                        running_.push_back(go.request);
                    },
                    [&](const refuse& no)
                    {
                        RC_ASSERT(open_.erase(no.request) == 1);
                        RC_ASSERT(is_not_run(no.code));
                        RC_ASSERT(no.retry_after >= seconds(1));
                        RC_ASSERT(!no.reason.empty());
                    }},
                one);
        }
    }
    void closed(const request_id& request)
    {
        open_.erase(request);
        std::erase(running_, request);
    }
    [[nodiscard]] const std::vector<request_id>& running() const
    {
        return running_;
    }
    [[nodiscard]] const std::map<request_id, mono_time>& open() const
    {
        return open_;
    }

private:
    std::map<request_id, mono_time> open_;
    std::vector<request_id> running_;
};

RC_GTEST_PROP(
    admission_core, every_request_gets_one_final_word_and_bounds_hold,
    (std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>> steps))
{
    admission_core core(
        {.limit = {.initial = 5, .maximum = 8},
         .max_queued = 10,
         .max_queued_per_workspace = 5,
         .max_workspaces = 4});
    random_source random(5);
    oracle seen;
    mono_time now(seconds(1));
    int made = 0;
    for (const auto& [kind, which, detail] : steps)
    {
        now += milliseconds(detail);
        event next = tick{};
        const auto& running = seen.running();
        if (kind % 8 < 4)
        {
            const request_id request("r" + std::to_string(++made));
            const mono_time deadline = now + milliseconds(detail * 20);
            seen.asked(request, deadline - milliseconds(10));
            next = arrival{
                .request = request,
                .workspace = workspace_id(std::to_string(which % 6)),
                .level = priority(which % 3),
                .deadline = deadline,
                .expected_first_token = milliseconds(10),
                .cost = token_count(detail)};
        }
        else if (kind % 8 < 6 && !running.empty())
        {
            const request_id over = running[which % running.size()];
            seen.closed(over);
            next = finished{over, finish(detail % 3), token_count(which)};
        }
        else if (kind % 8 == 6 && !seen.open().empty())
        {
            const request_id gone = seen.open().begin()->first;
            seen.closed(gone);
            next = cancelled{gone};
        }
        else if (kind % 16 == 7)
        {
            next = weights_changed{
                {{workspace_id("0"), 0.5 + which}, {workspace_id("1"), 2}}};
        }
        seen.see(core.handle(next, random, now), now);
        RC_ASSERT(core.queued() == seen.open().size());
        RC_ASSERT(core.in_flight() == seen.running().size());
        RC_ASSERT(core.queued() <= 10U);
        RC_ASSERT(core.in_flight() <= 8U);
    }
    // Nothing is held for ever: past all deadlines a tick empties the queue.
    now += seconds(60);
    seen.see(core.handle(tick{}, random, now), now);
    RC_ASSERT(seen.open().empty());
}

RC_GTEST_PROP(
    admission_core, backlogged_workspaces_are_served_by_weight,
    (std::uint8_t first, std::uint8_t second))
{
    const double weight_a = 1 + first % 8;
    const double weight_b = 1 + second % 8;
    admission_core core(
        {.limit = {.initial = 4, .minimum = 4, .maximum = 4}, .headroom = 0});
    random_source random(9);
    const mono_time now(seconds(1));
    (void)core.handle(
        weights_changed{
            {{workspace_id("a"), weight_a}, {workspace_id("b"), weight_b}}},
        random, now);
    int made = 0;
    std::map<char, int> served;
    std::deque<request_id> running;
    const auto obey = [&](const std::vector<command>& commands)
    {
        for (const command& one : commands)
        {
            if (const auto* const go = std::get_if<dispatch>(&one))
            {
                running.push_back(go->request);
                ++served[go->request.value()[0]];
            }
        }
    };
    constexpr int rounds = 3000;
    for (int i = 0; i < rounds; ++i)
    {
        for (const char name : {'a', 'b'})
        {
            obey(core.handle(
                arrival{
                    .request = request_id(name + std::to_string(++made)),
                    .workspace = workspace_id(std::string(1, name)),
                    .deadline = now + seconds(3600),
                    .cost = token_count(10)},
                random, now));
        }
        const request_id over = running.front();
        running.pop_front();
        obey(core.handle(finished{.request = over}, random, now));
    }
    const double ratio = static_cast<double>(served['a']) / served['b'];
    const double fair = weight_a / weight_b;
    RC_ASSERT(ratio > fair * 0.85 && ratio < fair * 1.15);
}

} // namespace
} // namespace wagtailseam::admission
