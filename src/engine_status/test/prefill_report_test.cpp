// Claims of gateways that die, restart, and whose datagrams are lost or late.
#include "engine_status/prefill_report.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::engine_status
{
namespace
{

using std::chrono::milliseconds;

struct claim_fixture : testing::Test
{
    prefill_report_table book;
    mono_time now{std::chrono::seconds(100)};

    bool say(
        const std::string& gateway, std::uint64_t sequence_number,
        std::uint32_t prompts, std::uint64_t incarnation = 1)
    {
        return book.update(
            {.gateway = vm_id{gateway},
             .upstream = upstream_id{"e"},
             .incarnation = incarnation,
             .sequence_number = sequence_number,
             .unread =
                 {.prompts = prompts, .reading = milliseconds(10 * prompts)}},
            now);
    }
};

TEST_F(claim_fixture, claims_of_all_gateways_add_up)
{
    EXPECT_TRUE(say("a", 1, 2));
    EXPECT_TRUE(say("b", 1, 3));
    EXPECT_EQ(book.total(now).prompts, 5U);
    EXPECT_EQ(book.total(now).reading, milliseconds(50));
    EXPECT_EQ(book.from_gateway(vm_id{"a"}, now).prompts, 2U);
}

TEST_F(claim_fixture, late_datagram_does_not_bring_back_an_older_claim)
{
    say("a", 2, 0);
    EXPECT_FALSE(say("a", 1, 4));
    EXPECT_EQ(book.total(now).prompts, 0U);
}

TEST_F(claim_fixture, restarted_gateway_begins_anew)
{
    say("a", 9, 4);
    say("a", 1, 1, 2);
    EXPECT_EQ(book.total(now).prompts, 1U);
}

TEST_F(claim_fixture, claim_of_a_dead_gateway_ends)
{
    say("a", 1, 4);
    now += milliseconds(1301);
    EXPECT_EQ(book.total(now).prompts, 0U);
    EXPECT_FALSE(book.has_live_reports(now));
}

RC_GTEST_PROP(claim_property, any_claim_survives_its_datagram, ())
{
    const prefill_report said{
        .gateway =
            vm_id{*rc::gen::container<std::string>(rc::gen::inRange('a', 'z'))},
        .upstream = upstream_id{"e"},
        .incarnation = *rc::gen::arbitrary<std::uint64_t>(),
        .sequence_number = *rc::gen::arbitrary<std::uint64_t>(),
        .unread = {
            .prompts = *rc::gen::arbitrary<std::uint32_t>(),
            .reading = duration(*rc::gen::inRange<duration::rep>(0, 1 << 30))}};
    const auto read = decode_prefill_report(encode(said));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read.value().gateway == said.gateway);
    RC_ASSERT(read.value().incarnation == said.incarnation);
    RC_ASSERT(read.value().sequence_number == said.sequence_number);
    RC_ASSERT(read.value().unread == said.unread);
}

RC_GTEST_PROP(claim_property, any_bytes_are_read_or_refused, ())
{
    (void)decode_prefill_report("P" + *rc::gen::arbitrary<std::string>());
}

} // namespace
} // namespace wagtailseam::engine_status
