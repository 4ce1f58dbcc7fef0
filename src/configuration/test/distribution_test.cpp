// Tests distribution under message loss, network partitions, restarts and
// outages of the platform.
#include "configuration/distribution_state_machine.hpp"
#include "core/test/property.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>

namespace wagtailseam::configuration
{
namespace
{

using random_choices = std::vector<std::uint16_t>;
using std::chrono::milliseconds;

/// Returns the test configuration with this number.
const configuration_snapshot& test_configuration(std::uint64_t number)
{
    static std::map<std::uint64_t, configuration_snapshot> snapshots;
    configuration_snapshot& snapshot = snapshots[number];
    if (!snapshot.bytes)
    {
        snapshot.number = config_number{number};
        snapshot.bytes = std::make_shared<const std::string>(
            "content " + std::to_string(number));
        snapshot.object = sha256(*snapshot.bytes);
    }
    return snapshot;
}

/// Simulates three entries that are peers of each other, two sidecars with the
/// entries as peers, and a network that loses, delays and reorders messages.
class simulation
{
public:
    static constexpr std::size_t entries = 3;
    static constexpr std::size_t processes = 5;

    simulation()
    {
        for (std::size_t i = 0; i < processes; ++i)
        {
            restart(i);
        }
        recover();
    }

    void run(const random_choices& script)
    {
        for (const std::uint16_t choice : script)
        {
            run_step(choice % 32U, choice / 32U);
        }
        recover();
    }

    std::uint64_t restarts_in_outage = 0;

private:
    struct process
    {
        std::optional<distribution_state_machine> state_machine;
        std::uint64_t incarnation = 0;
        bool disconnected = false;
        /// Highest active number while ready, over all incarnations.
        config_number highest;
    };

    static peer_id peer_name(std::size_t i)
    {
        return peer_id{std::to_string(i)};
    }
    static std::size_t index(const peer_id& id)
    {
        return std::stoul(id.value());
    }

    void restart(std::size_t i)
    {
        process& state = processes_[i];
        ++state.incarnation;
        distribution_options options{
            .polls_head = i < entries,
            .startup_timeout = std::chrono::hours(1000),
            .replication_timeout = std::chrono::hours(1000)};
        for (std::size_t peer = 0; peer < entries; ++peer)
        {
            if (peer != i)
            {
                options.peers.push_back(peer_name(peer));
            }
        }
        state.state_machine.emplace(options, i + state.incarnation * 100);
        handle_event(i, distribution_event::tick{});
    }

    void run_step(unsigned kind, unsigned detail)
    {
        const std::size_t i = detail % processes;
        switch (kind)
        {
        case 0:
        case 1:
            accepted_ += platform_up_ ? 1U : 0U;
            break;
        case 2:
            platform_up_ = !platform_up_;
            break;
        case 3:
            // Only a restart during an outage of the platform can make the
            // active number decrease.
            restarts_in_outage += platform_up_ ? 0U : 1U;
            restart(i);
            break;
        case 4:
            processes_[i].disconnected = !processes_[i].disconnected;
            break;
        case 5:
        case 6:
            now_ += milliseconds(50 * (detail % 20));
            handle_event(i, distribution_event::tick{});
            break;
        case 7:
            lose_message(detail);
            break;
        case 8:
        case 9:
        case 10:
            exchange_numbers(
                detail % entries, entries + detail % (processes - entries));
            break;
        case 11:
        case 12:
        case 13:
        case 14:
            run_without_faults();
            break;
        default:
            deliver_message(detail);
            break;
        }
    }

    /// Sends a request from an entry to a sidecar; both the request and the
    /// response carry the active number of their sender.
    void exchange_numbers(std::size_t entry, std::size_t sidecar)
    {
        const config_number request_number =
            processes_[entry].state_machine->active_number();
        send(
            entry, sidecar,
            [this, entry, sidecar, request_number]
            {
                handle_event(
                    sidecar, distribution_event::number_seen{
                                 request_number, peer_name(entry)});
                const config_number response_number =
                    processes_[sidecar].state_machine->active_number();
                send(
                    sidecar, entry,
                    [this, entry, sidecar, response_number]
                    {
                        handle_event(
                            entry, distribution_event::number_seen{
                                       response_number, peer_name(sidecar)});
                    });
            });
    }

    void handle_event(std::size_t i, const distribution_input& event)
    {
        process& state = processes_[i];
        for (const distribution_command& command :
             state.state_machine->handle(event, now_))
        {
            std::visit(
                [&](const auto& alternative) { execute(i, alternative); },
                command);
        }
        if (state.state_machine->ready())
        {
            RC_ASSERT(state.state_machine->active_number() >= state.highest);
            state.highest = state.state_machine->active_number();
        }
    }

    /// Queues a message that only the current incarnation of the receiver gets.
    void send(std::size_t from, std::size_t to, std::function<void()> effect)
    {
        const std::uint64_t incarnation = processes_[to].incarnation;
        queue_.push_back(
            [this, from, to, incarnation, effect = std::move(effect)]
            {
                const bool disconnected = processes_[from].disconnected ||
                                          processes_[to].disconnected;
                if (!disconnected && processes_[to].incarnation == incarnation)
                {
                    effect();
                }
            });
    }

    /// Sends a request to the platform. The response has the state at the
    /// arrival of the request, and may arrive much later.
    void request_from_platform(
        std::size_t i, std::function<distribution_input()> answer,
        const distribution_input& failure)
    {
        send(
            i, i,
            [this, i, answer = std::move(answer), failure]
            {
                const bool reachable =
                    platform_up_ && !processes_[i].disconnected;
                const distribution_input event = reachable ? answer() : failure;
                send(i, i, [this, i, event] { handle_event(i, event); });
            });
    }

    void execute(std::size_t i, const read_head& /*command*/)
    {
        request_from_platform(
            i,
            [this]() -> distribution_input
            {
                return distribution_event::head_read{
                    config_number{accepted_},
                    test_configuration(accepted_).object};
            },
            distribution_event::head_read_failed{});
    }

    void execute(std::size_t i, const fetch_object& command)
    {
        request_from_platform(
            i,
            [number = command.number]() -> distribution_input
            {
                return distribution_event::configuration_received{
                    test_configuration(number.value()), std::nullopt};
            },
            distribution_event::fetch_failed{});
    }

    void execute(std::size_t i, const fetch_from_peer& command)
    {
        const std::size_t peer = index(command.peer);
        send(
            i, peer,
            [this, i, peer, above = command.above]
            {
                const distribution_input answer = answer_fetch(peer, above);
                send(peer, i, [this, i, answer] { handle_event(i, answer); });
            });
    }

    distribution_input answer_fetch(std::size_t peer, config_number above)
    {
        const distribution_state_machine& state_machine =
            *processes_[peer].state_machine;
        if (!state_machine.ready())
        {
            return distribution_event::fetch_failed{peer_name(peer)};
        }
        if (state_machine.active_number() > above)
        {
            return distribution_event::configuration_received{
                state_machine.active(), peer_name(peer)};
        }
        return distribution_event::nothing_newer{
            peer_name(peer), state_machine.active_number()};
    }

    void execute(std::size_t i, const offer_to_peer& command)
    {
        const std::size_t peer = index(command.peer);
        send(
            i, peer,
            [this, i, peer, snapshot = command.snapshot]
            {
                handle_event(
                    peer,
                    distribution_event::offer_received{snapshot, peer_name(i)});
                const config_number acknowledged =
                    processes_[peer].state_machine->active_number();
                send(
                    peer, i,
                    [this, i, peer, acknowledged]
                    {
                        handle_event(
                            i, distribution_event::offer_acknowledged{
                                   peer_name(peer), acknowledged});
                    });
            });
    }

    void execute(std::size_t /*i*/, const activate_configuration& command)
    {
        RC_ASSERT(!command.unreplicated);
        RC_ASSERT(command.snapshot.number.value() <= accepted_);
        RC_ASSERT(
            command.snapshot.object ==
            test_configuration(command.snapshot.number.value()).object);
    }

    void execute(std::size_t /*i*/, const become_ready& command)
    {
        RC_ASSERT(command.confirmed);
    }

    void execute(std::size_t /*i*/, const wake_at& command)
    {
        RC_ASSERT(command.time > now_);
    }

    void lose_message(unsigned detail)
    {
        if (!queue_.empty())
        {
            queue_.erase(
                queue_.begin() +
                static_cast<std::ptrdiff_t>(detail % queue_.size()));
        }
    }

    void deliver_message(unsigned detail)
    {
        if (!queue_.empty())
        {
            const auto at = queue_.begin() +
                            static_cast<std::ptrdiff_t>(detail % queue_.size());
            const std::function<void()> effect = std::move(*at);
            queue_.erase(at);
            effect();
        }
    }

    /// Simulates 250 ms without further faults.
    void run_without_faults()
    {
        now_ += milliseconds(250);
        for (std::size_t i = 0; i < processes; ++i)
        {
            handle_event(i, distribution_event::tick{});
        }
        constexpr int max_deliveries = 30;
        for (int n = 0; n < max_deliveries && !queue_.empty(); ++n)
        {
            deliver_message(0);
        }
    }

    [[nodiscard]] bool all_reached_head() const
    {
        return std::ranges::all_of(
            processes_,
            [this](const process& state)
            {
                return state.state_machine->ready() &&
                       state.state_machine->active_number().value() ==
                           accepted_;
            });
    }

    /// Ends all faults; every process must then activate the head.
    void recover()
    {
        platform_up_ = true;
        for (process& state : processes_)
        {
            state.disconnected = false;
        }
        constexpr int rounds = 60;
        for (int round = 0; round < rounds && !all_reached_head(); ++round)
        {
            for (std::size_t i = 0; i < processes; ++i)
            {
                exchange_numbers(
                    i % entries, entries + i % (processes - entries));
            }
            run_without_faults();
        }
        RC_ASSERT(all_reached_head());
    }

    std::array<process, processes> processes_;
    std::deque<std::function<void()>> queue_;
    mono_time now_{};
    bool platform_up_ = true;
    std::uint64_t accepted_ = 1;
};

TEST(
    distribution_property,
    active_numbers_never_decrease_and_all_processes_reach_the_head)
{
    constexpr int simulations = 100'000;
    std::uint64_t restarts_in_outage = 0;
    check_property(
        simulations,
        [&](const random_choices& script)
        {
            simulation run;
            run.run(script);
            restarts_in_outage += run.restarts_in_outage;
        });
    EXPECT_GT(restarts_in_outage, 10'000U);
}

class distribution_state_machine_test : public testing::Test
{
protected:
    template <class Command>
    [[nodiscard]] bool issues(const distribution_input& event)
    {
        bool found = false;
        for (const auto& command : state_machine_.handle(event, now_))
        {
            found = found || std::holds_alternative<Command>(command);
        }
        return found;
    }

    mono_time now_{};
    distribution_state_machine state_machine_{
        {.polls_head = true, .peers = {peer_id{"a"}, peer_id{"b"}}}, 1};
};

TEST_F(
    distribution_state_machine_test,
    configuration_from_platform_is_activated_once_a_peer_has_it)
{
    EXPECT_TRUE(issues<read_head>(distribution_event::tick{}));
    EXPECT_TRUE(issues<fetch_object>(distribution_event::head_read{
        config_number{3}, test_configuration(3).object}));
    EXPECT_FALSE(issues<activate_configuration>(
        distribution_event::configuration_received{
            test_configuration(3), std::nullopt}));
    EXPECT_TRUE(
        issues<activate_configuration>(distribution_event::offer_acknowledged{
            peer_id{"a"}, config_number{3}}));
    EXPECT_TRUE(state_machine_.ready());
}

TEST_F(
    distribution_state_machine_test,
    configuration_without_acknowledgement_is_activated_after_timeout)
{
    (void)state_machine_.handle(distribution_event::tick{}, now_);
    (void)state_machine_.handle(
        distribution_event::configuration_received{
            test_configuration(3), std::nullopt},
        now_);
    now_ += std::chrono::seconds(2);
    EXPECT_TRUE(issues<activate_configuration>(distribution_event::tick{}));
}

TEST_F(distribution_state_machine_test, bytes_with_wrong_digest_are_rejected)
{
    (void)state_machine_.handle(distribution_event::tick{}, now_);
    configuration_snapshot corrupt = test_configuration(3);
    corrupt.bytes = std::make_shared<const std::string>("half");
    EXPECT_FALSE(issues<activate_configuration>(
        distribution_event::configuration_received{corrupt, peer_id{"a"}}));
    EXPECT_FALSE(issues<activate_configuration>(
        distribution_event::offer_received{corrupt, peer_id{"a"}}));
}

TEST_F(
    distribution_state_machine_test,
    startup_during_outage_is_ready_after_timeout)
{
    (void)state_machine_.handle(distribution_event::tick{}, now_);
    (void)state_machine_.handle(distribution_event::head_read_failed{}, now_);
    (void)state_machine_.handle(
        distribution_event::configuration_received{
            test_configuration(3), peer_id{"a"}},
        now_);
    EXPECT_FALSE(state_machine_.ready());
    now_ += std::chrono::seconds(5);
    EXPECT_TRUE(issues<become_ready>(distribution_event::tick{}));
}

TEST_F(
    distribution_state_machine_test,
    dispatch_check_identifies_the_side_that_is_behind)
{
    (void)state_machine_.handle(
        distribution_event::offer_received{test_configuration(3), peer_id{"a"}},
        now_);
    EXPECT_EQ(
        state_machine_.check_dispatch(config_number{4}),
        dispatch_check::receiver_behind);
    EXPECT_EQ(
        state_machine_.check_dispatch(config_number{2}),
        dispatch_check::sender_behind);
    EXPECT_EQ(
        state_machine_.check_dispatch(config_number{3}),
        dispatch_check::same_number);
}

} // namespace
} // namespace wagtailseam::configuration
