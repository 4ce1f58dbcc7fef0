// Tests of digests: published test vectors, round trips of conversions, and
// incremental hashing.
#include "core/digest.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam
{
namespace
{

TEST(digest, sha256_of_abc_matches_published_test_vector)
{
    EXPECT_EQ(
        sha256("abc").hex(), "ba7816bf8f01cfea414140de5dae2223"
                             "b00361a396177a9cb410ff61f20015ad");
}

TEST(digest, hmac_of_rfc4231_case_2_matches_published_test_vector)
{
    EXPECT_EQ(
        hmac_sha256("Jefe", "what do ya want for nothing?").hex(),
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST(digest, from_hex_malformed_text_returns_zero_digest)
{
    EXPECT_EQ(digest::from_hex("xyz"), digest{});
    EXPECT_EQ(digest::from_hex(std::string(64, 'g')), digest{});
}

RC_GTEST_PROP(
    digest, hex_and_bytes_round_trip_preserves_value, (std::string data))
{
    const digest value = sha256(data);
    RC_ASSERT(digest::from_hex(value.hex()) == value);
    RC_ASSERT(digest::from_bytes(value.view()) == value);
}

RC_GTEST_PROP(
    digest, incremental_digest_equals_digest_of_whole_input,
    (std::vector<std::string> parts))
{
    sha256_stream stream;
    std::string whole;
    for (const std::string& part : parts)
    {
        stream.update(part);
        whole += part;
    }
    RC_ASSERT(stream.value() == sha256(whole));
}

} // namespace
} // namespace wagtailseam
