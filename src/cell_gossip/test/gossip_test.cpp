// Tests of gossip in a cell under lost messages, restarts and isolated members:
// tables converge, and an older row never replaces a newer one.
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

/// Simulates a cell whose members exchange rows over a lossy network.
class simulated_cell
{
public:
    simulated_cell(std::size_t members, std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < members; ++i)
        {
            ids_.push_back(upstream_id{"engine-" + std::to_string(i)});
            isolated_.push_back(false);
        }
        protocols_.resize(members);
        for (std::size_t i = 0; i < members; ++i)
        {
            start(i);
        }
    }

    /// Restarts a member; its epoch may be lower than before.
    void start(std::size_t i)
    {
        ++last_incarnation_;
        protocols_[i] = std::make_unique<gossip_protocol>(
            gossip_options{
                .self = ids_[i],
                .process_incarnation = incarnation{last_incarnation_},
                .epoch = 1 + random_.below(3),
                .table = {}},
            random_);
        execute(
            i,
            protocols_[i]->handle(members_configured{.members = ids_}, now_));
    }

    void set_state(std::size_t i, member_state state, std::uint8_t queued)
    {
        const member_identity identity{
            .process_incarnation = incarnation_of(i),
            .state = state,
            .running_version = weight_version{1}};
        execute(
            i, protocols_[i]->handle(
                   local_state_changed{identity, {.queued_tokens = queued}},
                   now_));
    }

    /// Runs one gossip interval for every member.
    void run_interval(double loss_rate)
    {
        loss_rate_ = loss_rate;
        now_ += std::chrono::seconds(1);
        for (std::size_t i = 0; i < protocols_.size(); ++i)
        {
            execute(i, protocols_[i]->handle(gossip_timer_expired{}, now_));
        }
    }

    void set_isolated(std::size_t i, bool isolated) { isolated_[i] = isolated; }
    [[nodiscard]] incarnation incarnation_of(std::size_t i) const
    {
        return protocols_[i]
            ->table()
            .find(ids_[i])
            ->identity.process_incarnation;
    }
    [[nodiscard]] const gossip_protocol& protocol(std::size_t i) const
    {
        return *protocols_[i];
    }
    [[nodiscard]] mono_time now() const { return now_; }
    [[nodiscard]] const std::vector<upstream_id>& ids() const { return ids_; }

    /// Whether all members have the same live rows.
    [[nodiscard]] bool converged() const
    {
        const auto first = protocols_[0]->table().live_fingerprint(now_);
        for (const auto& protocol : protocols_)
        {
            if (protocol->table().live_fingerprint(now_) != first)
            {
                return false;
            }
        }
        return true;
    }

private:
    void execute(std::size_t from, const std::vector<gossip_command>& commands)
    {
        for (const auto& command : commands)
        {
            if (const auto* const begin = std::get_if<begin_exchange>(&command))
            {
                exchange(from, *begin);
            }
        }
    }

    void exchange(std::size_t from, const begin_exchange& begin)
    {
        const auto to = static_cast<std::size_t>(
            std::find(ids_.begin(), ids_.end(), begin.peer) - ids_.begin());
        if (is_lost(from, to))
        {
            return;
        }
        for (const auto& reply :
             protocols_[to]->handle(exchange_received{begin.rows}, now_))
        {
            const auto* const answer = std::get_if<reply_to_exchange>(&reply);
            if (answer != nullptr && !is_lost(from, to))
            {
                execute(
                    from, protocols_[from]->handle(
                              exchange_reply_received{answer->rows}, now_));
            }
        }
    }

    bool is_lost(std::size_t a, std::size_t b)
    {
        return isolated_[a] || isolated_[b] || random_.unit() < loss_rate_;
    }

    random_source random_;
    std::vector<upstream_id> ids_;
    std::vector<std::unique_ptr<gossip_protocol>> protocols_;
    std::vector<bool> isolated_;
    mono_time now_{std::chrono::hours(1)};
    std::uint64_t last_incarnation_ = 0;
    double loss_rate_ = 0;
};

RC_GTEST_PROP(
    gossip_protocol, tables_converge_after_lost_messages_and_restarts,
    (std::uint64_t seed, std::uint8_t size))
{
    const std::size_t members = 2 + size % 40;
    simulated_cell cell(members, seed);
    random_source choices(seed);
    for (int round = 0; round < 12; ++round)
    {
        const auto member = choices.below(members);
        switch (choices.below(4))
        {
        case 0:
            cell.start(member);
            break;
        case 1:
            cell.set_isolated(member, choices.below(2) == 0);
            break;
        case 2:
            cell.set_state(member, member_state::draining, 7);
            break;
        default:
            break;
        }
        cell.run_interval(0.5);
    }
    for (std::size_t i = 0; i < members; ++i)
    {
        cell.set_isolated(i, false);
    }
    for (int round = 0; round < 25; ++round)
    {
        cell.run_interval(0);
    }
    RC_ASSERT(cell.converged());
    for (std::size_t i = 0; i < members; ++i)
    {
        const auto* const row = cell.protocol(0).table().find(cell.ids()[i]);
        RC_ASSERT(row != nullptr);
        RC_ASSERT(row->identity.process_incarnation == cell.incarnation_of(i));
    }
}

RC_GTEST_PROP(
    cell_table, rows_merged_in_any_order_leave_the_newest,
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

TEST(gossip_protocol, restarted_member_with_lower_epoch_is_accepted_again)
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
            const auto* const begin = std::get_if<begin_exchange>(&command);
            if (begin == nullptr)
            {
                continue;
            }
            const auto reply =
                other.handle(exchange_received{begin->rows}, now);
            (void)restarted.handle(
                exchange_reply_received{
                    std::get<reply_to_exchange>(reply.front()).rows},
                now);
        }
    }
    EXPECT_EQ(
        other.table().find(a)->identity.process_incarnation, incarnation{2});
}

TEST(cell_table, member_without_updates_is_not_live_then_removed)
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

TEST(cell_table, row_clock_advances_by_time_in_table)
{
    cell_table table;
    const mono_time start{};
    table.merge(
        {.member = upstream_id{"a"}, .version = {1, 1}, .clock_us = 500},
        start);
    const auto rows = table.live_rows(start + duration(40));
    EXPECT_EQ(rows.front().clock_us, 540);
}

TEST(log_scale, decoded_value_is_within_five_percent)
{
    for (double value = 1; value < 1e9; value *= 1.37)
    {
        const double decoded = decode_log_scale(encode_log_scale(value));
        EXPECT_NEAR(decoded, value, 0.05 * (value + 1)) << value;
    }
    EXPECT_EQ(encode_log_scale(0), 0);
}

class cell_poller_fixture : public testing::Test
{
protected:
    void configure()
    {
        const auto commands = poller_.handle(
            cells_configured{{{cell_id{0}, {upstream_id{"a"}}}}, {}}, now_);
        ASSERT_TRUE(std::holds_alternative<query_member>(commands.front()));
    }

    fingerprint known_fingerprint_of_next_query()
    {
        now_ += std::chrono::seconds(5);
        for (const auto& command : poller_.handle(poll_due{}, now_))
        {
            if (const auto* const query = std::get_if<query_member>(&command))
            {
                return query->known_fingerprint;
            }
        }
        return {};
    }

    random_source random_{1};
    cell_poller poller_{random_};
    mono_time now_{};
    const std::vector<member_row> rows_{
        {.member = upstream_id{"a"}, .version = {1, 1}, .clock_us = 100}};
};

TEST_F(cell_poller_fixture, answer_with_loads_updates_loads_and_clock)
{
    configure();
    (void)poller_.handle(query_answered{cell_id{0}, {}, rows_, {}}, now_);
    EXPECT_EQ(known_fingerprint_of_next_query(), compute_fingerprint(rows_));
    (void)poller_.handle(
        query_answered{cell_id{0}, {}, {}, {{.queued_tokens = 9}}}, now_);
    const auto row = poller_.live_rows(cell_id{0}, now_).front();
    EXPECT_EQ(row.load.queued_tokens, 9);
    EXPECT_EQ(row.clock_us, 100 + duration(std::chrono::seconds(5)).count());
}

TEST_F(cell_poller_fixture, wrong_number_of_loads_is_ignored)
{
    configure();
    (void)poller_.handle(query_answered{cell_id{0}, {}, rows_, {}}, now_);
    (void)poller_.handle(
        query_answered{cell_id{0}, {}, {}, {{.queued_tokens = 9}, {}}}, now_);
    const auto row = poller_.live_rows(cell_id{0}, now_).front();
    EXPECT_EQ(row.load.queued_tokens, 0);
}

TEST_F(cell_poller_fixture, answer_of_new_member_keeps_other_rows)
{
    configure();
    (void)poller_.handle(query_answered{cell_id{0}, {}, rows_, {}}, now_);
    const member_row other{.member = upstream_id{"b"}, .version = {2, 1}};
    (void)poller_.handle(query_answered{cell_id{0}, {}, {other}, {}}, now_);
    EXPECT_EQ(poller_.live_rows(cell_id{0}, now_).size(), 2U);
}

TEST_F(cell_poller_fixture, query_timeout_is_retried_before_interval)
{
    configure();
    const auto commands = poller_.handle(query_timed_out{cell_id{0}}, now_);
    const auto& wait = std::get<set_poll_timer>(commands.back());
    EXPECT_EQ(wait.expires_at, now_ + std::chrono::milliseconds(500));
}

} // namespace
} // namespace wagtailseam::cell_gossip
