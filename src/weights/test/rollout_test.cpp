// Rollouts by several holders that pause, overlap and lose messages, at
// engines that check fencing numbers and engines that do not. The oracle is
// the engines: how many load, and whose orders they begin.
#include "core/overloaded.hpp"
#include "core/random_source.hpp"
#include "table_service/memory_table.hpp"
#include "weights/rollout.hpp"
#include "weights/weight_order_handler.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>

namespace wagtailseam::weights
{
namespace
{

engine_setup setup_of(std::uint64_t version)
{
    return {.model = model_id{"m"}, .version = weight_version{version}};
}

/// An engine with its sidecar. Losing the sidecar keeps the engine's load.
class runner_model
{
public:
    explicit runner_model(bool checks) : checks_(checks)
    {
        restart(fencing_number{0});
    }

    void restart(fencing_number table_floor)
    {
        gate_ = weight_order_handler(incarnation{++life_});
        sent_ = 0;
        (void)gate_.handle(fencing_read{table_floor});
        (void)gate_.handle(engine_reported{setup_, loading_});
    }
    std::vector<order_handler_command> handle(const order_handler_event& what)
    {
        std::vector<order_handler_command> answers;
        for (const order_handler_command& command : gate_.handle(what))
        {
            const auto* const order = std::get_if<send_order>(&command);
            if (order == nullptr)
            {
                answers.push_back(command);
                continue;
            }
            begin(*order);
        }
        return answers;
    }
    /// The engine ends its load.
    std::vector<order_handler_command> finish()
    {
        if (!loading_)
        {
            return {};
        }
        loading_ = false;
        setup_ = next_;
        if (sent_ == 0)
        {
            return handle(engine_reported{setup_, false});
        }
        return handle(engine_answered{sent_, result_code::ok});
    }
    bool loading() const { return loading_; }
    const engine_setup& setup() const { return setup_; }
    const weight_order_handler& gate() const { return gate_; }

private:
    void begin(const send_order& order)
    {
        RC_ASSERT(!loading_);
        const fencing_number number = order.order.number.fencing;
        RC_ASSERT(number >= highest_);
        if (checks_ && number < highest_)
        {
            (void)gate_.handle(
                engine_answered{order.sent, result_code::stale_fencing_number});
            return;
        }
        highest_ = number;
        loading_ = true;
        next_ = order.order.setup;
        sent_ = order.sent;
    }

    bool checks_ = false;
    std::uint64_t life_ = 0;
    weight_order_handler gate_{incarnation{0}};
    engine_setup setup_ = setup_of(1);
    engine_setup next_;
    bool loading_ = false;
    std::uint64_t sent_ = 0;
    fencing_number highest_{0};
};

class rollout_history
{
public:
    explicit rollout_history(std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < runners_.size(); ++i)
        {
            runners_[i] = std::make_unique<runner_model>(i % 2 == 0);
        }
        for (std::size_t h = 0; h < holders_.size(); ++h)
        {
            send(h, targets_changed{targets(2)});
        }
        gain();
    }

    void run()
    {
        for (int i = 0; i < 250; ++i)
        {
            now_ += std::chrono::milliseconds(random_.below(200));
            fault();
            step();
        }
        settle();
        for (const auto& runner : runners_)
        {
            RC_ASSERT(runner->setup() == setup_of(version_));
        }
        RC_ASSERT(holders_[holder_].finished());
    }

private:
    struct letter
    {
        std::size_t holder = 0;
        rollout_command command;
    };

    static constexpr std::size_t count = 5;

    std::vector<runner_target> targets(std::uint64_t version) const
    {
        std::vector<runner_target> all;
        for (std::size_t i = 0; i < count; ++i)
        {
            all.push_back(
                {.runner = upstream_id{std::to_string(i)},
                 .setup = setup_of(version),
                 .size = byte_count{1000}});
        }
        return all;
    }

    /// The lease passes; its former holder may not know.
    void gain()
    {
        const std::size_t before = holder_;
        holder_ = random_.below(holders_.size());
        if (random_.below(2) == 0 && before != holder_)
        {
            send(before, lease_lost{});
        }
        send(holder_, lease_acquired{fencing_number{++fencing_}});
    }

    void fault()
    {
        if (random_.below(25) == 0)
        {
            gain();
        }
        if (random_.below(25) == 0)
        {
            runners_[random_.below(count)]->restart(fencing_number{fencing_});
        }
        if (random_.below(100) == 0)
        {
            version_ = 2 + random_.below(3);
            for (std::size_t h = 0; h < holders_.size(); ++h)
            {
                send(h, targets_changed{targets(version_)});
            }
        }
    }

    void step()
    {
        const std::uint64_t kind = random_.below(8);
        if (kind == 0)
        {
            send(random_.below(holders_.size()), rollout_tick{});
        }
        else if (kind < 3)
        {
            finish(random_.below(count));
        }
        else if (!letters_.empty())
        {
            const std::size_t at = random_.below(letters_.size());
            const letter one = letters_[at];
            if (random_.below(10) != 0)
            {
                letters_.erase(
                    letters_.begin() + static_cast<std::ptrdiff_t>(at));
            }
            deliver(one);
        }
        check();
    }

    void check()
    {
        const auto loading = std::count_if(
            runners_.begin(), runners_.end(),
            [](const auto& runner) { return runner->loading(); });
        RC_ASSERT(loading <= 2);
    }

    void settle()
    {
        gain();
        for (int i = 0; i < 200; ++i)
        {
            now_ += std::chrono::milliseconds(600);
            send(holder_, rollout_tick{});
            while (!letters_.empty())
            {
                const letter one = letters_.front();
                letters_.erase(letters_.begin());
                deliver(one);
                check();
            }
            finish(random_.below(count));
        }
    }

    void finish(std::size_t number)
    {
        const auto answers = runners_[number]->finish();
        const auto call = running_.find(number);
        if (call != running_.end())
        {
            answer(call->second.first, number, call->second.second, answers);
        }
    }

    void deliver(const letter& one)
    {
        std::visit(
            [&](const auto& command) { carry_out(one.holder, command); },
            one.command);
    }
    void carry_out(std::size_t from, const read_slots& /*command*/)
    {
        send(from, slots_read{table_.scan(slot_table, "")});
    }
    void carry_out(std::size_t from, const write_slot& command)
    {
        const auto result = table_.apply(command.change);
        const bool lost = random_.below(12) == 0;
        send(
            from, slot_written{
                      command.slot, command.write,
                      lost ? table_service::answer_lost{} : result});
    }
    void carry_out(std::size_t from, const send_runner_order& command)
    {
        const std::size_t number = number_of(command.runner);
        const bool idle = !runners_[number]->loading();
        const auto answers =
            runners_[number]->handle(order_received{call_id{0}, command.order});
        if (idle && runners_[number]->loading())
        {
            running_[number] = {from, command.order.number};
        }
        answer(from, number, command.order.number, answers);
    }
    void carry_out(std::size_t from, const query_runner& command)
    {
        const std::size_t number = number_of(command.runner);
        answer(
            from, number, command.number,
            runners_[number]->handle(
                status_requested{call_id{0}, command.number}));
    }

    void answer(
        std::size_t to, std::size_t number, const order_number& message,
        const std::vector<order_handler_command>& answers)
    {
        for (const order_handler_command& command : answers)
        {
            runner_answered heard{
                .runner = upstream_id{std::to_string(number)},
                .number = message};
            if (const auto* const ended =
                    std::get_if<order_completed>(&command))
            {
                heard.code = ended->code;
                heard.loading = runners_[number]->gate().loading();
                if (ended->code == result_code::ok)
                {
                    heard.setup = runners_[number]->setup();
                }
                send(to, heard);
            }
            if (const auto* const status =
                    std::get_if<status_answered>(&command))
            {
                heard.code = status->code;
                heard.loading = status->loading;
                heard.setup = status->setup;
                heard.life = status->life;
                send(to, heard);
            }
        }
    }

    static std::size_t number_of(const upstream_id& runner)
    {
        return std::stoul(runner.value());
    }

    void send(std::size_t holder, const rollout_event& what)
    {
        for (auto& command : holders_[holder].handle(what, now_))
        {
            letters_.push_back({holder, std::move(command)});
        }
    }

    random_source random_;
    mono_time now_{std::chrono::seconds(1)};
    table_service::memory_table table_;
    std::array<std::unique_ptr<runner_model>, count> runners_;
    std::array<rollout, 3> holders_{rollout({}), rollout({}), rollout({})};
    std::size_t holder_ = 0;
    std::uint64_t fencing_ = 0;
    std::uint64_t version_ = 2;
    std::vector<letter> letters_;
    std::map<std::size_t, std::pair<std::size_t, order_number>> running_;
};

// 100 cases of 200 histories each.
RC_GTEST_PROP(
    rollout_history, at_most_two_load_and_all_reach_their_target,
    (std::uint64_t seed))
{
    constexpr std::uint64_t histories = 200;
    for (std::uint64_t i = 0; i < histories; ++i)
    {
        rollout_history(seed * histories + i).run();
    }
}

TEST(rollout, loads_start_no_faster_than_the_store_gives)
{
    rollout subject({.store_rate = byte_rate{1000.0}});
    mono_time now{std::chrono::seconds(1)};
    std::vector<runner_target> targets;
    for (const char* const name : {"a", "b", "c"})
    {
        targets.push_back({upstream_id{name}, setup_of(2), byte_count{2000}});
    }
    table_service::memory_table table;
    std::vector<mono_time> starts;
    std::vector<rollout_event> events{
        targets_changed{targets}, lease_acquired{fencing_number{1}}};
    for (int i = 0; i < 100; ++i)
    {
        std::vector<rollout_event> next;
        for (const rollout_event& event : events)
        {
            for (const auto& command : subject.handle(event, now))
            {
                std::visit(
                    overloaded{
                        [&](const read_slots&)
                        { next.emplace_back(slots_read{}); },
                        [&](const write_slot& c) {
                            next.emplace_back(slot_written{
                                c.slot, c.write, table.apply(c.change)});
                        },
                        [&](const send_runner_order& c)
                        {
                            starts.push_back(now);
                            next.emplace_back(runner_answered{
                                .runner = c.runner,
                                .number = c.order.number,
                                .setup = c.order.setup});
                        },
                        [&](const query_runner& c)
                        {
                            next.emplace_back(runner_answered{
                                .runner = c.runner,
                                .number = c.number,
                                .setup = setup_of(1)});
                        }},
                    command);
            }
        }
        events = next;
        events.emplace_back(rollout_tick{});
        now += std::chrono::milliseconds(100);
    }
    ASSERT_EQ(starts.size(), 3U);
    EXPECT_GE(starts[1] - starts[0], std::chrono::seconds(2));
    EXPECT_GE(starts[2] - starts[1], std::chrono::seconds(2));
}

/// A holder with two free slots that it owns and idle runners that are behind.
class rollout_test : public testing::Test
{
protected:
    template <class T>
    std::vector<T> sent(const rollout_event& what)
    {
        std::vector<T> all;
        for (const auto& command : subject_.handle(what, now_))
        {
            if (const T* const found = std::get_if<T>(&command))
            {
                all.push_back(*found);
            }
        }
        return all;
    }
    static slot_written committed(
        const write_slot& write, std::uint64_t version)
    {
        return {
            write.slot, write.write,
            table_service::committed{{table_service::row_version{version}}}};
    }
    /// Returns the writes of the first loads.
    std::vector<write_slot> start()
    {
        (void)sent<write_slot>(
            targets_changed{{{upstream_id{"a"}, setup_of(2), byte_count{1}}}});
        (void)sent<write_slot>(lease_acquired{fencing_number{3}});
        now_ += std::chrono::seconds(1);
        for (const write_slot& claim : sent<write_slot>(slots_read{}))
        {
            (void)sent<write_slot>(committed(claim, 1));
        }
        now_ += std::chrono::seconds(1);
        const auto asked = sent<query_runner>(rollout_tick{});
        return asked.size() != 1 ? std::vector<write_slot>()
                                 : sent<write_slot>(runner_answered{
                                       .runner = upstream_id{"a"},
                                       .number = asked.front().number,
                                       .setup = setup_of(1)});
    }

    rollout subject_{{}};
    mono_time now_{std::chrono::seconds(1)};
};

TEST_F(rollout_test, runner_takes_one_slot_only)
{
    const auto writes = start();
    ASSERT_EQ(writes.size(), 1U);
    now_ += std::chrono::seconds(1);
    EXPECT_TRUE(sent<write_slot>(rollout_tick{}).empty());
}

TEST_F(rollout_test, late_answer_to_earlier_write_starts_no_load)
{
    const auto writes = start();
    ASSERT_EQ(writes.size(), 1U);
    slot_written late = committed(writes.front(), 2);
    late.write -= 1;
    EXPECT_TRUE(sent<send_runner_order>(late).empty());
    EXPECT_EQ(sent<send_runner_order>(committed(writes.front(), 2)).size(), 1U);
}

TEST_F(rollout_test, rows_of_later_holder_end_the_rollout)
{
    (void)sent<read_slots>(lease_acquired{fencing_number{3}});
    (void)sent<read_slots>(slots_read{
        {{.at = {slot_table, "0"},
          .value = encode({fencing_number{4}, {}}),
          .version = table_service::row_version{9}}}});
    EXPECT_FALSE(subject_.acting());
}

} // namespace
} // namespace wagtailseam::weights
