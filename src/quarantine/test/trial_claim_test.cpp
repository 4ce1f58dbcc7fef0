// Tests of the claims of trials.
#include "quarantine/trial_claim.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::quarantine
{
namespace
{

using std::chrono::hours;
using std::chrono::seconds;

class trial_claim_fixture : public testing::Test
{
protected:
    const wall_time now_ = wall_time(hours(1000));
    const trial_claim claim_{vm_id("front-1"), now_ + trial_claim_time};
};

TEST_F(trial_claim_fixture, encoded_claim_is_decoded_unchanged)
{
    const auto decoded = decode_trial_claim(encode(claim_));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), claim_);
}

TEST_F(trial_claim_fixture, malformed_rows_are_rejected)
{
    for (const char* const row :
         {"", "[]", "1", R"({"vm":"a"})", R"({"vm":1,"expires_us":1})",
          R"({"vm":"a","expires_us":"1"})", R"({"vm":"a","expires_us":1.5})"})
    {
        EXPECT_FALSE(decode_trial_claim(row)) << row;
    }
}

TEST_F(trial_claim_fixture, claim_is_held_until_it_expires)
{
    EXPECT_TRUE(is_held(claim_, now_));
    EXPECT_TRUE(is_held(claim_, now_ + trial_claim_time - seconds(1)));
    EXPECT_FALSE(is_held(claim_, now_ + trial_claim_time));
}

TEST_F(trial_claim_fixture, claim_of_a_clock_far_ahead_is_not_held)
{
    EXPECT_TRUE(is_held(claim_, now_ - seconds(5)));
    EXPECT_FALSE(is_held(claim_, now_ - seconds(6)));
}

} // namespace
} // namespace wagtailseam::quarantine
