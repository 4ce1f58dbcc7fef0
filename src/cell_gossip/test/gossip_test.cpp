// Gossip in a cell under lost messages, restarts and cut members: tables
// converge, rows never go back, loads come within a few intervals.
#include "cell_gossip/cell_poller.hpp"
#include "cell_gossip/gossip_protocol.hpp"
#include "cell_gossip/log_scale.hpp"
#include "core/overloaded.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace wagtailseam::cell_gossip
{
namespace
{

/// A cell of members that exchange rows over a network that loses messages.
class cell_world
{
public:
    cell_world(std::size_t members, std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < members; ++i)
        {
            ids_.push_back(upstream_id{"engine-" + std::to_string(i)});
            cut_.push_back(false);
        }
        cores_.resize(members);
        for (std::size_t i = 0; i < members; ++i)
        {
            start(i);
        }
    }

    /// Starts a member anew; its calendar clock may be behind.
    void start(std::size_t i)
    {
        ++lives_;
        cores_[i] = std::make_unique<gossip_protocol>(
            gossip_options{
                .self = ids_[i],
                .process_incarnation = incarnation{lives_},
                .epoch = 1 + random_.below(3),
                .table = {}},
            random_);
        obey(i, cores_[i]->handle(members_configured{.members = ids_}, now_));
    }

    void set_load(std::size_t i, member_state state, std::uint8_t queued)
    {
        const member_identity identity{
            .process_incarnation = incarnation_of(i),
            .state = state,
            .running_version = weight_version{1}};
        obey(
            i, cores_[i]->handle(
                   local_state_changed{identity, {.queued_tokens = queued}},
                   now_));
    }

    /// Lets one interval pass for every member.
    void round(double loss)
    {
        loss_ = loss;
        now_ += std::chrono::seconds(1);
        for (std::size_t i = 0; i < cores_.size(); ++i)
        {
            obey(i, cores_[i]->handle(gossip_timer_expired{}, now_));
        }
    }

    void cut(std::size_t i, bool away) { cut_[i] = away; }
    [[nodiscard]] incarnation incarnation_of(std::size_t i) const
    {
        return cores_[i]->table().find(ids_[i])->identity.process_incarnation;
    }
    [[nodiscard]] const gossip_protocol& core(std::size_t i) const
    {
        return *cores_[i];
    }
    [[nodiscard]] mono_time now() const { return now_; }
    [[nodiscard]] const std::vector<upstream_id>& ids() const { return ids_; }

    /// Whether all members that are not cut have the same live table.
    [[nodiscard]] bool converged() const
    {
        const auto first = cores_[0]->table().live_fingerprint(now_);
        for (const auto& core : cores_)
        {
            if (core->table().live_fingerprint(now_) != first)
            {
                return false;
            }
        }
        return true;
    }

private:
    void obey(std::size_t from, const std::vector<gossip_command>& commands)
    {
        for (const auto& command : commands)
        {
            if (const auto* const begun = std::get_if<begin_exchange>(&command))
            {
                exchange(from, *begun);
            }
        }
    }

    void exchange(std::size_t from, const begin_exchange& begun)
    {
        const auto to = static_cast<std::size_t>(
            std::find(ids_.begin(), ids_.end(), begun.peer) - ids_.begin());
        if (lost(from, to))
        {
            return;
        }
        for (const auto& reply :
             cores_[to]->handle(exchange_received{begun.rows}, now_))
        {
            const auto* const answer = std::get_if<reply_to_exchange>(&reply);
            if (answer != nullptr && !lost(from, to))
            {
                obey(
                    from, cores_[from]->handle(
                              exchange_reply_received{answer->rows}, now_));
            }
        }
    }

    bool lost(std::size_t a, std::size_t b)
    {
        return cut_[a] || cut_[b] || random_.unit() < loss_;
    }

    random_source random_;
    std::vector<upstream_id> ids_;
    std::vector<std::unique_ptr<gossip_protocol>> cores_;
    std::vector<bool> cut_;
    mono_time now_{std::chrono::hours(1)};
    std::uint64_t lives_ = 0;
    double loss_ = 0;
};

RC_GTEST_PROP(
    gossip_protocol, lost_messages_and_restarts_then_calm_converges,
    (std::uint64_t seed, std::uint8_t size))
{
    const std::size_t members = 2 + size % 40;
    cell_world world(members, seed);
    random_source choose(seed);
    for (int round = 0; round < 12; ++round)
    {
        const auto who = choose.below(members);
        switch (choose.below(4))
        {
        case 0:
            world.start(who);
            break;
        case 1:
            world.cut(who, choose.below(2) == 0);
            break;
        case 2:
            world.set_load(who, member_state::draining, 7);
            break;
        default:
            break;
        }
        world.round(0.5);
    }
    for (std::size_t i = 0; i < members; ++i)
    {
        world.cut(i, false);
    }
    for (int round = 0; round < 25; ++round)
    {
        world.round(0);
    }
    RC_ASSERT(world.converged());
    for (std::size_t i = 0; i < members; ++i)
    {
        const auto* const seen = world.core(0).table().find(world.ids()[i]);
        RC_ASSERT(seen != nullptr);
        RC_ASSERT(
            seen->identity.process_incarnation == world.incarnation_of(i));
    }
}

RC_GTEST_PROP(
    cell_table, rows_in_any_order_leave_the_newest,
    (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& versions))
{
    cell_table table;
    row_version newest;
    for (const auto& [epoch, heartbeat] : versions)
    {
        const row_version version{epoch, heartbeat};
        table.merge(
            {.member = upstream_id{"a"}, .version = version}, mono_time{});
        newest = std::max(newest, version);
        RC_ASSERT(table.find(upstream_id{"a"})->version == newest);
    }
}

TEST(gossip_protocol, restart_with_lower_epoch_after_silence_is_heard_again)
{
    random_source random(1);
    const upstream_id a{"a"};
    const upstream_id b{"b"};
    gossip_protocol other(
        {.self = b, .process_incarnation = incarnation{9}, .table = {}},
        random);
    mono_time now{};
    const member_row earlier{
        .member = a,
        .version = {5, 50},
        .identity = {.process_incarnation = incarnation{1}}};
    (void)other.handle(exchange_received{{earlier}}, now);
    now += std::chrono::seconds(60);
    gossip_protocol restarted(
        {.self = a,
         .process_incarnation = incarnation{2},
         .epoch = 1,
         .table = {}},
        random);
    (void)restarted.handle(members_configured{.members = {a, b}}, now);
    for (int exchange = 0; exchange < 2; ++exchange)
    {
        for (const auto& command :
             restarted.handle(gossip_timer_expired{}, now))
        {
            const auto* const begun = std::get_if<begin_exchange>(&command);
            if (begun == nullptr)
            {
                continue;
            }
            const auto reply =
                other.handle(exchange_received{begun->rows}, now);
            (void)restarted.handle(
                exchange_reply_received{
                    std::get<reply_to_exchange>(reply.front()).rows},
                now);
        }
    }
    EXPECT_EQ(
        other.table().find(a)->identity.process_incarnation, incarnation{2});
}

TEST(cell_table, silent_member_is_left_out_then_forgotten)
{
    cell_table table(
        {.suspect_after = std::chrono::seconds(6),
         .expire_after = std::chrono::seconds(60)});
    const mono_time start{};
    table.merge({.member = upstream_id{"a"}, .version = {1, 1}}, start);
    EXPECT_EQ(table.live_rows(start + std::chrono::seconds(6)).size(), 1U);
    EXPECT_EQ(table.live_rows(start + std::chrono::seconds(7)).size(), 0U);
    table.remove_expired(start + std::chrono::seconds(61));
    EXPECT_EQ(table.size(), 0U);
}

TEST(cell_table, clock_of_row_moves_on_with_time_in_table)
{
    cell_table table;
    const mono_time start{};
    table.merge(
        {.member = upstream_id{"a"}, .version = {1, 1}, .clock_us = 500},
        start);
    const auto rows = table.live_rows(start + duration(40));
    EXPECT_EQ(rows.front().clock_us, 540);
}

TEST(log_scale, value_read_back_is_within_five_percent)
{
    for (double value = 1; value < 1e9; value *= 1.37)
    {
        const double back = decode_log_scale(encode_log_scale(value));
        EXPECT_NEAR(back, value, 0.05 * (value + 1)) << value;
    }
    EXPECT_EQ(encode_log_scale(0), 0);
}

class cell_poller_fixture : public testing::Test
{
protected:
    void configure()
    {
        const auto commands = reader_.handle(
            cells_configured{{{cell_id{0}, {upstream_id{"a"}}}}, {}}, now_);
        ASSERT_TRUE(std::holds_alternative<query_member>(commands.front()));
    }

    fingerprint asked_with()
    {
        now_ += std::chrono::seconds(5);
        for (const auto& command : reader_.handle(poll_due{}, now_))
        {
            if (const auto* const query = std::get_if<query_member>(&command))
            {
                return query->known_fingerprint;
            }
        }
        return {};
    }

    random_source random_{1};
    cell_poller reader_{random_};
    mono_time now_{};
    const std::vector<member_row> rows_{
        {.member = upstream_id{"a"}, .version = {1, 1}, .clock_us = 100}};
};

TEST_F(cell_poller_fixture, loads_after_rows_update_loads_and_clock)
{
    configure();
    (void)reader_.handle(query_answered{cell_id{0}, {}, rows_, {}}, now_);
    EXPECT_EQ(asked_with(), compute_fingerprint(rows_));
    (void)reader_.handle(
        query_answered{cell_id{0}, {}, {}, {{.queued_tokens = 9}}}, now_);
    const auto row = reader_.live_rows(cell_id{0}, now_).front();
    EXPECT_EQ(row.load.queued_tokens, 9);
    EXPECT_EQ(row.clock_us, 100 + duration(std::chrono::seconds(5)).count());
}

TEST_F(cell_poller_fixture, loads_that_do_not_fit_are_not_taken)
{
    configure();
    (void)reader_.handle(query_answered{cell_id{0}, {}, rows_, {}}, now_);
    (void)reader_.handle(
        query_answered{cell_id{0}, {}, {}, {{.queued_tokens = 9}, {}}}, now_);
    const auto row = reader_.live_rows(cell_id{0}, now_).front();
    EXPECT_EQ(row.load.queued_tokens, 0);
}

TEST_F(cell_poller_fixture, answer_of_new_member_keeps_the_others)
{
    configure();
    (void)reader_.handle(query_answered{cell_id{0}, {}, rows_, {}}, now_);
    const member_row other{.member = upstream_id{"b"}, .version = {2, 1}};
    (void)reader_.handle(query_answered{cell_id{0}, {}, {other}, {}}, now_);
    EXPECT_EQ(reader_.live_rows(cell_id{0}, now_).size(), 2U);
}

TEST_F(cell_poller_fixture, silent_member_leads_to_retry_before_interval)
{
    configure();
    const auto commands = reader_.handle(query_timed_out{cell_id{0}}, now_);
    const auto& wait = std::get<set_poll_timer>(commands.back());
    EXPECT_EQ(wait.expires_at, now_ + std::chrono::milliseconds(500));
}

} // namespace
} // namespace wagtailseam::cell_gossip
