// Views of upstreams from words that arrive late and in any order; cells.
#include "core/test/histories.hpp"
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

/// What the sidecar said, and when, over all its lives.
struct said
{
    mono_time at{};
    own_word word;
};

/// One sidecar that speaks, drains and restarts; its words arrive late, in
/// any order, or never. The oracle keeps every word that arrived.
class world
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
    void step(unsigned kind, unsigned detail)
    {
        now_ += milliseconds(1 + detail % 300);
        switch (kind)
        {
        case 0:
            life_ = incarnation{life_.value() + 1};
            draining_ = false;
            break;
        case 1:
            draining_ = true;
            break;
        case 2:
        case 3:
        case 4:
            spoken_.push_back({now_, {upstream, life_, draining_}});
            break;
        default:
            if (!spoken_.empty())
            {
                deliver(spoken_[detail % spoken_.size()]);
            }
            break;
        }
    }

    void deliver(const said& each)
    {
        arrived_.push_back(each);
        view_.handle(word_heard{each.word, now_ - each.at}, now_);
    }

    void check() const
    {
        std::optional<said> youngest;
        for (const said& each : arrived_)
        {
            if (!youngest || each.at > youngest->at)
            {
                youngest = each;
            }
        }
        const standing believed = view_.standing_of(upstream, now_);
        if (!youngest)
        {
            RC_ASSERT(believed == standing::unknown);
            return;
        }
        RC_ASSERT(view_.life_of(upstream) == youngest->word.life);
        const bool silent = now_ - youngest->at > milliseconds(2000);
        if (youngest->word.draining)
        {
            RC_ASSERT(believed == standing::leaving);
        }
        else
        {
            RC_ASSERT(
                believed == (silent ? standing::suspected : standing::serving));
        }
    }

    mono_time now_{milliseconds(10'000)};
    incarnation life_{1};
    bool draining_ = false;
    std::vector<said> spoken_;
    std::vector<said> arrived_;
    view_core view_{{}};
};

TEST(view_property, view_follows_the_youngest_word_in_any_order)
{
    constexpr int histories = 20'000;
    check_histories(
        histories, [](const choices& script) { world().run(script); });
}

class view_core_fixture : public testing::Test
{
protected:
    void hear(std::uint64_t life, bool draining, milliseconds age)
    {
        view_.handle(
            word_heard{{upstream, incarnation{life}, draining}, age}, now_);
    }

    mono_time now_{milliseconds(10'000)};
    view_core view_{{}};
};

TEST_F(view_core_fixture, older_word_that_drains_ends_new_work_in_same_life)
{
    hear(1, false, milliseconds(100));
    hear(1, true, milliseconds(300));
    EXPECT_EQ(view_.standing_of(upstream, now_), standing::leaving);
    hear(1, false, milliseconds(0));
    EXPECT_EQ(view_.standing_of(upstream, now_), standing::leaving);
}

TEST_F(view_core_fixture, new_life_after_a_drain_serves_again)
{
    hear(1, true, milliseconds(100));
    hear(2, false, milliseconds(0));
    EXPECT_TRUE(view_.may_try(upstream, now_));
}

TEST_F(view_core_fixture, vm_listed_as_leaving_gets_no_work_though_it_speaks)
{
    hear(1, false, milliseconds(0));
    view_.handle(vm_listed{upstream, vm_id{"vm-1"}, true}, now_);
    view_.handle(vm_listed{upstream, vm_id{"vm-1"}, false}, now_);
    EXPECT_EQ(view_.standing_of(upstream, now_), standing::leaving);
    view_.handle(vm_listed{upstream, vm_id{"vm-2"}, false}, now_);
    EXPECT_EQ(view_.standing_of(upstream, now_), standing::serving);
}

TEST(cells, one_more_cell_moves_about_its_share_and_only_to_the_new_cell)
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
