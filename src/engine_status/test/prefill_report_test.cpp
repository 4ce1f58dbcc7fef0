// Prefill reports of gateways that stop or restart, and reports that arrive
// late.
#include "engine_status/prefill_report.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::engine_status
{
namespace
{

using std::chrono::milliseconds;

struct prefill_report_table_fixture : testing::Test
{
    prefill_report_table table;
    mono_time now{std::chrono::seconds(100)};

    bool update(
        const std::string& gateway, std::uint64_t sequence_number,
        std::uint32_t prompts, std::uint64_t incarnation = 1)
    {
        return table.update(
            {.gateway = vm_id{gateway},
             .upstream = upstream_id{"e"},
             .incarnation = incarnation,
             .sequence_number = sequence_number,
             .pending_prefill =
                 {.prompts = prompts,
                  .prefill_time = milliseconds(10 * prompts)}},
            now);
    }
};

TEST_F(prefill_report_table_fixture, reports_of_all_gateways_are_added_up)
{
    EXPECT_TRUE(update("a", 1, 2));
    EXPECT_TRUE(update("b", 1, 3));
    EXPECT_EQ(table.total(now).prompts, 5U);
    EXPECT_EQ(table.total(now).prefill_time, milliseconds(50));
    EXPECT_EQ(table.from_gateway(vm_id{"a"}, now).prompts, 2U);
}

TEST_F(
    prefill_report_table_fixture, late_datagram_does_not_replace_newer_report)
{
    update("a", 2, 0);
    EXPECT_FALSE(update("a", 1, 4));
    EXPECT_EQ(table.total(now).prompts, 0U);
}

TEST_F(
    prefill_report_table_fixture,
    report_of_restarted_gateway_replaces_previous_report)
{
    update("a", 9, 4);
    update("a", 1, 1, 2);
    EXPECT_EQ(table.total(now).prompts, 1U);
}

TEST_F(prefill_report_table_fixture, report_of_stopped_gateway_expires)
{
    update("a", 1, 4);
    now += milliseconds(1301);
    EXPECT_EQ(table.total(now).prompts, 0U);
    EXPECT_FALSE(table.has_live_reports(now));
}

RC_GTEST_PROP(
    prefill_report_property, any_report_decodes_to_its_encoded_value, ())
{
    const prefill_report report{
        .gateway =
            vm_id{*rc::gen::container<std::string>(rc::gen::inRange('a', 'z'))},
        .upstream = upstream_id{"e"},
        .incarnation = *rc::gen::arbitrary<std::uint64_t>(),
        .sequence_number = *rc::gen::arbitrary<std::uint64_t>(),
        .pending_prefill = {
            .prompts = *rc::gen::arbitrary<std::uint32_t>(),
            .prefill_time =
                duration(*rc::gen::inRange<duration::rep>(0, 1 << 30)),
            .tokens = token_count{*rc::gen::arbitrary<std::uint32_t>()}}};
    const auto decoded = decode_prefill_report(encode(report));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value().gateway == report.gateway);
    RC_ASSERT(decoded.value().incarnation == report.incarnation);
    RC_ASSERT(decoded.value().sequence_number == report.sequence_number);
    RC_ASSERT(decoded.value().pending_prefill == report.pending_prefill);
}

RC_GTEST_PROP(prefill_report_property, any_bytes_are_decoded_or_rejected, ())
{
    (void)decode_prefill_report("P" + *rc::gen::arbitrary<std::string>());
}

} // namespace
} // namespace wagtailseam::engine_status
