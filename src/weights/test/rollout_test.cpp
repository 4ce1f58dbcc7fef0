// Random rollouts with lease changes, overlapping holders, sidecar restarts,
// and lost, duplicated and reordered messages; some engines check fencing
// numbers, others do not. The test checks at the engines how many load and
// whose orders they execute.
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

engine_setup make_setup(std::uint64_t version)
{
    return {.model = model_id{"m"}, .version = weight_version{version}};
}

/// An engine and its sidecar. A restart of the sidecar does not interrupt the
/// engine's load.
class runner_model
{
public:
    explicit runner_model(bool checks_fencing) : checks_fencing_(checks_fencing)
    {
        restart(fencing_number{0});
    }

    void restart(fencing_number minimum)
    {
        handler_ = weight_order_handler(incarnation{++incarnation_});
        request_id_ = 0;
        (void)handler_.handle(fencing_read{minimum});
        (void)handler_.handle(engine_reported{setup_, loading_});
    }
    std::vector<order_handler_command> handle(const order_handler_event& event)
    {
        std::vector<order_handler_command> answers;
        for (const order_handler_command& command : handler_.handle(event))
        {
            const auto* const order = std::get_if<send_order>(&command);
            if (order == nullptr)
            {
                answers.push_back(command);
                continue;
            }
            start_load(*order);
        }
        return answers;
    }
    /// Completes the engine's load, if there is one.
    std::vector<order_handler_command> finish_load()
    {
        if (!loading_)
        {
            return {};
        }
        loading_ = false;
        setup_ = next_setup_;
        if (request_id_ == 0)
        {
            return handle(engine_reported{setup_, false});
        }
        return handle(engine_answered{request_id_, result_code::ok});
    }
    bool loading() const { return loading_; }
    const engine_setup& setup() const { return setup_; }
    const weight_order_handler& handler() const { return handler_; }

private:
    void start_load(const send_order& order)
    {
        RC_ASSERT(!loading_);
        const fencing_number number = order.order.number.fencing;
        RC_ASSERT(number >= highest_fencing_);
        if (checks_fencing_ && number < highest_fencing_)
        {
            (void)handler_.handle(engine_answered{
                order.request_id, result_code::stale_fencing_number});
            return;
        }
        highest_fencing_ = number;
        loading_ = true;
        next_setup_ = order.order.setup;
        request_id_ = order.request_id;
    }

    bool checks_fencing_ = false;
    std::uint64_t incarnation_ = 0;
    weight_order_handler handler_{incarnation{0}};
    engine_setup setup_ = make_setup(1);
    engine_setup next_setup_;
    bool loading_ = false;
    std::uint64_t request_id_ = 0;
    fencing_number highest_fencing_{0};
};

/// One random history: processes that hold the lease in turn, sometimes without
/// noticing its loss, and runners that exchange messages with them.
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
            send(h, targets_changed{make_targets(2)});
        }
        transfer_lease();
    }

    void run()
    {
        for (int i = 0; i < 250; ++i)
        {
            now_ += std::chrono::milliseconds(random_.below(200));
            inject_faults();
            step();
        }
        run_without_faults();
        for (const auto& runner : runners_)
        {
            RC_ASSERT(runner->setup() == make_setup(version_));
        }
        RC_ASSERT(holders_[holder_].finished());
    }

private:
    struct pending_command
    {
        std::size_t holder = 0;
        rollout_command command;
    };

    static constexpr std::size_t runner_count = 5;

    std::vector<runner_target> make_targets(std::uint64_t version) const
    {
        std::vector<runner_target> targets;
        for (std::size_t i = 0; i < runner_count; ++i)
        {
            targets.push_back(
                {.runner = upstream_id{std::to_string(i)},
                 .setup = make_setup(version),
                 .size = byte_count{1000}});
        }
        return targets;
    }

    /// Passes the lease to a random holder. The previous one may not notice.
    void transfer_lease()
    {
        const std::size_t previous = holder_;
        holder_ = random_.below(holders_.size());
        if (random_.below(2) == 0 && previous != holder_)
        {
            send(previous, lease_lost{});
        }
        send(holder_, lease_acquired{fencing_number{++fencing_}});
    }

    void inject_faults()
    {
        if (random_.below(25) == 0)
        {
            transfer_lease();
        }
        if (random_.below(25) == 0)
        {
            runners_[random_.below(runner_count)]->restart(
                fencing_number{fencing_});
        }
        if (random_.below(100) == 0)
        {
            version_ = 2 + random_.below(3);
            for (std::size_t h = 0; h < holders_.size(); ++h)
            {
                send(h, targets_changed{make_targets(version_)});
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
            finish_load(random_.below(runner_count));
        }
        else if (!pending_commands_.empty())
        {
            const std::size_t index = random_.below(pending_commands_.size());
            const pending_command next = pending_commands_[index];
            if (random_.below(10) != 0)
            {
                pending_commands_.erase(
                    pending_commands_.begin() +
                    static_cast<std::ptrdiff_t>(index));
            }
            deliver(next);
        }
        check_concurrent_loads();
    }

    void check_concurrent_loads()
    {
        const auto loading = std::count_if(
            runners_.begin(), runners_.end(),
            [](const auto& runner) { return runner->loading(); });
        RC_ASSERT(loading <= 2);
    }

    void run_without_faults()
    {
        transfer_lease();
        for (int i = 0; i < 200; ++i)
        {
            now_ += std::chrono::milliseconds(600);
            send(holder_, rollout_tick{});
            while (!pending_commands_.empty())
            {
                const pending_command next = pending_commands_.front();
                pending_commands_.erase(pending_commands_.begin());
                deliver(next);
                check_concurrent_loads();
            }
            finish_load(random_.below(runner_count));
        }
    }

    void finish_load(std::size_t index)
    {
        const auto answers = runners_[index]->finish_load();
        const auto load = loads_.find(index);
        if (load != loads_.end())
        {
            answer(load->second.first, index, load->second.second, answers);
        }
    }

    void deliver(const pending_command& pending)
    {
        std::visit(
            [&](const auto& command) { execute(pending.holder, command); },
            pending.command);
    }
    void execute(std::size_t holder, const read_slots& /*command*/)
    {
        send(holder, slots_read{table_.scan(slot_table, "")});
    }
    void execute(std::size_t holder, const write_slot& command)
    {
        const auto result = table_.apply(command.transaction);
        const bool outcome_unknown = random_.below(12) == 0;
        send(
            holder,
            slot_written{
                command.slot, command.write_id,
                outcome_unknown ? table_service::outcome_unknown{} : result});
    }
    void execute(std::size_t holder, const send_runner_order& command)
    {
        const std::size_t index = index_of(command.runner);
        const bool idle = !runners_[index]->loading();
        const auto answers =
            runners_[index]->handle(order_received{call_id{0}, command.order});
        if (idle && runners_[index]->loading())
        {
            loads_[index] = {holder, command.order.number};
        }
        answer(holder, index, command.order.number, answers);
    }
    void execute(std::size_t holder, const query_runner& command)
    {
        const std::size_t index = index_of(command.runner);
        answer(
            holder, index, command.number,
            runners_[index]->handle(
                status_requested{call_id{0}, command.number}));
    }

    void answer(
        std::size_t holder, std::size_t index, const order_number& message,
        const std::vector<order_handler_command>& answers)
    {
        for (const order_handler_command& command : answers)
        {
            runner_answered answered{
                .runner = upstream_id{std::to_string(index)},
                .number = message};
            if (const auto* const completed =
                    std::get_if<order_completed>(&command))
            {
                answered.code = completed->code;
                answered.loading = runners_[index]->handler().loading();
                if (completed->code == result_code::ok)
                {
                    answered.setup = runners_[index]->setup();
                }
                send(holder, answered);
            }
            if (const auto* const status =
                    std::get_if<status_answered>(&command))
            {
                answered.code = status->code;
                answered.loading = status->loading;
                answered.setup = status->setup;
                answered.sidecar = status->sidecar;
                send(holder, answered);
            }
        }
    }

    static std::size_t index_of(const upstream_id& runner)
    {
        return std::stoul(runner.value());
    }

    void send(std::size_t holder, const rollout_event& event)
    {
        for (auto& command : holders_[holder].handle(event, now_))
        {
            pending_commands_.push_back({holder, std::move(command)});
        }
    }

    random_source random_;
    mono_time now_{std::chrono::seconds(1)};
    table_service::memory_table table_;
    std::array<std::unique_ptr<runner_model>, runner_count> runners_;
    std::array<rollout, 3> holders_{rollout({}), rollout({}), rollout({})};
    std::size_t holder_ = 0;
    std::uint64_t fencing_ = 0;
    std::uint64_t version_ = 2;
    std::vector<pending_command> pending_commands_;
    std::map<std::size_t, std::pair<std::size_t, order_number>> loads_;
};

// RapidCheck runs 100 cases by default, so 20,000 histories in all.
RC_GTEST_PROP(
    rollout_history, at_most_two_runners_load_and_all_reach_their_target,
    (std::uint64_t seed))
{
    constexpr std::uint64_t histories = 200;
    for (std::uint64_t i = 0; i < histories; ++i)
    {
        rollout_history(seed * histories + i).run();
    }
}

TEST(rollout, load_starts_do_not_exceed_weight_store_rate)
{
    rollout controller({.store_rate = byte_rate{1000.0}});
    mono_time now{std::chrono::seconds(1)};
    std::vector<runner_target> targets;
    for (const char* const name : {"a", "b", "c"})
    {
        targets.push_back({upstream_id{name}, make_setup(2), byte_count{2000}});
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
            for (const auto& output : controller.handle(event, now))
            {
                std::visit(
                    overloaded{
                        [&](const read_slots&)
                        { next.emplace_back(slots_read{}); },
                        [&](const write_slot& command)
                        {
                            next.emplace_back(slot_written{
                                command.slot, command.write_id,
                                table.apply(command.transaction)});
                        },
                        [&](const send_runner_order& command)
                        {
                            starts.push_back(now);
                            next.emplace_back(runner_answered{
                                .runner = command.runner,
                                .number = command.order.number,
                                .setup = command.order.setup});
                        },
                        [&](const query_runner& command)
                        {
                            next.emplace_back(runner_answered{
                                .runner = command.runner,
                                .number = command.number,
                                .setup = make_setup(1)});
                        }},
                    output);
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

/// An active holder, which start() brings to the point where an idle, outdated
/// runner gets its first slot.
class rollout_test : public testing::Test
{
protected:
    template <class T>
    std::vector<T> commands_of_type(const rollout_event& event)
    {
        std::vector<T> matches;
        for (const auto& command : rollout_.handle(event, now_))
        {
            if (const T* const found = std::get_if<T>(&command))
            {
                matches.push_back(*found);
            }
        }
        return matches;
    }
    static slot_written committed(
        const write_slot& command, std::uint64_t version)
    {
        return {
            command.slot, command.write_id,
            table_service::committed{{table_service::row_version{version}}}};
    }
    /// Returns the slot writes for the first loads.
    std::vector<write_slot> start()
    {
        (void)commands_of_type<write_slot>(targets_changed{
            {{upstream_id{"a"}, make_setup(2), byte_count{1}}}});
        (void)commands_of_type<write_slot>(lease_acquired{fencing_number{3}});
        now_ += std::chrono::seconds(1);
        for (const write_slot& claim :
             commands_of_type<write_slot>(slots_read{}))
        {
            (void)commands_of_type<write_slot>(committed(claim, 1));
        }
        now_ += std::chrono::seconds(1);
        const auto queries = commands_of_type<query_runner>(rollout_tick{});
        return queries.size() != 1
                   ? std::vector<write_slot>()
                   : commands_of_type<write_slot>(runner_answered{
                         .runner = upstream_id{"a"},
                         .number = queries.front().number,
                         .setup = make_setup(1)});
    }

    rollout rollout_{{}};
    mono_time now_{std::chrono::seconds(1)};
};

TEST_F(rollout_test, runner_occupies_one_slot_only)
{
    const auto writes = start();
    ASSERT_EQ(writes.size(), 1U);
    now_ += std::chrono::seconds(1);
    EXPECT_TRUE(commands_of_type<write_slot>(rollout_tick{}).empty());
}

TEST_F(rollout_test, answer_to_previous_write_starts_no_load)
{
    const auto writes = start();
    ASSERT_EQ(writes.size(), 1U);
    slot_written late = committed(writes.front(), 2);
    late.write_id -= 1;
    EXPECT_TRUE(commands_of_type<send_runner_order>(late).empty());
    EXPECT_EQ(
        commands_of_type<send_runner_order>(committed(writes.front(), 2))
            .size(),
        1U);
}

TEST_F(rollout_test, rows_of_later_holder_deactivate_the_rollout)
{
    (void)commands_of_type<read_slots>(lease_acquired{fencing_number{3}});
    (void)commands_of_type<read_slots>(slots_read{
        {{.key = {slot_table, "0"},
          .value = encode({fencing_number{4}, {}}),
          .version = table_service::row_version{9}}}});
    EXPECT_FALSE(rollout_.is_active());
}

} // namespace
} // namespace wagtailseam::weights
