// Tests frames that are duplicated, reordered, lost or of another attempt.
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

const attempt_id own_attempt{request_id{"r"}, attempt_number{1}};
const attempt_id other_attempt{request_id{"r"}, attempt_number{2}};
const incarnation sidecar_incarnation{7};

std::string make_payload(std::uint64_t number)
{
    return "part " + std::to_string(number);
}

frame make_frame(std::uint64_t number, const attempt_id& attempt = own_attempt)
{
    return {attempt, sidecar_incarnation, number, make_payload(number)};
}

end_frame make_end_frame(std::uint64_t count)
{
    sha256_stream all;
    for (std::uint64_t i = 0; i < count; ++i)
    {
        all.update(make_payload(i));
    }
    return {own_attempt, sidecar_incarnation, count, all.value(), 200};
}

struct frame_assembler_test : testing::Test
{
    frame_assembler assembler{own_attempt, sidecar_incarnation};
};

TEST_F(frame_assembler_test, frame_of_other_attempt_is_dropped_and_counted)
{
    EXPECT_EQ(
        assembler.accept(make_frame(0, other_attempt)).error().code,
        result_code::frame_of_other_attempt);
    frame other_incarnation = make_frame(0);
    other_incarnation.sidecar_incarnation = incarnation{8};
    EXPECT_FALSE(assembler.accept(other_incarnation));
    EXPECT_EQ(assembler.dropped().of_other_attempt, 2U);
    EXPECT_EQ(assembler.next_number(), 0U);
}

TEST_F(frame_assembler_test, end_frame_before_last_frame_is_not_complete)
{
    ASSERT_TRUE(assembler.accept(make_frame(0)));
    EXPECT_EQ(
        assembler.finish(make_end_frame(2)).error().code,
        result_code::frame_count_mismatch);
    EXPECT_FALSE(assembler.complete());
    ASSERT_TRUE(assembler.accept(make_frame(1)));
    EXPECT_TRUE(assembler.finish(make_end_frame(2)));
    EXPECT_TRUE(assembler.complete());
}

TEST_F(frame_assembler_test, altered_payload_is_digest_mismatch)
{
    frame altered = make_frame(0);
    altered.payload += "!";
    ASSERT_TRUE(assembler.accept(altered));
    EXPECT_EQ(
        assembler.finish(make_end_frame(1)).error().code,
        result_code::frame_digest_mismatch);
    EXPECT_FALSE(assembler.complete());
}

/// For any sequence of frames, the accepted frames form a prefix of the answer,
/// and complete() means that it is the whole answer.
RC_GTEST_PROP(
    frame_assembler_property, any_sequence_of_frames_gives_a_prefix, ())
{
    const auto count = *rc::gen::inRange<std::uint64_t>(0, 8);
    const auto arrivals =
        *rc::gen::container<std::vector<std::pair<std::uint64_t, bool>>>(
            rc::gen::pair(
                rc::gen::inRange<std::uint64_t>(0, 9),
                rc::gen::weightedElement<bool>({{4, true}, {1, false}})));
    frame_assembler assembler(own_attempt, sidecar_incarnation);
    std::string accepted;
    for (const auto& [number, is_own] : arrivals)
    {
        if (number == count)
        {
            (void)assembler.finish(make_end_frame(count));
            continue;
        }
        const frame received =
            make_frame(number, is_own ? own_attempt : other_attempt);
        if (assembler.accept(received))
        {
            accepted += received.payload;
        }
    }
    std::string prefix;
    for (std::uint64_t i = 0; i < assembler.next_number(); ++i)
    {
        prefix += make_payload(i);
    }
    RC_ASSERT(accepted == prefix);
    RC_ASSERT(!assembler.complete() || assembler.next_number() == count);
    // Resuming at next_number() always completes an answer.
    for (std::uint64_t i = assembler.next_number(); i < count; ++i)
    {
        RC_ASSERT(assembler.accept(make_frame(i)).has_value());
    }
    if (assembler.next_number() == count)
    {
        RC_ASSERT(assembler.finish(make_end_frame(count)).has_value());
    }
}

} // namespace
} // namespace wagtailseam::attempt
