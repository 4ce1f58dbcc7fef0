// Tests of the estimate of an engine's free memory.
#include "serving/memory_estimate.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::serving
{
namespace
{

using std::chrono::milliseconds;

class memory_estimate_fixture : public testing::Test
{
protected:
    [[nodiscard]] bool fits(
        std::uint64_t used, std::uint64_t tokens,
        std::uint64_t other_pending = 0) const
    {
        return estimate_.fits(
            {token_count{used}, token_count{1000}}, token_count{other_pending},
            token_count{tokens}, now_);
    }

    memory_estimate estimate_{{.max_share = 0.9}};
    mono_time now_{std::chrono::seconds(100)};
};

TEST_F(memory_estimate_fixture, request_fits_up_to_the_share)
{
    EXPECT_TRUE(fits(500, 400));
    EXPECT_FALSE(fits(500, 401));
}

TEST_F(memory_estimate_fixture, largest_request_fits_a_nearly_empty_engine)
{
    EXPECT_TRUE(fits(100, 900));
    EXPECT_FALSE(fits(101, 899));
    EXPECT_FALSE(fits(0, 1001));
}

TEST_F(memory_estimate_fixture, unknown_memory_fits_everything)
{
    EXPECT_TRUE(estimate_.fits({}, {}, token_count{1'000'000}, now_));
}

TEST_F(memory_estimate_fixture, requests_of_all_gateways_need_memory)
{
    estimate_.begin(token_count{100});
    EXPECT_TRUE(fits(500, 200, 100));
    EXPECT_FALSE(fits(500, 201, 100));
}

TEST_F(memory_estimate_fixture, request_counts_until_a_report_includes_it)
{
    estimate_.begin(token_count{300});
    estimate_.finish_prefill(token_count{300}, now_);
    EXPECT_EQ(estimate_.pending(), token_count{});
    EXPECT_FALSE(fits(500, 200));
    now_ += memory_estimate_options{}.report_age;
    EXPECT_TRUE(fits(500, 200));
}

TEST_F(memory_estimate_fixture, pending_tokens_do_not_become_negative)
{
    estimate_.finish_prefill(token_count{300}, now_);
    EXPECT_EQ(estimate_.pending(), token_count{});
}

} // namespace
} // namespace wagtailseam::serving
