// Each announced weight version keeps its own deadline.
#include "serving/weight_announcements.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::serving
{
namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

class weight_announcements_fixture : public testing::Test
{
protected:
    void announce(std::uint64_t version, duration at, bool at_startup = false)
    {
        announcements_.add(
            {.version = weight_version{version},
             .received_at = start_ + at,
             .at_startup = at_startup});
    }

    [[nodiscard]] std::uint64_t required_at(duration at) const
    {
        return announcements_
            .newest_older_than(seconds(8), seconds(3), start_ + at)
            .value_or(weight_version{0})
            .value();
    }

    weight_announcements announcements_;
    mono_time start_{seconds(1000)};
};

// Guards against requests that begin on replaced weights because a later
// announcement extends the deadline of an earlier one.
TEST_F(
    weight_announcements_fixture,
    later_announcement_does_not_extend_deadline_of_earlier_one)
{
    announce(2, seconds(0));
    announce(3, seconds(6));
    announce(4, seconds(7));
    EXPECT_EQ(required_at(seconds(8)), 0U);
    EXPECT_EQ(required_at(seconds(9)), 2U);
    EXPECT_EQ(required_at(seconds(15)), 3U);
    EXPECT_EQ(required_at(seconds(16)), 4U);
}

TEST_F(
    weight_announcements_fixture,
    oldest_announcement_newer_than_running_version_applies_to_engine)
{
    announce(2, seconds(0));
    announce(4, seconds(6));
    ASSERT_NE(announcements_.oldest_newer_than(weight_version{1}), nullptr);
    EXPECT_EQ(
        announcements_.oldest_newer_than(weight_version{1})->received_at,
        start_);
    EXPECT_EQ(
        announcements_.oldest_newer_than(weight_version{3})->version,
        weight_version{4});
    EXPECT_EQ(announcements_.oldest_newer_than(weight_version{4}), nullptr);
}

TEST_F(
    weight_announcements_fixture, announcement_at_startup_has_shorter_deadline)
{
    announce(2, seconds(0), true);
    EXPECT_EQ(required_at(seconds(3)), 0U);
    EXPECT_EQ(required_at(seconds(4)), 2U);
}

TEST_F(weight_announcements_fixture, older_version_is_not_added)
{
    announce(3, seconds(0));
    announce(2, seconds(1));
    EXPECT_EQ(announcements_.newest()->version, weight_version{3});
    EXPECT_EQ(
        announcements_.oldest_newer_than(weight_version{1})->version,
        weight_version{3});
}

TEST_F(
    weight_announcements_fixture,
    old_announcements_are_dropped_without_relaxing_deadlines)
{
    announce(2, minutes(2));
    for (std::uint64_t version = 3; version < 200; ++version)
    {
        announce(version, minutes(version));
        ASSERT_LE(version - required_at(minutes(version)), 1U);
    }
    // An engine that never loaded any is still due at once.
    const auto* const due = announcements_.oldest_newer_than(weight_version{1});
    ASSERT_NE(due, nullptr);
    EXPECT_GE(due->version, weight_version{197});
    EXPECT_LT(due->received_at, start_ + minutes(199));
}

} // namespace
} // namespace wagtailseam::serving
