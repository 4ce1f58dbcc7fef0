// Server-sent events with chat completion chunks.
#include "sidecar/event_stream.hpp"

#include <nlohmann/json.hpp>

namespace wagtailseam::sidecar
{
namespace
{

using nlohmann::json;

constexpr std::string_view data_prefix = "data: ";
constexpr std::string_view closing_mark = "[DONE]";

std::uint64_t count_of(const json& object, const char* field)
{
    const bool present = object.is_object() && object.contains(field) &&
                         object[field].is_number_unsigned();
    return present ? object[field].get<std::uint64_t>() : 0;
}

void read_usage(const json& chunk, engine_answer& answer)
{
    if (!chunk.contains("usage") || !chunk["usage"].is_object())
    {
        return;
    }
    const json& used = chunk["usage"];
    answer.prompt_tokens = count_of(used, "prompt_tokens");
    if (used.contains("prompt_tokens_details"))
    {
        const json& details = used["prompt_tokens_details"];
        answer.cached_tokens = count_of(details, "cached_tokens");
        answer.imported_tokens = count_of(details, "imported_tokens");
    }
}

void read_choice(const json& choice, engine_answer& answer)
{
    if (choice.contains("delta") && choice["delta"].is_object())
    {
        const json& delta = choice["delta"];
        if (delta.contains("content") && delta["content"].is_string())
        {
            answer.text += delta["content"].get_ref<const std::string&>();
            ++answer.tokens;
        }
    }
    if (choice.contains("finish_reason") && choice["finish_reason"].is_string())
    {
        answer.finish_reason = choice["finish_reason"].get<std::string>();
    }
}

result<void> read_event(std::string_view event, engine_answer& answer)
{
    if (!event.starts_with(data_prefix))
    {
        // Comments keep a connection alive and carry nothing.
        return event.starts_with(':')
                   ? result<void>(boost::outcome_v2::success())
                   : fail(result_code::malformed_message, "not a data event");
    }
    event.remove_prefix(data_prefix.size());
    if (event == closing_mark)
    {
        answer.done = true;
        return boost::outcome_v2::success();
    }
    const json chunk = json::parse(event, nullptr, false);
    if (!chunk.is_object() || chunk.contains("error"))
    {
        return fail(result_code::malformed_message, "engine reported an error");
    }
    read_usage(chunk, answer);
    if (chunk.contains("choices") && chunk["choices"].is_array() &&
        !chunk["choices"].empty() && chunk["choices"][0].is_object())
    {
        read_choice(chunk["choices"][0], answer);
    }
    return boost::outcome_v2::success();
}

} // namespace

result<void> event_stream::feed(std::string_view bytes, engine_answer& answer)
{
    buffer_ += bytes;
    std::size_t start = 0;
    for (;;)
    {
        const auto end = buffer_.find("\n\n", start);
        if (end == std::string::npos)
        {
            break;
        }
        const auto event = std::string_view(buffer_).substr(start, end - start);
        BOOST_OUTCOME_TRY(read_event(event, answer));
        start = end + 2;
    }
    buffer_.erase(0, start);
    if (buffer_.size() > max_event_bytes)
    {
        return fail(result_code::malformed_message, "event too long");
    }
    return boost::outcome_v2::success();
}

} // namespace wagtailseam::sidecar
