// Streams cut at any byte pass whole events on, and never a part of one.
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

TEST(event_splitter, event_in_two_parts_passes_once_whole)
{
    event_splitter splitter;
    EXPECT_EQ(splitter.feed("id: 1\ndata:"), "");
    EXPECT_EQ(splitter.last_id(), "");
    EXPECT_EQ(splitter.feed(" x\n\nid: 2"), "id: 1\ndata: x\n\n");
    EXPECT_EQ(splitter.last_id(), "1");
    EXPECT_EQ(splitter.partial(), "id: 2");
}

TEST(event_splitter, partial_dropped_is_not_passed_on)
{
    event_splitter splitter;
    (void)splitter.feed(event_text(1) + "id: 2\nda");
    splitter.drop_partial();
    EXPECT_EQ(splitter.feed(event_text(2)), event_text(2));
    EXPECT_EQ(splitter.last_id(), "2");
}

TEST(event_splitter, carriage_returns_end_events_too)
{
    event_splitter splitter;
    EXPECT_EQ(
        splitter.feed("id: 9\r\ndata: x\r\n\r\n"), "id: 9\r\ndata: x\r\n\r\n");
    EXPECT_EQ(splitter.last_id(), "9");
}

RC_GTEST_PROP(
    event_splitter, stream_cut_anywhere_passes_same_bytes,
    (const std::vector<std::uint8_t>& cuts))
{
    std::string stream;
    for (int id = 1; id <= 20; ++id)
    {
        stream += event_text(id);
    }
    event_splitter splitter;
    std::string passed;
    std::string_view rest = stream;
    for (const auto cut : cuts)
    {
        const auto size = std::min<std::size_t>(cut, rest.size());
        const auto whole = splitter.feed(rest.substr(0, size));
        RC_ASSERT(whole.empty() || whole.ends_with("\n\n"));
        passed += whole;
        rest.remove_prefix(size);
    }
    passed += splitter.feed(rest);
    RC_ASSERT(passed == stream);
    RC_ASSERT(splitter.last_id() == "20");
}

RC_GTEST_PROP(
    event_splitter, stream_resumed_after_break_has_each_event_once,
    (std::uint8_t broken_at))
{
    std::string stream;
    for (int id = 1; id <= 10; ++id)
    {
        stream += event_text(id);
    }
    event_splitter splitter;
    std::string passed = splitter.feed(
        std::string_view(stream).substr(0, broken_at % stream.size()));
    splitter.drop_partial();
    const int last =
        splitter.last_id().empty() ? 0 : std::stoi(splitter.last_id());
    for (int id = last + 1; id <= 10; ++id)
    {
        passed += splitter.feed(event_text(id));
    }
    RC_ASSERT(passed == stream);
}

} // namespace
} // namespace wagtailseam::serving
