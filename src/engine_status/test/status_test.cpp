// Encoding and decoding of the status datagrams from agents to gateways.
#include "engine_status/status.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <limits>

namespace wagtailseam::engine_status
{
namespace
{

TEST(engine_status, status_decodes_to_its_encoded_value)
{
    const status sent{
        .upstream = upstream_id{"engine-1"},
        .sequence_number = 7,
        .incarnation = 99,
        .prompts_waiting = 3,
        .running = 12,
        .memory = {token_count{70'000}, token_count{174'122}},
        .loading = true,
        .weights = {{model_id{"m"}, weight_version{4}}},
        .prefill_of_other_gateways =
            serving::pending_prefill{
                .prompts = 5,
                .prefill_time = std::chrono::milliseconds(70),
                .tokens = token_count{9000}},
        .speed = upstream_speed::measured_speed{
            .ratio = 1.5, .age = std::chrono::milliseconds(120)}};
    const auto decoded = decode_status(encode(sent));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded.value().upstream, sent.upstream);
    EXPECT_EQ(decoded.value().sequence_number, sent.sequence_number);
    EXPECT_EQ(decoded.value().incarnation, sent.incarnation);
    EXPECT_EQ(decoded.value().prompts_waiting, sent.prompts_waiting);
    EXPECT_EQ(decoded.value().running, sent.running);
    EXPECT_EQ(decoded.value().memory, sent.memory);
    EXPECT_EQ(decoded.value().loading, sent.loading);
    EXPECT_EQ(decoded.value().weights, sent.weights);
    EXPECT_EQ(
        decoded.value().prefill_of_other_gateways,
        sent.prefill_of_other_gateways);
    EXPECT_EQ(decoded.value().speed, sent.speed);
}

/// The age is a number of microseconds that another process sends.
TEST(engine_status, age_of_the_speed_is_decoded_within_bounds)
{
    const auto age_of = [](const nlohmann::json& age)
    {
        auto document = nlohmann::json::from_msgpack(
            encode({.upstream = upstream_id{"u"}}));
        document["v"] = 1.5;
        if (!age.is_null())
        {
            document["a"] = age;
        }
        std::string datagram;
        nlohmann::json::to_msgpack(document, datagram);
        return decode_status(datagram).value().speed->age;
    };
    EXPECT_EQ(age_of(nullptr), duration::zero());
    EXPECT_EQ(age_of(120'000), std::chrono::milliseconds(120));
    EXPECT_EQ(age_of(-5), duration::zero());
    EXPECT_EQ(
        age_of(std::numeric_limits<std::int64_t>::max()),
        std::chrono::hours(1));
}

RC_GTEST_PROP(
    engine_status, any_bytes_are_decoded_or_rejected,
    (const std::string& bytes))
{
    (void)decode_status(bytes);
}

TEST(engine_status, truncated_datagram_is_rejected)
{
    const auto datagram = encode({.upstream = upstream_id{"engine-1"}});
    for (std::size_t size = 0; size < datagram.size(); ++size)
    {
        EXPECT_FALSE(decode_status(datagram.substr(0, size)).has_value());
    }
}

} // namespace
} // namespace wagtailseam::engine_status
