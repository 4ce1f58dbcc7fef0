// Encodes the datagrams as a type byte and a MessagePack array.
#include "stream_origin/origin_note.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace wagtailseam::stream_origin
{
namespace
{

using nlohmann::json;

// No other datagram type between these processes starts with these bytes.
constexpr char note_type = 'N';
constexpr char question_type = 'W';
constexpr char answer_type = 'K';

/// Room for the type, the number, and the heads of the arrays.
constexpr std::size_t overhead_bytes = 40;
/// Room for the head of a text.
constexpr std::size_t text_overhead_bytes = 5;
/// Room for the two indices of a known stream.
constexpr std::size_t known_stream_bytes = 12;

std::string to_datagram(char type, const json& document)
{
    std::string datagram(1, type);
    json::to_msgpack(document, datagram);
    return datagram;
}

/// Decodes a datagram with `read`, which may throw json::exception.
template <class Read>
auto decode(
    std::string_view datagram, char type, const char* what, const Read& read)
    -> result<decltype(read(json()))>
{
    if (!datagram.starts_with(type))
    {
        return fail(
            result_code::malformed_message,
            std::string("datagram is not an origin ") + what);
    }
    try
    {
        return read(json::from_msgpack(datagram.substr(1)));
    }
    catch (const json::exception& exception)
    {
        return fail(result_code::malformed_message, exception.what());
    }
}

json encode_origin(const origin& begun_by)
{
    return json::array(
        {begun_by.service.value(),
         begun_by.version ? json(begun_by.version->value()) : json()});
}

origin decode_origin(const json& encoded)
{
    origin decoded{
        .service = serving::service_id{encoded.at(0).get<std::string>()}};
    if (!encoded.at(1).is_null())
    {
        decoded.version =
            serving::software_version{encoded.at(1).get<std::string>()};
    }
    return decoded;
}

std::size_t size_of(const origin& begun_by)
{
    return begun_by.service.value().size() +
           (begun_by.version ? begun_by.version->value().size() : 0) +
           2 * text_overhead_bytes + 1;
}

} // namespace

std::string encode(const origin_note& note)
{
    auto datagram = to_datagram(
        note_type,
        json::array({note.stream.value(), encode_origin(note.begun_by)}));
    return datagram.size() <= max_note_bytes ? datagram : std::string();
}

std::vector<origin_question> make_questions(
    const std::vector<request_id>& streams, std::uint64_t first_number)
{
    std::vector<origin_question> questions;
    std::size_t room = 0;
    for (const auto& stream : streams)
    {
        const auto size = stream.value().size() + text_overhead_bytes;
        if (size > max_note_bytes - overhead_bytes)
        {
            continue;
        }
        if (questions.empty() || size > room ||
            questions.back().streams.size() == max_asked_streams)
        {
            questions.push_back({.number = first_number + questions.size()});
            room = max_note_bytes - overhead_bytes;
        }
        room -= size;
        questions.back().streams.push_back(stream);
    }
    return questions;
}

std::string encode(const origin_question& question)
{
    auto streams = json::array();
    for (const auto& stream : question.streams)
    {
        streams.push_back(stream.value());
    }
    return to_datagram(
        question_type, json::array({question.number, std::move(streams)}));
}

std::string encode(const origin_answer& answer)
{
    std::size_t room = max_note_bytes - overhead_bytes;
    bool is_partial = answer.is_partial;
    auto origins = json::array();
    std::map<origin, std::size_t> indices;
    const auto add = [&](const origin& added)
    {
        if (indices.contains(added))
        {
            return;
        }
        if (size_of(added) > room)
        {
            is_partial = true;
            return;
        }
        room -= size_of(added);
        indices.emplace(added, origins.size());
        origins.push_back(encode_origin(added));
    };
    for (const auto& [stream, begun_by] : answer.known)
    {
        add(begun_by);
    }
    for (const auto& recent : answer.recent)
    {
        add(recent);
    }
    auto known = json::array();
    for (const auto& [stream, begun_by] : answer.known)
    {
        const auto index = indices.find(begun_by);
        if (index == indices.end() || known_stream_bytes > room)
        {
            is_partial = true;
            continue;
        }
        room -= known_stream_bytes;
        known.push_back(json::array({stream, index->second}));
    }
    return to_datagram(
        answer_type,
        json::array(
            {answer.number, is_partial, std::move(origins), std::move(known)}));
}

bool is_origin_note(std::string_view datagram) noexcept
{
    return datagram.starts_with(note_type);
}

bool is_origin_question(std::string_view datagram) noexcept
{
    return datagram.starts_with(question_type);
}

bool is_origin_answer(std::string_view datagram) noexcept
{
    return datagram.starts_with(answer_type);
}

result<origin_note> decode_note(std::string_view datagram)
{
    return decode(
        datagram, note_type, "note",
        [](const json& document)
        {
            return origin_note{
                .stream = request_id{document.at(0).get<std::string>()},
                .begun_by = decode_origin(document.at(1))};
        });
}

result<origin_question> decode_question(std::string_view datagram)
{
    return decode(
        datagram, question_type, "question",
        [](const json& document)
        {
            origin_question question{
                .number = document.at(0).get<std::uint64_t>()};
            for (const auto& stream : document.at(1))
            {
                question.streams.emplace_back(stream.get<std::string>());
            }
            return question;
        });
}

result<origin_answer> decode_answer(std::string_view datagram)
{
    return decode(
        datagram, answer_type, "answer",
        [](const json& document)
        {
            origin_answer answer{
                .number = document.at(0).get<std::uint64_t>(),
                .is_partial = document.at(1).get<bool>()};
            std::vector<origin> origins;
            for (const auto& encoded : document.at(2))
            {
                origins.push_back(decode_origin(encoded));
            }
            answer.recent = {origins.begin(), origins.end()};
            for (const auto& entry : document.at(3))
            {
                const auto index = entry.at(1).get<std::size_t>();
                if (index < origins.size())
                {
                    answer.known.emplace(
                        entry.at(0).get<std::size_t>(), origins[index]);
                }
            }
            return answer;
        });
}

} // namespace wagtailseam::stream_origin
