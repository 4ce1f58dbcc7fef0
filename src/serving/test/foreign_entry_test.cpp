// Entries of other writers that name the address of an upstream that runs.
#include "serving/load_balancer.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::serving
{
namespace
{

const service_id engines{"engines"};
const service_id ledgers{"ledgers"};
const service_id unnamed{"unnamed"};
const http::address address{"10.0.0.1:80"};
const upstream_id sound_id{"sound"};
const upstream_id foreign_id{"foreign"};
constexpr std::uint64_t sound_start = 1000;

upstream entry_of(
    const upstream_id& id, const service_id& service, std::uint64_t started_ms)
{
    return {
        .id = id,
        .service = service,
        .address = address,
        .started_ms = started_ms};
}

class foreign_entry_fixture : public testing::Test
{
protected:
    foreign_entry_fixture()
    {
        balancer_.set_services({engines, ledgers});
        balancer_.upsert(sound_);
    }

    [[nodiscard]] bool is_sound_used() const
    {
        return !balancer_.is_leaving(sound_id, now_);
    }

    mono_time now_{std::chrono::seconds(100)};
    upstream sound_ = entry_of(sound_id, engines, sound_start);
    load_balancer balancer_;
};

// Guards against STARVED: an entry whose service no configuration names removed
// the upstream at its address for good.
TEST_F(foreign_entry_fixture, entry_of_an_unnamed_service_supersedes_nobody)
{
    const auto foreign = entry_of(foreign_id, unnamed, sound_start + 1);
    EXPECT_TRUE(balancer_.upsert(foreign).empty());
    EXPECT_TRUE(is_sound_used());
    EXPECT_TRUE(balancer_.replace({sound_, foreign}, {}, now_).empty());
    EXPECT_TRUE(is_sound_used());
}

TEST_F(foreign_entry_fixture, entry_counts_once_its_service_is_named)
{
    balancer_.upsert(entry_of(foreign_id, unnamed, sound_start + 1));
    balancer_.set_services({engines, unnamed});
    EXPECT_FALSE(is_sound_used());
    balancer_.set_services({engines});
    EXPECT_TRUE(is_sound_used());
}

// Guards against STARVED: the upstream did not come back after the entry that
// superseded it was gone.
TEST_F(foreign_entry_fixture, upstream_is_used_again_after_the_later_entry)
{
    const auto foreign = entry_of(foreign_id, engines, sound_start + 1);
    EXPECT_EQ(balancer_.upsert(foreign), std::vector{sound_});
    EXPECT_FALSE(is_sound_used());
    balancer_.remove(foreign_id, {}, now_);
    EXPECT_TRUE(is_sound_used());
    balancer_.upsert(foreign);
    EXPECT_FALSE(is_sound_used());
    balancer_.replace({sound_}, std::chrono::seconds(9), now_);
    EXPECT_TRUE(is_sound_used());
}

TEST_F(foreign_entry_fixture, upstream_is_used_again_if_the_later_entry_moves)
{
    auto foreign = entry_of(foreign_id, engines, sound_start + 1);
    balancer_.upsert(foreign);
    foreign.address = http::address{"10.0.0.2:80"};
    balancer_.upsert(foreign);
    EXPECT_TRUE(is_sound_used());
    EXPECT_FALSE(balancer_.is_leaving(foreign_id, now_));
}

TEST_F(foreign_entry_fixture, misdirected_entry_supersedes_nobody)
{
    balancer_.upsert(entry_of(foreign_id, engines, sound_start + 1));
    balancer_.record_result(foreign_id, misdirected{}, now_);
    EXPECT_TRUE(is_sound_used());
    EXPECT_TRUE(balancer_.is_leaving(foreign_id, now_));
}

TEST_F(foreign_entry_fixture, later_entry_is_not_used_while_the_upstream_runs)
{
    auto foreign = entry_of(foreign_id, ledgers, sound_start + 1);
    balancer_.upsert(foreign);
    balancer_.record_running(process_of(sound_));
    EXPECT_TRUE(is_sound_used());
    EXPECT_TRUE(balancer_.is_leaving(foreign_id, now_));
    // The same process with other news.
    foreign.slots = 7;
    EXPECT_TRUE(balancer_.upsert(foreign).empty());
    EXPECT_TRUE(is_sound_used());
    // A later process may run there.
    const auto disproved = foreign;
    foreign.started_ms += 1;
    EXPECT_EQ(balancer_.upsert(foreign), (std::vector{disproved, sound_}));
    EXPECT_FALSE(is_sound_used());
    EXPECT_FALSE(balancer_.is_leaving(foreign_id, now_));
}

TEST_F(foreign_entry_fixture, software_of_a_superseded_upstream_does_not_count)
{
    auto later = entry_of(foreign_id, engines, sound_start + 1);
    later.software = software_version{"2"};
    balancer_.upsert(later);
    EXPECT_EQ(
        balancer_.software_versions(engines, now_),
        std::set{software_version{"2"}});
}

/// Any order of additions, changes and removals of entries that name no
/// upstream leaves the use of the others as it is.
RC_GTEST_PROP(foreign_entries, entries_of_unnamed_services_change_nothing, ())
{
    constexpr std::size_t count = 3;
    const mono_time now{std::chrono::seconds(100)};
    load_balancer balancer;
    std::vector<upstream> sound;
    for (std::size_t i = 0; i < count; ++i)
    {
        auto entry = entry_of(
            upstream_id{"s" + std::to_string(i)}, engines, sound_start);
        entry.address = http::address{"10.0.0." + std::to_string(i) + ":80"};
        sound.push_back(entry);
        balancer.upsert(entry);
    }
    balancer.set_services({engines});
    std::map<upstream_id, upstream> foreign;
    const auto steps = *rc::gen::inRange(1, 20);
    for (int step = 0; step < steps; ++step)
    {
        const upstream_id id{"f" + std::to_string(*rc::gen::inRange(0, 4))};
        const auto target = *rc::gen::inRange<std::size_t>(0, count);
        auto entry = entry_of(
            id, unnamed, *rc::gen::inRange<std::uint64_t>(0, 2 * sound_start));
        entry.address = sound[target].address;
        entry.draining = *rc::gen::arbitrary<bool>();
        switch (*rc::gen::inRange(0, 4))
        {
        case 0:
            balancer.remove(id, {}, now);
            foreign.erase(id);
            break;
        case 1:
        {
            auto listed = sound;
            for (const auto& [key, other] : foreign)
            {
                listed.insert(listed.begin(), other);
            }
            RC_ASSERT(balancer.replace(listed, {}, now).empty());
            break;
        }
        case 2:
            RC_ASSERT(balancer.upsert(sound[target]).empty());
            break;
        default:
            for (const auto& ended : balancer.upsert(entry))
            {
                // It may end an earlier process of its own id only.
                RC_ASSERT(ended.id == id);
            }
            foreign.insert_or_assign(id, entry);
        }
        for (const auto& each : sound)
        {
            RC_ASSERT(!balancer.is_leaving(each.id, now));
        }
    }
}

} // namespace
} // namespace wagtailseam::serving
