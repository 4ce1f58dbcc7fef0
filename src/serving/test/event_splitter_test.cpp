// A stream that is split at any byte yields complete events only.
#include "serving/event_splitter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::serving
{
namespace
{

std::string event_text(int id)
{
    return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) +
           "\n\n";
}

TEST(event_splitter, event_in_two_chunks_is_returned_when_complete)
{
    event_splitter splitter;
    EXPECT_EQ(splitter.feed("id: 1\ndata:"), "");
    EXPECT_EQ(splitter.last_id(), "");
    EXPECT_EQ(splitter.feed(" x\n\nid: 2"), "id: 1\ndata: x\n\n");
    EXPECT_EQ(splitter.last_id(), "1");
    EXPECT_EQ(splitter.partial(), "id: 2");
}

TEST(event_splitter, dropped_partial_event_is_not_returned)
{
    event_splitter splitter;
    (void)splitter.feed(event_text(1) + "id: 2\nda");
    splitter.drop_partial();
    EXPECT_EQ(splitter.feed(event_text(2)), event_text(2));
    EXPECT_EQ(splitter.last_id(), "2");
}

TEST(event_splitter, crlf_line_ends_terminate_events)
{
    event_splitter splitter;
    EXPECT_EQ(
        splitter.feed("id: 9\r\ndata: x\r\n\r\n"), "id: 9\r\ndata: x\r\n\r\n");
    EXPECT_EQ(splitter.last_id(), "9");
}

TEST(event_splitter, continuation_with_a_later_id_is_returned)
{
    event_splitter splitter;
    splitter.begin_continuation("9");
    const std::string stream = ": begun\n\nretry: 5\r\n\r\n" + event_text(10);
    EXPECT_EQ(splitter.feed(stream), stream);
    EXPECT_FALSE(splitter.is_misplaced());
    EXPECT_EQ(splitter.last_id(), "10");
}

TEST(event_splitter, continuation_without_a_later_id_is_held_back)
{
    for (const std::string& event :
         {event_text(9), event_text(8), event_text(-10),
          std::string("id: x\ndata: x\n\n"), std::string("id:\ndata: x\n\n"),
          std::string("data: x\n\n"), std::string("no memory\n\n")})
    {
        SCOPED_TRACE(event);
        event_splitter splitter;
        splitter.begin_continuation("9");
        EXPECT_EQ(splitter.feed(": begun\n\n" + event), ": begun\n\n");
        EXPECT_TRUE(splitter.is_misplaced());
        EXPECT_EQ(splitter.last_id(), "9");
        splitter.drop_partial();
        EXPECT_FALSE(splitter.is_misplaced());
    }
}

TEST(event_splitter, repeated_text_id_of_a_continuation_is_held_back)
{
    event_splitter splitter;
    splitter.begin_continuation("a");
    EXPECT_EQ(splitter.feed("id: a\ndata: x\n\n"), "");
    EXPECT_TRUE(splitter.is_misplaced());
}

TEST(event_splitter, stream_is_resumable_only_after_an_event_with_an_id)
{
    event_splitter splitter;
    EXPECT_TRUE(splitter.is_resumable());
    (void)splitter.feed(": begun\n\n");
    EXPECT_TRUE(splitter.is_resumable());
    (void)splitter.feed("data: x\n\n");
    EXPECT_FALSE(splitter.is_resumable());
    (void)splitter.feed(event_text(2));
    EXPECT_TRUE(splitter.is_resumable());
    (void)splitter.feed("id:\ndata: x\n\n");
    EXPECT_FALSE(splitter.is_resumable());
}

RC_GTEST_PROP(
    event_splitter, stream_split_anywhere_yields_same_bytes,
    (const std::vector<std::uint8_t>& chunk_sizes))
{
    std::string stream;
    for (int id = 1; id <= 20; ++id)
    {
        stream += event_text(id);
    }
    event_splitter splitter;
    std::string output;
    std::string_view remaining = stream;
    for (const auto chunk_size : chunk_sizes)
    {
        const auto size = std::min<std::size_t>(chunk_size, remaining.size());
        const auto complete = splitter.feed(remaining.substr(0, size));
        RC_ASSERT(complete.empty() || complete.ends_with("\n\n"));
        output += complete;
        remaining.remove_prefix(size);
    }
    output += splitter.feed(remaining);
    RC_ASSERT(output == stream);
    RC_ASSERT(splitter.last_id() == "20");
}

RC_GTEST_PROP(
    event_splitter, resumed_stream_contains_each_event_once,
    (std::uint8_t broken_at))
{
    std::string stream;
    for (int id = 1; id <= 10; ++id)
    {
        stream += event_text(id);
    }
    event_splitter splitter;
    std::string output = splitter.feed(
        std::string_view(stream).substr(0, broken_at % stream.size()));
    splitter.drop_partial();
    const int last =
        splitter.last_id().empty() ? 0 : std::stoi(splitter.last_id());
    for (int id = last + 1; id <= 10; ++id)
    {
        output += splitter.feed(event_text(id));
    }
    RC_ASSERT(output == stream);
}

} // namespace
} // namespace wagtailseam::serving
