// Encoding and decoding of listener rows, including invalid ones.
#include "engine_status/listener.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::engine_status
{
namespace
{

TEST(listener_row, each_role_decodes_to_its_encoded_value)
{
    for (const auto role : {listener_role::gateway, listener_role::agent})
    {
        const auto decoded = decode_listener(
            encode_listener({http::address{"10.0.0.1:9"}, role}));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded->address, http::address{"10.0.0.1:9"});
        EXPECT_EQ(decoded->role, role);
    }
}

TEST(listener_row, text_without_a_known_role_is_rejected)
{
    for (const auto* text : {"", "10.0.0.1:9", "10.0.0.1:9 ", "a b c"})
    {
        EXPECT_FALSE(decode_listener(text)) << text;
    }
}

} // namespace
} // namespace wagtailseam::engine_status
