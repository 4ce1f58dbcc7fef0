// Frames that are duplicated, reordered, lost or another attempt's.
#include "attempt/frame_assembler.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace wagtailseam::attempt
{
namespace
{

const attempt_id mine{request_id{"r"}, attempt_number{1}};
const attempt_id other{request_id{"r"}, attempt_number{2}};
const incarnation sidecar_incarnation{7};

std::string payload_of(std::uint64_t number)
{
    return "part " + std::to_string(number);
}

frame frame_of(std::uint64_t number, const attempt_id& attempt = mine)
{
    return {attempt, sidecar_incarnation, number, payload_of(number)};
}

end_frame end_of(std::uint64_t count)
{
    sha256_stream all;
    for (std::uint64_t i = 0; i < count; ++i)
    {
        all.update(payload_of(i));
    }
    return {mine, sidecar_incarnation, count, all.value(), 200};
}

struct frame_assembler_test : testing::Test
{
    frame_assembler assembler{mine, sidecar_incarnation};
};

TEST_F(frame_assembler_test, frame_of_other_attempt_is_dropped_and_counted)
{
    EXPECT_EQ(
        assembler.accept(frame_of(0, other)).error().code,
        result_code::frame_of_other_attempt);
    frame of_other_incarnation = frame_of(0);
    of_other_incarnation.sidecar_incarnation = incarnation{8};
    EXPECT_FALSE(assembler.accept(of_other_incarnation));
    EXPECT_EQ(assembler.dropped().of_other_attempt, 2U);
    EXPECT_EQ(assembler.next_number(), 0U);
}

TEST_F(frame_assembler_test, end_before_the_last_frame_is_not_complete)
{
    ASSERT_TRUE(assembler.accept(frame_of(0)));
    EXPECT_EQ(
        assembler.finish(end_of(2)).error().code,
        result_code::frame_count_mismatch);
    EXPECT_FALSE(assembler.complete());
    ASSERT_TRUE(assembler.accept(frame_of(1)));
    EXPECT_TRUE(assembler.finish(end_of(2)));
    EXPECT_TRUE(assembler.complete());
}

TEST_F(frame_assembler_test, altered_payload_fails_the_digest)
{
    frame altered = frame_of(0);
    altered.payload += "!";
    ASSERT_TRUE(assembler.accept(altered));
    EXPECT_EQ(
        assembler.finish(end_of(1)).error().code,
        result_code::frame_digest_mismatch);
    EXPECT_FALSE(assembler.complete());
}

/// Whatever arrives, what was taken is a prefix of the answer, and complete
/// means all of it.
RC_GTEST_PROP(frame_assembler_property, any_arrivals_give_a_prefix, ())
{
    const auto count = *rc::gen::inRange<std::uint64_t>(0, 8);
    const auto arrivals =
        *rc::gen::container<std::vector<std::pair<std::uint64_t, bool>>>(
            rc::gen::pair(
                rc::gen::inRange<std::uint64_t>(0, 9),
                rc::gen::weightedElement<bool>({{4, true}, {1, false}})));
    frame_assembler assembler(mine, sidecar_incarnation);
    std::string taken;
    for (const auto& [number, of_mine] : arrivals)
    {
        if (number == count)
        {
            (void)assembler.finish(end_of(count));
            continue;
        }
        const frame received = frame_of(number, of_mine ? mine : other);
        if (assembler.accept(received))
        {
            taken += received.payload;
        }
    }
    std::string prefix;
    for (std::uint64_t i = 0; i < assembler.next_number(); ++i)
    {
        prefix += payload_of(i);
    }
    RC_ASSERT(taken == prefix);
    RC_ASSERT(!assembler.complete() || assembler.next_number() == count);
    // Resuming at next_number() always completes an answer.
    for (std::uint64_t i = assembler.next_number(); i < count; ++i)
    {
        RC_ASSERT(assembler.accept(frame_of(i)).has_value());
    }
    if (assembler.next_number() == count)
    {
        RC_ASSERT(assembler.finish(end_of(count)).has_value());
    }
}

} // namespace
} // namespace wagtailseam::attempt
