// Datagrams about the origins of streams, and an agent's memory of them.
#include "stream_origin/noted_origins.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace wagtailseam::stream_origin
{
namespace
{

using serving::service_id;
using serving::software_version;
using std::chrono::seconds;

const service_id engines{"engines"};
const origin old_origin{.service = engines, .version = software_version{"1"}};
const origin new_origin{.service = engines, .version = software_version{"2"}};
const origin unknown_origin{.service = engines};

request_id stream_number(std::size_t number)
{
    return request_id{"stream-" + std::to_string(number)};
}

class noted_origins_fixture : public testing::Test
{
protected:
    [[nodiscard]] origin_answer ask(const std::vector<request_id>& streams)
    {
        return origins_.answer({.number = 1, .streams = streams}, now_);
    }

    noted_origins origins_{{.retention = seconds(20), .max_streams = 3}};
    mono_time now_{seconds(1000)};
};

TEST_F(noted_origins_fixture, noted_stream_is_known)
{
    origins_.add({stream_number(1), old_origin}, now_);
    origins_.add({stream_number(2), new_origin}, now_);
    const auto answer = ask({stream_number(2), stream_number(7)});
    EXPECT_EQ(
        answer.known,
        (std::unordered_map<std::size_t, origin>{{0, new_origin}}));
    EXPECT_EQ(answer.recent, (std::set<origin>{old_origin, new_origin}));
    EXPECT_FALSE(answer.is_partial);
}

TEST_F(noted_origins_fixture, stream_is_forgotten_after_the_retention_time)
{
    origins_.add({stream_number(1), old_origin}, now_);
    now_ += seconds(10);
    origins_.add({stream_number(2), new_origin}, now_);
    now_ += seconds(10);
    EXPECT_EQ(ask({stream_number(1)}).known.size(), 0U);
    EXPECT_EQ(ask({}).recent, std::set<origin>{new_origin});
}

TEST_F(noted_origins_fixture, stream_noted_again_is_kept_from_then_on)
{
    origins_.add({stream_number(1), old_origin}, now_);
    now_ += seconds(15);
    origins_.add({stream_number(1), old_origin}, now_);
    now_ += seconds(15);
    EXPECT_EQ(ask({stream_number(1)}).known.size(), 1U);
    now_ += seconds(5);
    EXPECT_EQ(ask({stream_number(1)}).known.size(), 0U);
    EXPECT_EQ(origins_.size(), 0U);
}

TEST_F(noted_origins_fixture, oldest_stream_is_dropped_beyond_the_limit)
{
    for (std::size_t number = 0; number < 4; ++number)
    {
        origins_.add({stream_number(number), old_origin}, now_);
    }
    EXPECT_EQ(origins_.size(), 3U);
    EXPECT_EQ(ask({stream_number(0)}).known.size(), 0U);
    EXPECT_EQ(ask({stream_number(3)}).known.size(), 1U);
}

/// Guards against a stream that goes on by one of two contradicting notes.
TEST_F(noted_origins_fixture, contradicting_notes_leave_the_version_unknown)
{
    origins_.add({stream_number(1), old_origin}, now_);
    origins_.add({stream_number(1), new_origin}, now_);
    const auto answer = ask({stream_number(1)});
    EXPECT_EQ(answer.known.at(0), unknown_origin);
}

TEST(merged_origins, contradicting_answers_leave_the_version_unknown)
{
    std::unordered_map<request_id, origin> known;
    merge_origin(known, stream_number(1), old_origin);
    merge_origin(known, stream_number(1), old_origin);
    EXPECT_EQ(known.at(stream_number(1)), old_origin);
    merge_origin(known, stream_number(1), new_origin);
    EXPECT_EQ(known.at(stream_number(1)), unknown_origin);
    merge_origin(known, stream_number(1), old_origin);
    EXPECT_EQ(known.at(stream_number(1)), unknown_origin);
}

RC_GTEST_PROP(origin_note, encoded_note_is_decoded_unchanged, ())
{
    const auto text =
        rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    origin_note note{
        .stream = request_id{*text},
        .begun_by = {.service = service_id{*text}}};
    if (*rc::gen::arbitrary<bool>())
    {
        note.begun_by.version = software_version{*text};
    }
    const auto datagram = encode(note);
    RC_ASSERT(is_origin_note(datagram));
    RC_ASSERT(!is_origin_question(datagram) && !is_origin_answer(datagram));
    RC_ASSERT(decode_note(datagram).value() == note);
}

TEST(origin_note, note_that_exceeds_a_datagram_is_left_out)
{
    const origin_note note{
        .stream = request_id{std::string(max_note_bytes, 'x')},
        .begun_by = old_origin};
    EXPECT_EQ(encode(note), "");
}

RC_GTEST_PROP(origin_question, questions_hold_each_stream_and_fit, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(0, 300);
    std::vector<request_id> streams;
    for (std::size_t number = 0; number < count; ++number)
    {
        const auto length = *rc::gen::inRange<std::size_t>(1, 200);
        streams.emplace_back(std::string(length, 'a') + std::to_string(number));
    }
    std::vector<request_id> asked;
    std::uint64_t next = 7;
    for (const auto& question : make_questions(streams, 7))
    {
        RC_ASSERT(question.number == next++);
        const auto datagram = encode(question);
        RC_ASSERT(datagram.size() <= max_note_bytes);
        RC_ASSERT(is_origin_question(datagram));
        RC_ASSERT(decode_question(datagram).value() == question);
        asked.insert(
            asked.end(), question.streams.begin(), question.streams.end());
    }
    RC_ASSERT(asked == streams);
}

RC_GTEST_PROP(origin_answer, answer_fits_or_is_partial, ())
{
    origin_answer answer{.number = *rc::gen::arbitrary<std::uint64_t>()};
    const auto origin_count = *rc::gen::inRange<std::size_t>(1, 60);
    for (std::size_t number = 0; number < origin_count; ++number)
    {
        answer.recent.insert(
            {.service = engines,
             .version = software_version{
                 std::string(*rc::gen::inRange<std::size_t>(0, 60), 'v') +
                 std::to_string(number)}});
    }
    for (std::size_t index = 0; index < max_asked_streams; ++index)
    {
        const auto skipped = *rc::gen::inRange<std::size_t>(0, origin_count);
        answer.known.emplace(
            index,
            *std::next(
                answer.recent.begin(), static_cast<std::ptrdiff_t>(skipped)));
    }
    const auto datagram = encode(answer);
    RC_ASSERT(datagram.size() <= max_note_bytes);
    const auto decoded = decode_answer(datagram);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value().is_partial || decoded.value() == answer);
    for (const auto& [index, begun_by] : decoded.value().known)
    {
        RC_ASSERT(answer.known.at(index) == begun_by);
    }
}

TEST(origin_note, malformed_datagrams_are_errors)
{
    for (const std::string bytes : {"", "N", "N\xc1", "W\x91\x01", "K\x80"})
    {
        EXPECT_FALSE(decode_note(bytes).has_value());
        EXPECT_FALSE(decode_question(bytes).has_value());
        EXPECT_FALSE(decode_answer(bytes).has_value());
    }
}

} // namespace
} // namespace wagtailseam::stream_origin
