// Tests that decoding is independent of how the stream is split, and that
// invalid bytes are rejected.
#include "messages/delimited.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::messages
{
namespace
{

RC_GTEST_PROP(
    delimited_reader, any_split_of_stream_decodes_same_messages,
    (const std::vector<std::string>& payloads, std::uint8_t extra_bytes))
{
    std::string bytes;
    for (const std::string& payload : payloads)
    {
        frame sent;
        sent.set_payload(payload);
        append_delimited(bytes, sent);
    }
    delimited_reader reader;
    std::vector<std::string> received;
    const std::size_t chunk_size = extra_bytes + std::size_t{1};
    for (std::size_t offset = 0; offset < bytes.size(); offset += chunk_size)
    {
        reader.feed(std::string_view(bytes).substr(offset, chunk_size));
        frame decoded;
        for (;;)
        {
            const auto has_message = reader.next(decoded);
            RC_ASSERT(has_message.has_value());
            if (!has_message.value())
            {
                break;
            }
            received.push_back(decoded.payload());
        }
    }
    RC_ASSERT(received == payloads);
}

RC_GTEST_PROP(
    delimited_reader, arbitrary_bytes_do_not_crash, (const std::string& bytes))
{
    delimited_reader reader;
    reader.feed(bytes);
    frame decoded;
    for (std::size_t i = 0; i <= bytes.size(); ++i)
    {
        const auto has_message = reader.next(decoded);
        if (!has_message.has_value() || !has_message.value())
        {
            return;
        }
    }
    RC_FAIL("decoded more messages than input bytes");
}

TEST(delimited_reader, length_above_limit_is_malformed)
{
    delimited_reader reader;
    reader.feed("\xff\xff\xff\xff\x0f");
    frame decoded;
    const auto has_message = reader.next(decoded);
    ASSERT_FALSE(has_message.has_value());
    EXPECT_EQ(has_message.error().code, result_code::malformed_message);
}

} // namespace
} // namespace wagtailseam::messages
