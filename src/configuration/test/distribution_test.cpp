// Spread under losses, cuts, restarts and outages of the platform.
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

using choices = std::vector<std::uint16_t>;
using std::chrono::milliseconds;

/// Returns the one content that each number has in these tests.
const configuration_snapshot& content(std::uint64_t number)
{
    static std::map<std::uint64_t, configuration_snapshot> all;
    configuration_snapshot& made = all[number];
    if (!made.bytes)
    {
        made.number = config_number{number};
        made.bytes = std::make_shared<const std::string>(
            "content " + std::to_string(number));
        made.object = sha256(*made.bytes);
    }
    return made;
}

/// Three entries that are each other's peers, two sidecars with entries as
/// peers, and a network that loses, delays and reorders.
class world
{
public:
    static constexpr std::size_t entries = 3;
    static constexpr std::size_t processes = 5;

    world()
    {
        for (std::size_t i = 0; i < processes; ++i)
        {
            restart(i);
        }
        heal();
    }

    void run(const choices& script)
    {
        for (const std::uint16_t choice : script)
        {
            step(choice % 32U, choice / 32U);
        }
        heal();
    }

    std::uint64_t restarts_in_outage = 0;

private:
    struct process
    {
        std::optional<distribution_state_machine> core;
        std::uint64_t life = 0;
        bool cut = false;
        /// Highest number seen in force while ready, over all lives.
        config_number highest;
    };

    static peer_id name(std::size_t i) { return peer_id{std::to_string(i)}; }
    static std::size_t index(const peer_id& id)
    {
        return std::stoul(id.value());
    }

    void restart(std::size_t i)
    {
        process& at = all_[i];
        ++at.life;
        distribution_options options{
            .polls_head = i < entries,
            .startup_timeout = std::chrono::hours(1000),
            .replication_timeout = std::chrono::hours(1000)};
        for (std::size_t peer = 0; peer < entries; ++peer)
        {
            if (peer != i)
            {
                options.peers.push_back(name(peer));
            }
        }
        at.core.emplace(options, i + at.life * 100);
        feed(i, distribution_event::tick{});
    }

    void step(unsigned kind, unsigned detail)
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
            // Only a restart without the platform can bring a number back.
            restarts_in_outage += platform_up_ ? 0U : 1U;
            restart(i);
            break;
        case 4:
            all_[i].cut = !all_[i].cut;
            break;
        case 5:
        case 6:
            now_ += milliseconds(50 * (detail % 20));
            feed(i, distribution_event::tick{});
            break;
        case 7:
            lose(detail);
            break;
        case 8:
        case 9:
        case 10:
            probe(detail % entries, entries + detail % (processes - entries));
            break;
        case 11:
        case 12:
        case 13:
        case 14:
            settle();
            break;
        default:
            deliver(detail);
            break;
        }
    }

    /// A request from an entry to a sidecar and its answer carry numbers.
    void probe(std::size_t entry, std::size_t sidecar)
    {
        const config_number carried = all_[entry].core->active_number();
        send(
            entry, sidecar,
            [this, entry, sidecar, carried]
            {
                feed(
                    sidecar,
                    distribution_event::number_seen{carried, name(entry)});
                const config_number back = all_[sidecar].core->active_number();
                send(
                    sidecar, entry,
                    [this, entry, sidecar, back] {
                        feed(
                            entry, distribution_event::number_seen{
                                       back, name(sidecar)});
                    });
            });
    }

    void feed(std::size_t i, const distribution_input& event)
    {
        process& at = all_[i];
        for (const distribution_command& command : at.core->handle(event, now_))
        {
            std::visit([&](const auto& kind) { obey(i, kind); }, command);
        }
        if (at.core->ready())
        {
            RC_ASSERT(at.core->active_number() >= at.highest);
            at.highest = at.core->active_number();
        }
    }

    /// Queues a delivery that only the life that it was meant for sees.
    void send(std::size_t from, std::size_t to, std::function<void()> effect)
    {
        const std::uint64_t life = all_[to].life;
        queue_.push_back(
            [this, from, to, life, effect = std::move(effect)]
            {
                const bool cut = all_[from].cut || all_[to].cut;
                if (!cut && all_[to].life == life)
                {
                    effect();
                }
            });
    }

    /// Asks the platform; the answer is as of the time of the question's
    /// arrival and may arrive much later.
    void ask_platform(
        std::size_t i, std::function<distribution_input()> answer,
        const distribution_input& failure)
    {
        send(
            i, i,
            [this, i, answer = std::move(answer), failure]
            {
                const bool works = platform_up_ && !all_[i].cut;
                const distribution_input heard = works ? answer() : failure;
                send(i, i, [this, i, heard] { feed(i, heard); });
            });
    }

    void obey(std::size_t i, const read_head& /*command*/)
    {
        ask_platform(
            i,
            [this]() -> distribution_input
            {
                return distribution_event::head_read{
                    config_number{accepted_}, content(accepted_).object};
            },
            distribution_event::head_read_failed{});
    }

    void obey(std::size_t i, const fetch_object& command)
    {
        ask_platform(
            i,
            [number = command.number]() -> distribution_input
            {
                return distribution_event::configuration_received{
                    content(number.value()), std::nullopt};
            },
            distribution_event::fetch_failed{});
    }

    void obey(std::size_t i, const fetch_from_peer& command)
    {
        const std::size_t peer = index(command.peer);
        send(
            i, peer,
            [this, i, peer, above = command.above]
            {
                const distribution_input answer = answer_fetch(peer, above);
                send(peer, i, [this, i, answer] { feed(i, answer); });
            });
    }

    distribution_input answer_fetch(std::size_t peer, config_number above)
    {
        const distribution_state_machine& core = *all_[peer].core;
        if (!core.ready())
        {
            return distribution_event::fetch_failed{name(peer)};
        }
        if (core.active_number() > above)
        {
            return distribution_event::configuration_received{
                core.active(), name(peer)};
        }
        return distribution_event::nothing_newer{
            name(peer), core.active_number()};
    }

    void obey(std::size_t i, const offer_to_peer& command)
    {
        const std::size_t peer = index(command.peer);
        send(
            i, peer,
            [this, i, peer, snapshot = command.snapshot]
            {
                feed(
                    peer,
                    distribution_event::offer_received{snapshot, name(i)});
                const config_number taken = all_[peer].core->active_number();
                send(
                    peer, i,
                    [this, i, peer, taken] {
                        feed(
                            i, distribution_event::offer_acknowledged{
                                   name(peer), taken});
                    });
            });
    }

    void obey(std::size_t /*i*/, const activate_configuration& command)
    {
        RC_ASSERT(!command.unreplicated);
        RC_ASSERT(command.snapshot.number.value() <= accepted_);
        RC_ASSERT(
            command.snapshot.object ==
            content(command.snapshot.number.value()).object);
    }

    void obey(std::size_t /*i*/, const become_ready& command)
    {
        RC_ASSERT(command.confirmed);
    }

    void obey(std::size_t /*i*/, const wake_at& command)
    {
        RC_ASSERT(command.time > now_);
    }

    void lose(unsigned detail)
    {
        if (!queue_.empty())
        {
            queue_.erase(
                queue_.begin() +
                static_cast<std::ptrdiff_t>(detail % queue_.size()));
        }
    }

    void deliver(unsigned detail)
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

    /// A quarter of a second without further faults.
    void settle()
    {
        now_ += milliseconds(250);
        for (std::size_t i = 0; i < processes; ++i)
        {
            feed(i, distribution_event::tick{});
        }
        constexpr int most = 30;
        for (int n = 0; n < most && !queue_.empty(); ++n)
        {
            deliver(0);
        }
    }

    [[nodiscard]] bool all_at_head() const
    {
        return std::ranges::all_of(
            all_,
            [this](const process& each)
            {
                return each.core->ready() &&
                       each.core->active_number().value() == accepted_;
            });
    }

    /// Everything works again: all must reach the head.
    void heal()
    {
        platform_up_ = true;
        for (process& each : all_)
        {
            each.cut = false;
        }
        constexpr int rounds = 60;
        for (int round = 0; round < rounds && !all_at_head(); ++round)
        {
            for (std::size_t i = 0; i < processes; ++i)
            {
                probe(i % entries, entries + i % (processes - entries));
            }
            settle();
        }
        RC_ASSERT(all_at_head());
    }

    std::array<process, processes> all_;
    std::deque<std::function<void()>> queue_;
    mono_time now_{};
    bool platform_up_ = true;
    std::uint64_t accepted_ = 1;
};

TEST(spread_property, numbers_never_go_down_and_all_reach_the_head)
{
    constexpr int histories = 100'000;
    std::uint64_t restarts_in_outage = 0;
    check_property(
        histories,
        [&](const choices& script)
        {
            world simulated;
            simulated.run(script);
            restarts_in_outage += simulated.restarts_in_outage;
        });
    EXPECT_GT(restarts_in_outage, 10'000U);
}

class spread_core_fixture : public testing::Test
{
protected:
    template <class Command>
    [[nodiscard]] bool commands(const distribution_input& event)
    {
        bool found = false;
        for (const auto& command : core_.handle(event, now_))
        {
            found = found || std::holds_alternative<Command>(command);
        }
        return found;
    }

    mono_time now_{};
    distribution_state_machine core_{
        {.polls_head = true, .peers = {peer_id{"a"}, peer_id{"b"}}}, 1};
};

TEST_F(spread_core_fixture, configuration_from_platform_waits_for_a_peer)
{
    EXPECT_TRUE(commands<read_head>(distribution_event::tick{}));
    EXPECT_TRUE(commands<fetch_object>(
        distribution_event::head_read{config_number{3}, content(3).object}));
    EXPECT_FALSE(commands<activate_configuration>(
        distribution_event::configuration_received{content(3), std::nullopt}));
    EXPECT_TRUE(
        commands<activate_configuration>(distribution_event::offer_acknowledged{
            peer_id{"a"}, config_number{3}}));
    EXPECT_TRUE(core_.ready());
}

TEST_F(spread_core_fixture, configuration_that_no_peer_takes_is_put_alone)
{
    (void)core_.handle(distribution_event::tick{}, now_);
    (void)core_.handle(
        distribution_event::configuration_received{content(3), std::nullopt},
        now_);
    now_ += std::chrono::seconds(2);
    EXPECT_TRUE(commands<activate_configuration>(distribution_event::tick{}));
}

TEST_F(spread_core_fixture, bytes_that_do_not_match_the_digest_are_not_used)
{
    (void)core_.handle(distribution_event::tick{}, now_);
    configuration_snapshot broken = content(3);
    broken.bytes = std::make_shared<const std::string>("half");
    EXPECT_FALSE(commands<activate_configuration>(
        distribution_event::configuration_received{broken, peer_id{"a"}}));
    EXPECT_FALSE(commands<activate_configuration>(
        distribution_event::offer_received{broken, peer_id{"a"}}));
}

TEST_F(spread_core_fixture, start_in_outage_is_ready_after_patience)
{
    (void)core_.handle(distribution_event::tick{}, now_);
    (void)core_.handle(distribution_event::head_read_failed{}, now_);
    (void)core_.handle(
        distribution_event::configuration_received{content(3), peer_id{"a"}},
        now_);
    EXPECT_FALSE(core_.ready());
    now_ += std::chrono::seconds(5);
    EXPECT_TRUE(commands<become_ready>(distribution_event::tick{}));
}

TEST_F(spread_core_fixture, dispatch_names_the_side_that_is_behind)
{
    (void)core_.handle(
        distribution_event::offer_received{content(3), peer_id{"a"}}, now_);
    EXPECT_EQ(
        core_.check_dispatch(config_number{4}),
        dispatch_check::receiver_behind);
    EXPECT_EQ(
        core_.check_dispatch(config_number{2}), dispatch_check::sender_behind);
    EXPECT_EQ(
        core_.check_dispatch(config_number{3}), dispatch_check::same_number);
}

} // namespace
} // namespace wagtailseam::configuration
