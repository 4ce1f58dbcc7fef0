// Datagrams between agents and gateways.
#include "engine_status/status.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::engine_status
{
namespace
{

TEST(engine_status, encoded_decodes_same)
{
    const status said{
        .upstream = upstream_id{"engine-1"},
        .sequence_number = 7,
        .incarnation = 99,
        .prompts_waiting = 3,
        .running = 12,
        .loading = true,
        .weights = {{model_id{"m"}, weight_version{4}}},
        .prefill_of_other_gateways = serving::unread_work{
            .prompts = 5, .reading = std::chrono::milliseconds(70)}};
    const auto read = decode_status(encode(said));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read.value().upstream, said.upstream);
    EXPECT_EQ(read.value().sequence_number, said.sequence_number);
    EXPECT_EQ(read.value().incarnation, said.incarnation);
    EXPECT_EQ(read.value().prompts_waiting, said.prompts_waiting);
    EXPECT_EQ(read.value().running, said.running);
    EXPECT_EQ(read.value().loading, said.loading);
    EXPECT_EQ(read.value().weights, said.weights);
    EXPECT_EQ(
        read.value().prefill_of_other_gateways, said.prefill_of_other_gateways);
}

RC_GTEST_PROP(
    engine_status, any_bytes_decode_or_fail, (const std::string& bytes))
{
    (void)decode_status(bytes);
}

TEST(engine_status, cut_datagram_fails)
{
    const auto whole = encode({.upstream = upstream_id{"engine-1"}});
    for (std::size_t size = 0; size < whole.size(); ++size)
    {
        EXPECT_FALSE(decode_status(whole.substr(0, size)).has_value());
    }
}

} // namespace
} // namespace wagtailseam::engine_status
