// Tests until when removed upstreams are used, with and without an outage of
// the list around the removal.
#include "serving/removal_grace.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds drain_deadline{2000};
constexpr milliseconds resync_deadline{3000};
/// From the confirmation of a removal to its receipt by a gateway that reads
/// the list, and from the choice of an upstream to the receipt of the request.
constexpr milliseconds delivery_delay{400};
constexpr milliseconds send_delay{300};

class removal_grace_fixture : public testing::Test
{
protected:
    static mono_time at(milliseconds time) { return mono_time(time); }

    /// An outage of some seconds.
    static std::vector<store_outage> outage(
        milliseconds last_failed_read, milliseconds ended_at)
    {
        return {
            {at(last_failed_read - seconds(5)), at(last_failed_read),
             at(ended_at)}};
    }

    removal_grace grace_;
};

TEST_F(removal_grace_fixture, confirmed_removal_is_followed_within_the_deadline)
{
    EXPECT_LE(grace_.longest_path(), drain_deadline);
    EXPECT_LE(
        grace_.end_of_use(at(delivery_delay), {}) + send_delay,
        at(drain_deadline));
    EXPECT_FALSE(grace_.may_have_lapsed(at(delivery_delay), {}));
}

/// Guards against DRAIN: a removal after an outage was followed as late as one
/// that the outage itself had caused.
TEST_F(removal_grace_fixture, outage_before_a_removal_does_not_extend_the_use)
{
    const auto before = outage(milliseconds(0), milliseconds(450));
    const milliseconds confirmed(1500);
    EXPECT_LE(
        grace_.end_of_use(at(confirmed + delivery_delay), before) + send_delay,
        at(confirmed + drain_deadline));
}

TEST_F(removal_grace_fixture, entry_that_lapsed_is_used_until_it_is_relisted)
{
    const milliseconds returned(450);
    const auto away = outage(milliseconds(0), returned);
    EXPECT_GE(grace_.end_of_use(at(returned), away), at(returned + seconds(2)));
    EXPECT_TRUE(grace_.may_have_lapsed(at(returned), away));
    EXPECT_FALSE(grace_.may_have_lapsed(at(returned + seconds(3)), away));
}

TEST_F(
    removal_grace_fixture, settings_with_a_short_deadline_end_the_use_at_once)
{
    const removal_grace short_grace({.drain_deadline = milliseconds(500)});
    EXPECT_EQ(
        short_grace.end_of_use(at(milliseconds(7)), {}), at(milliseconds(7)));
}

/// A process is held to the deadline once it has had the resync time since the
/// end of its outage, whenever the removal was confirmed.
RC_GTEST_PROP(removal_grace, no_request_is_late, ())
{
    const milliseconds failed(0);
    // The outage ended at some time after the last failed read began.
    const milliseconds outage_ended(*rc::gen::inRange(0, 3000));
    const milliseconds noticed =
        outage_ended + milliseconds(*rc::gen::inRange(0, 3000));
    const milliseconds confirmed(*rc::gen::inRange(-5000, 8000));
    const auto received =
        std::max(noticed, confirmed + milliseconds(*rc::gen::inRange(0, 400)));
    const std::vector<store_outage> before{
        {mono_time(failed - seconds(5)), mono_time(failed),
         mono_time(noticed)}};
    const auto last_arrival =
        removal_grace().end_of_use(mono_time(received), before) + send_delay;
    const auto allowed = std::max(
        {confirmed + drain_deadline, outage_ended + resync_deadline,
         noticed + drain_deadline});
    RC_ASSERT(last_arrival <= mono_time(allowed));
}

} // namespace
} // namespace wagtailseam::serving
