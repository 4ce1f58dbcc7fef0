// Datagrams by which agents keep the origins of streams: a gateway notes each
// stream that it begins at two agents, and asks all agents about a stream that
// the row store does not know. The store may return from a copy that is older
// than the stream, after all gateways that knew it have ended.
#ifndef WAGTAILSEAM_STREAM_ORIGIN_ORIGIN_NOTE_HPP
#define WAGTAILSEAM_STREAM_ORIGIN_ORIGIN_NOTE_HPP

#include "core/ids.hpp"
#include "core/result.hpp"
#include "stream_origin/stream_origin.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wagtailseam::stream_origin
{

/// Maximum size of each of these datagrams in bytes.
inline constexpr std::size_t max_note_bytes = 1400;
/// Maximum number of streams of a question.
inline constexpr std::size_t max_asked_streams = 64;

struct origin_note
{
    request_id stream;
    origin begun_by;

    friend bool operator==(const origin_note&, const origin_note&) = default;
};

struct origin_question
{
    /// Chosen by the gateway; the answers have it too.
    std::uint64_t number = 0;
    std::vector<request_id> streams;

    friend bool operator==(const origin_question&, const origin_question&) =
        default;
};

struct origin_answer
{
    std::uint64_t number = 0;
    /// Indices into the streams of the question, with their origins.
    std::unordered_map<std::size_t, origin> known;
    /// All origins that were noted lately.
    std::set<origin> recent;
    /// Whether the datagram had no room for further origins.
    bool is_partial = false;

    friend bool operator==(const origin_answer&, const origin_answer&) =
        default;
};

/// Returns an empty string if the note would exceed the maximum size.
[[nodiscard]] std::string encode(const origin_note& note);
/// Splits streams into questions that do not exceed the maximum size, nor
/// max_asked_streams. Streams with very long ids are left out.
/// @param first_number number of the first question; the next ones follow
[[nodiscard]] std::vector<origin_question> make_questions(
    const std::vector<request_id>& streams, std::uint64_t first_number);
[[nodiscard]] std::string encode(const origin_question& question);
/// Leaves origins out that have no room, and sets is_partial instead.
[[nodiscard]] std::string encode(const origin_answer& answer);

[[nodiscard]] bool is_origin_note(std::string_view datagram) noexcept;
[[nodiscard]] bool is_origin_question(std::string_view datagram) noexcept;
[[nodiscard]] bool is_origin_answer(std::string_view datagram) noexcept;

/// @errors malformed_message
[[nodiscard]] result<origin_note> decode_note(std::string_view datagram);
/// @errors malformed_message
[[nodiscard]] result<origin_question> decode_question(
    std::string_view datagram);
/// @errors malformed_message
[[nodiscard]] result<origin_answer> decode_answer(std::string_view datagram);

} // namespace wagtailseam::stream_origin

#endif
