// Tests of the admission controller: single rules, properties checked against
// a reference model, and its effect in a simulated pool.
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

class admission_controller_fixture : public testing::Test
{
protected:
    std::vector<admission_command> arrive(
        const std::string& request, const std::string& workspace,
        priority priority_level = priority::normal,
        duration timeout = seconds(60))
    {
        return send(request_arrived{
            .request = request_id(request),
            .workspace = workspace_id(workspace),
            .priority_level = priority_level,
            .deadline = now_ + timeout,
            .expected_time_to_first_token = milliseconds(100),
            .cost = token_count(100)});
    }
    std::vector<admission_command> finish(const std::string& request)
    {
        return send(request_finished{.request = request_id(request)});
    }
    std::vector<admission_command> send(const admission_event& event)
    {
        return controller_.handle(event, random_, now_);
    }
    static std::string dispatched_requests(
        const std::vector<admission_command>& commands)
    {
        std::string names;
        for (const admission_command& command : commands)
        {
            if (const auto* const dispatched = std::get_if<dispatch>(&command))
            {
                names += dispatched->request.value() + " ";
            }
        }
        return names;
    }
    static refuse only_refusal(const std::vector<admission_command>& commands)
    {
        EXPECT_EQ(commands.size(), 1U);
        return std::get<refuse>(commands.at(0));
    }

    random_source random_{1};
    mono_time now_{seconds(1)};
    admission_controller controller_{
        {.limit = {.initial = 4, .minimum = 4, .maximum = 4},
         .headroom = 0.25,
         .max_queued = 6,
         .max_queued_per_workspace = 4}};
};

TEST_F(
    admission_controller_fixture,
    single_workspace_leaves_headroom_to_new_workspace)
{
    arrive("a1", "a");
    arrive("a2", "a");
    EXPECT_EQ(dispatched_requests(arrive("a3", "a")), "a3 ");
    EXPECT_EQ(dispatched_requests(arrive("a4", "a")), "");
    EXPECT_EQ(dispatched_requests(arrive("b1", "b")), "b1 ");
}

TEST_F(
    admission_controller_fixture, queues_of_equal_weight_are_served_alternately)
{
    for (const char* const name : {"a1", "a2", "a3", "a4", "a5"})
    {
        arrive(name, "a");
    }
    arrive("b1", "b");
    arrive("b2", "b");
    EXPECT_EQ(dispatched_requests(finish("a1")), "b2 ");
}

TEST_F(
    admission_controller_fixture,
    urgent_request_is_dispatched_first_within_its_workspace)
{
    for (const char* const name : {"a1", "a2", "a3", "a4"})
    {
        arrive(name, "a");
    }
    arrive("a5", "a", priority::urgent);
    EXPECT_EQ(dispatched_requests(finish("a1")), "a5 ");
}

TEST_F(
    admission_controller_fixture, background_request_waits_for_other_workspaces)
{
    for (const char* const name : {"a1", "a2", "a3"})
    {
        arrive(name, "a");
    }
    arrive("b1", "b");
    arrive("c1", "c", priority::background);
    arrive("a4", "a");
    EXPECT_EQ(dispatched_requests(finish("a1")), "");
    EXPECT_EQ(dispatched_requests(finish("a2")), "a4 ");
    EXPECT_EQ(dispatched_requests(finish("a3")), "c1 ");
}

TEST_F(admission_controller_fixture, unreachable_deadline_is_refused_on_arrival)
{
    arrive("a1", "a");
    now_ += seconds(10);
    finish("a1");
    for (const char* const name : {"a2", "a3", "a4", "a5"})
    {
        arrive(name, "a");
    }
    const refuse refusal =
        only_refusal(arrive("a6", "a", priority::normal, seconds(2)));
    EXPECT_EQ(refusal.code, result_code::deadline_unreachable);
    EXPECT_GE(refusal.retry_after, seconds(2));
}

TEST_F(
    admission_controller_fixture,
    queued_request_that_misses_its_deadline_is_refused_at_next_tick)
{
    for (const char* const name : {"a1", "a2", "a3"})
    {
        arrive(name, "a");
    }
    arrive("a4", "a", priority::normal, seconds(2));
    now_ += seconds(10);
    const std::vector<admission_command> commands = send(tick{});
    EXPECT_EQ(only_refusal(commands).code, result_code::deadline_unreachable);
    EXPECT_EQ(controller_.queued_requests(), 0U);
}

TEST_F(
    admission_controller_fixture,
    full_queue_refuses_request_of_longest_queue_not_new_workspace)
{
    for (const char* const name : {"a1", "a2", "a3", "a4", "a5", "a6", "a7"})
    {
        arrive(name, "a");
    }
    arrive("b1", "b");
    arrive("b2", "b");
    arrive("c1", "c");
    ASSERT_EQ(controller_.queued_requests(), 6U);
    const refuse refusal = only_refusal(arrive("d1", "d"));
    EXPECT_EQ(refusal.request, request_id("a7"));
    EXPECT_EQ(refusal.code, result_code::workspace_over_share);
}

TEST_F(
    admission_controller_fixture, full_workspace_queue_refuses_with_retry_after)
{
    for (const char* const name : {"a1", "a2", "a3", "a4", "a5", "a6", "a7"})
    {
        arrive(name, "a");
    }
    const refuse refusal = only_refusal(arrive("a8", "a"));
    EXPECT_EQ(refusal.code, result_code::workspace_over_share);
    EXPECT_GE(refusal.retry_after, seconds(1));
}

TEST_F(admission_controller_fixture, idle_workspaces_beyond_limit_are_evicted)
{
    admission_controller controller({.max_workspaces = 8});
    for (int i = 0; i < 100; ++i)
    {
        const request_id request("r" + std::to_string(i));
        const workspace_id workspace("w" + std::to_string(i));
        (void)controller.handle(
            request_arrived{
                .request = request,
                .workspace = workspace,
                .deadline = now_ + seconds(1)},
            random_, now_);
        (void)controller.handle(
            request_finished{.request = request}, random_, now_);
        ASSERT_LE(controller.workspace_count(), 8U);
    }
}

TEST(
    concurrency_limit,
    slow_first_tokens_decrease_limit_and_fast_ones_increase_it)
{
    concurrency_limit limit;
    mono_time now(seconds(10));
    for (int i = 0; i < 100; ++i)
    {
        now += milliseconds(100);
        limit.on_first_token(seconds(4), seconds(1), 32, now);
    }
    const double decreased = limit.value();
    EXPECT_LT(decreased, 32);
    for (int i = 0; i < 1000; ++i)
    {
        limit.on_first_token(seconds(1), seconds(1), 32, now);
    }
    EXPECT_GT(limit.value(), decreased);
}

TEST(pool_simulation, overload_by_one_workspace_keeps_p95_of_others)
{
    test::simulation_options load{.rate = 0.9, .seed = 1};
    const auto without_overload = test::pool_simulation(load).run();
    load.noisy_rate = 28;
    const auto with_overload = test::pool_simulation(load).run();
    const double p95_without = test::simulation_report::quantile(
        without_overload.others_first_token, 0.95);
    const double p95_with = test::simulation_report::quantile(
        with_overload.others_first_token, 0.95);
    EXPECT_LE(p95_with, 1.2 * p95_without);
    EXPECT_TRUE(with_overload.others_refused.empty());
    EXPECT_GT(with_overload.noisy_first_token.size(), 300U);
}

/// Checks each command against the events sent, without access to the
/// controller's state.
class reference_model
{
public:
    void record_arrival(const request_id& request, mono_time latest_start)
    {
        queued_.emplace(request, latest_start);
    }
    void check(const std::vector<admission_command>& commands, mono_time now)
    {
        for (const admission_command& command : commands)
        {
            std::visit(
                overloaded{
                    [&](const dispatch& dispatched)
                    {
                        RC_ASSERT(queued_.contains(dispatched.request));
                        RC_ASSERT(now <= queued_.at(dispatched.request));
                        queued_.erase(dispatched.request);
                        running_.push_back(dispatched.request);
                    },
                    [&](const refuse& refusal)
                    {
                        RC_ASSERT(queued_.erase(refusal.request) == 1);
                        RC_ASSERT(is_not_run(refusal.code));
                        RC_ASSERT(refusal.retry_after >= seconds(1));
                        RC_ASSERT(!refusal.reason.empty());
                    }},
                command);
        }
    }
    void record_end(const request_id& request)
    {
        queued_.erase(request);
        std::erase(running_, request);
    }
    [[nodiscard]] const std::vector<request_id>& running() const
    {
        return running_;
    }
    [[nodiscard]] const std::map<request_id, mono_time>& queued() const
    {
        return queued_;
    }

private:
    std::map<request_id, mono_time> queued_;
    std::vector<request_id> running_;
};

RC_GTEST_PROP(
    admission_controller,
    each_request_is_dispatched_or_refused_once_and_limits_hold,
    (std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>> steps))
{
    admission_controller controller(
        {.limit = {.initial = 5, .maximum = 8},
         .max_queued = 10,
         .max_queued_per_workspace = 5,
         .max_workspaces = 4});
    random_source random(5);
    reference_model reference;
    mono_time now(seconds(1));
    int request_count = 0;
    for (const auto& [action, selector, amount] : steps)
    {
        now += milliseconds(amount);
        admission_event next = tick{};
        const auto& running = reference.running();
        if (action % 8 < 4)
        {
            const request_id request("r" + std::to_string(++request_count));
            const mono_time deadline = now + milliseconds(amount * 20);
            reference.record_arrival(request, deadline - milliseconds(10));
            next = request_arrived{
                .request = request,
                .workspace = workspace_id(std::to_string(selector % 6)),
                .priority_level = priority(selector % 3),
                .deadline = deadline,
                .expected_time_to_first_token = milliseconds(10),
                .cost = token_count(amount)};
        }
        else if (action % 8 < 6 && !running.empty())
        {
            const request_id ended = running[selector % running.size()];
            reference.record_end(ended);
            next = request_finished{
                ended, request_outcome(amount % 3), token_count(selector)};
        }
        else if (action % 8 == 6 && !reference.queued().empty())
        {
            const request_id cancelled = reference.queued().begin()->first;
            reference.record_end(cancelled);
            next = request_cancelled{cancelled};
        }
        else if (action % 16 == 7)
        {
            next = weights_changed{
                {{workspace_id("0"), 0.5 + selector}, {workspace_id("1"), 2}}};
        }
        reference.check(controller.handle(next, random, now), now);
        RC_ASSERT(controller.queued_requests() == reference.queued().size());
        RC_ASSERT(controller.in_flight() == reference.running().size());
        RC_ASSERT(controller.queued_requests() <= 10U);
        RC_ASSERT(controller.in_flight() <= 8U);
    }
    // No request stays queued forever: a tick after all deadlines empties the
    // queue.
    now += seconds(60);
    reference.check(controller.handle(tick{}, random, now), now);
    RC_ASSERT(reference.queued().empty());
}

RC_GTEST_PROP(
    admission_controller,
    backlogged_workspaces_are_served_in_proportion_to_weight,
    (std::uint8_t first, std::uint8_t second))
{
    const double weight_a = 1 + first % 8;
    const double weight_b = 1 + second % 8;
    admission_controller controller(
        {.limit = {.initial = 4, .minimum = 4, .maximum = 4}, .headroom = 0});
    random_source random(9);
    const mono_time now(seconds(1));
    (void)controller.handle(
        weights_changed{
            {{workspace_id("a"), weight_a}, {workspace_id("b"), weight_b}}},
        random, now);
    int request_count = 0;
    std::map<char, int> served;
    std::deque<request_id> running;
    const auto apply = [&](const std::vector<admission_command>& commands)
    {
        for (const admission_command& command : commands)
        {
            if (const auto* const dispatched = std::get_if<dispatch>(&command))
            {
                running.push_back(dispatched->request);
                ++served[dispatched->request.value()[0]];
            }
        }
    };
    constexpr int rounds = 3000;
    for (int i = 0; i < rounds; ++i)
    {
        for (const char name : {'a', 'b'})
        {
            apply(controller.handle(
                request_arrived{
                    .request =
                        request_id(name + std::to_string(++request_count)),
                    .workspace = workspace_id(std::string(1, name)),
                    .deadline = now + seconds(3600),
                    .cost = token_count(10)},
                random, now));
        }
        const request_id ended = running.front();
        running.pop_front();
        apply(
            controller.handle(request_finished{.request = ended}, random, now));
    }
    const double ratio = static_cast<double>(served['a']) / served['b'];
    const double expected_ratio = weight_a / weight_b;
    RC_ASSERT(ratio > expected_ratio * 0.85 && ratio < expected_ratio * 1.15);
}

} // namespace
} // namespace wagtailseam::admission
