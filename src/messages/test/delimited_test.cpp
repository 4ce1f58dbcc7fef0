// Delimited messages: any split gives the same messages, bad bytes an error.
#include "messages/delimited.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::messages
{
namespace
{

RC_GTEST_PROP(
    delimited_reader, any_split_of_bytes_gives_the_messages,
    (const std::vector<std::string>& payloads, std::uint8_t step))
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
    const std::size_t part = step + std::size_t{1};
    for (std::size_t at = 0; at < bytes.size(); at += part)
    {
        reader.feed(std::string_view(bytes).substr(at, part));
        frame read;
        for (;;)
        {
            const auto more = reader.next(read);
            RC_ASSERT(more.has_value());
            if (!more.value())
            {
                break;
            }
            received.push_back(read.payload());
        }
    }
    RC_ASSERT(received == payloads);
}

RC_GTEST_PROP(
    delimited_reader, arbitrary_bytes_never_crash, (const std::string& bytes))
{
    delimited_reader reader;
    reader.feed(bytes);
    frame read;
    for (std::size_t i = 0; i <= bytes.size(); ++i)
    {
        const auto more = reader.next(read);
        if (!more.has_value() || !more.value())
        {
            return;
        }
    }
    RC_FAIL("more messages than bytes");
}

TEST(delimited_reader, length_beyond_limit_is_malformed)
{
    delimited_reader reader;
    reader.feed("\xff\xff\xff\xff\x0f");
    frame read;
    const auto more = reader.next(read);
    ASSERT_FALSE(more.has_value());
    EXPECT_EQ(more.error().code, result_code::malformed_message);
}

} // namespace
} // namespace wagtailseam::messages
