// Rows of listeners, of this system and of other writers.
#include "engine_status/listener.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::engine_status
{
namespace
{

TEST(listener_row, either_role_survives_the_row)
{
    for (const auto role : {listener_role::gateway, listener_role::agent})
    {
        const auto read = decode_listener(
            encode_listener({http::address{"10.0.0.1:9"}, role}));
        ASSERT_TRUE(read);
        EXPECT_EQ(read->address, http::address{"10.0.0.1:9"});
        EXPECT_EQ(read->role, role);
    }
}

TEST(listener_row, text_without_a_known_role_is_no_row)
{
    for (const auto* text : {"", "10.0.0.1:9", "10.0.0.1:9 ", "a b c"})
    {
        EXPECT_FALSE(decode_listener(text)) << text;
    }
}

} // namespace
} // namespace wagtailseam::engine_status
