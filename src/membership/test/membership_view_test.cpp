// Tests views of upstreams whose heartbeats arrive late and in any order, and
// the assignment of upstreams to cells.
#include "core/test/property.hpp"
#include "membership/cells.hpp"
#include "membership/membership_view.hpp"

#include <optional>
#include <vector>

namespace wagtailseam::membership
{
namespace
{

using std::chrono::milliseconds;
using choices = std::vector<std::uint16_t>;

const upstream_id upstream{"engine-1"};

/// A heartbeat and the time when the sidecar sent it.
struct sent_heartbeat
{
    mono_time at{};
    heartbeat sent;
};

/// Simulates a sidecar that sends heartbeats, drains and restarts. Its
/// heartbeats arrive late, in any order, or never. The reference model stores
/// all heartbeats that arrived.
class sidecar_simulation
{
public:
    void run(const choices& script)
    {
        for (const std::uint16_t choice : script)
        {
            step(choice % 8U, choice / 8U);
            check();
        }
    }

private:
    void step(unsigned action, unsigned detail)
    {
        now_ += milliseconds(1 + detail % 300);
        switch (action)
        {
        case 0:
            incarnation_ = incarnation{incarnation_.value() + 1};
            draining_ = false;
            break;
        case 1:
            draining_ = true;
            break;
        case 2:
        case 3:
        case 4:
            sent_.push_back({now_, {upstream, incarnation_, draining_}});
            break;
        default:
            if (!sent_.empty())
            {
                deliver(sent_[detail % sent_.size()]);
            }
            break;
        }
    }

    void deliver(const sent_heartbeat& delivered)
    {
        arrived_.push_back(delivered);
        view_.handle(
            heartbeat_received{delivered.sent, now_ - delivered.at}, now_);
    }

    void check() const
    {
        std::optional<sent_heartbeat> newest;
        for (const sent_heartbeat& each : arrived_)
        {
            if (!newest || each.at > newest->at)
            {
                newest = each;
            }
        }
        const upstream_status status = view_.status_of(upstream, now_);
        if (!newest)
        {
            RC_ASSERT(status == upstream_status::unknown);
            return;
        }
        RC_ASSERT(
            view_.incarnation_of(upstream) == newest->sent.sender_incarnation);
        const bool silent = now_ - newest->at > milliseconds(2000);
        if (newest->sent.draining)
        {
            RC_ASSERT(status == upstream_status::leaving);
        }
        else
        {
            RC_ASSERT(
                status == (silent ? upstream_status::suspected
                                  : upstream_status::serving));
        }
    }

    mono_time now_{milliseconds(10'000)};
    incarnation incarnation_{1};
    bool draining_ = false;
    std::vector<sent_heartbeat> sent_;
    std::vector<sent_heartbeat> arrived_;
    membership_view view_{{}};
};

TEST(membership_view_property, view_follows_newest_heartbeat_in_any_order)
{
    constexpr int histories = 20'000;
    check_property(
        histories,
        [](const choices& script) { sidecar_simulation().run(script); });
}

class membership_view_test : public testing::Test
{
protected:
    void receive_heartbeat(
        std::uint64_t sender, bool draining, milliseconds age)
    {
        view_.handle(
            heartbeat_received{{upstream, incarnation{sender}, draining}, age},
            now_);
    }

    mono_time now_{milliseconds(10'000)};
    membership_view view_{{}};
};

TEST_F(
    membership_view_test,
    older_draining_heartbeat_stops_new_work_in_same_incarnation)
{
    receive_heartbeat(1, false, milliseconds(100));
    receive_heartbeat(1, true, milliseconds(300));
    EXPECT_EQ(view_.status_of(upstream, now_), upstream_status::leaving);
    receive_heartbeat(1, false, milliseconds(0));
    EXPECT_EQ(view_.status_of(upstream, now_), upstream_status::leaving);
}

TEST_F(membership_view_test, new_incarnation_after_drain_serves_again)
{
    receive_heartbeat(1, true, milliseconds(100));
    receive_heartbeat(2, false, milliseconds(0));
    EXPECT_TRUE(view_.accepts_new_work(upstream, now_));
}

TEST_F(
    membership_view_test, vm_listed_as_leaving_gets_no_work_despite_heartbeats)
{
    receive_heartbeat(1, false, milliseconds(0));
    view_.handle(vm_listed{upstream, vm_id{"vm-1"}, true}, now_);
    view_.handle(vm_listed{upstream, vm_id{"vm-1"}, false}, now_);
    EXPECT_EQ(view_.status_of(upstream, now_), upstream_status::leaving);
    view_.handle(vm_listed{upstream, vm_id{"vm-2"}, false}, now_);
    EXPECT_EQ(view_.status_of(upstream, now_), upstream_status::serving);
}

TEST(cells, additional_cell_receives_its_share_and_nothing_else_moves)
{
    constexpr std::uint32_t cells = 16;
    constexpr int upstreams = 1600;
    int moved = 0;
    for (int i = 0; i < upstreams; ++i)
    {
        const upstream_id id{"engine-" + std::to_string(i)};
        const cell_id before = cell_of(id, cells);
        const cell_id after = cell_of(id, cells + 1);
        EXPECT_TRUE(after == before || after == cell_id{cells});
        moved += after == before ? 0 : 1;
    }
    EXPECT_GT(moved, 40);
    EXPECT_LT(moved, 200);
}

} // namespace
} // namespace wagtailseam::membership
