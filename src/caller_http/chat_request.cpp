// Checks of callers' JSON, each with a sentence on what to change.
#include "caller_http/chat_request.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace wagtailseam::caller_http
{
namespace
{

using nlohmann::json;

constexpr std::string_view service_root = "/v1/services/";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t max_key_bytes = 200;
constexpr std::int32_t max_priority = 9;
constexpr std::uint32_t default_answer_tokens = 256;

result<json> parse_object(const std::string& text)
{
    json parsed;
    try
    {
        parsed = json::parse(text);
    }
    catch (const json::parse_error& wrong)
    {
        return fail(
            result_code::malformed_json,
            "the body is not JSON at byte " + std::to_string(wrong.byte));
    }
    if (!parsed.is_object())
    {
        return fail(result_code::wrong_type, "the body must be an object");
    }
    return parsed;
}

result<std::string> text_of(const json& object, const char* field)
{
    if (!object.contains(field))
    {
        return fail(
            result_code::missing_field, std::string(field) + " is missing");
    }
    if (!object[field].is_string())
    {
        return fail(
            result_code::wrong_type, std::string(field) + " must be text");
    }
    return object[field].get<std::string>();
}

result<std::int64_t> whole_of(
    const json& object, const char* field, std::int64_t fallback,
    std::int64_t min, std::int64_t max)
{
    if (!object.contains(field))
    {
        return fallback;
    }
    const json& value = object[field];
    if (!value.is_number_integer())
    {
        return fail(
            result_code::wrong_type,
            std::string(field) + " must be a whole number");
    }
    // An unsigned number beyond the signed range would wrap around.
    const bool too_large =
        value.is_number_unsigned() &&
        value.get<std::uint64_t>() > static_cast<std::uint64_t>(max);
    const auto number = too_large ? max : value.get<std::int64_t>();
    if (too_large || number < min || number > max)
    {
        return fail(
            result_code::out_of_range,
            std::string(field) + " must lie between " + std::to_string(min) +
                " and " + std::to_string(max));
    }
    return number;
}

result<bool> flag_of(const json& object, const char* field, bool fallback)
{
    if (!object.contains(field))
    {
        return fallback;
    }
    if (!object[field].is_boolean())
    {
        return fail(
            result_code::wrong_type,
            std::string(field) + " must be true or false");
    }
    return object[field].get<bool>();
}

result<std::string> render(const json& messages)
{
    std::string rendered;
    for (std::size_t i = 0; i < messages.size(); ++i)
    {
        const json& message = messages[i];
        const auto at = "messages[" + std::to_string(i) + "]";
        if (!message.is_object())
        {
            return fail(result_code::wrong_type, at + " must be an object");
        }
        const auto role = text_of(message, "role");
        const auto content = text_of(message, "content");
        if (!role || !content)
        {
            const auto& wrong = role ? content.error() : role.error();
            return fail(wrong.code, at + "." + wrong.detail);
        }
        rendered += '\x1e' + role.value() + '\x1f' + content.value();
    }
    return rendered;
}

result<void> read_messages(
    const json& body, const request_limits& limits, chat_request& out)
{
    if (!body.contains("messages"))
    {
        return fail(result_code::missing_field, "messages is missing");
    }
    const json& messages = body["messages"];
    if (!messages.is_array())
    {
        return fail(result_code::wrong_type, "messages must be a list");
    }
    if (messages.empty() || messages.size() > limits.max_messages)
    {
        return fail(
            result_code::out_of_range,
            "messages must hold 1 to " + std::to_string(limits.max_messages));
    }
    auto rendered = render(messages);
    if (!rendered)
    {
        return boost::outcome_v2::failure(rendered.error());
    }
    out.rendered = std::move(rendered).value();
    out.messages = messages.dump();
    return boost::outcome_v2::success();
}

result<duration> deadline_of(
    const http::request& asked, const request_limits& limits)
{
    const std::string_view text = asked.header("X-Deadline-Ms");
    if (text.empty())
    {
        return limits.default_deadline;
    }
    std::int64_t milliseconds = 0;
    const char* const last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, milliseconds);
    const auto max = std::chrono::duration_cast<std::chrono::milliseconds>(
        limits.max_deadline);
    const bool valid = parsed.ec == std::errc{} && parsed.ptr == last &&
                       milliseconds > 0 && milliseconds <= max.count();
    if (!valid)
    {
        return fail(
            result_code::out_of_range, "X-Deadline-Ms must lie between 1 and " +
                                           std::to_string(max.count()));
    }
    return duration(std::chrono::milliseconds(milliseconds));
}

result<void> read_numbers(
    const json& body, const request_limits& limits, chat_request& out)
{
    BOOST_OUTCOME_TRY(
        const auto max_tokens, whole_of(
                                   body, "max_tokens", default_answer_tokens, 1,
                                   limits.max_answer_tokens));
    out.max_tokens = static_cast<std::uint32_t>(max_tokens);
    BOOST_OUTCOME_TRY(
        const auto priority,
        whole_of(body, "priority", 0, -max_priority, max_priority));
    out.priority = static_cast<std::int32_t>(priority);
    return boost::outcome_v2::success();
}

} // namespace

result<chat_request> parse_chat(
    const http::request& asked, const request_limits& limits)
{
    chat_request out;
    BOOST_OUTCOME_TRY(const json body, parse_object(asked.body));
    BOOST_OUTCOME_TRY(auto model, text_of(body, "model"));
    out.model = model_id{std::move(model)};
    BOOST_OUTCOME_TRY(out.stream, flag_of(body, "stream", false));
    BOOST_OUTCOME_TRY(read_numbers(body, limits, out));
    BOOST_OUTCOME_TRY(out.deadline, deadline_of(asked, limits));
    BOOST_OUTCOME_TRY(read_messages(body, limits, out));
    out.conversation = std::string(asked.header("X-Conversation-Id"));
    if (body.contains("conversation"))
    {
        BOOST_OUTCOME_TRY(out.conversation, text_of(body, "conversation"));
    }
    return out;
}

result<service_call> parse_service_call(
    const http::request& asked, const request_limits& limits)
{
    std::string_view rest = asked.path();
    const auto wrong_path = []
    {
        return fail(
            result_code::unknown_route,
            "use /v1/services/<service>/<operation>");
    };
    if (!rest.starts_with(service_root))
    {
        return wrong_path();
    }
    rest.remove_prefix(service_root.size());
    const auto slash = rest.find('/');
    if (slash == std::string_view::npos || slash == 0 ||
        slash + 1 == rest.size())
    {
        return wrong_path();
    }
    service_call out;
    out.service = std::string(rest.substr(0, slash));
    out.operation = std::string(rest.substr(slash + 1));
    BOOST_OUTCOME_TRY(out.deadline, deadline_of(asked, limits));
    BOOST_OUTCOME_TRY(parse_object(asked.body));
    out.body = asked.body;
    const std::string_view key = asked.header("Idempotency-Key");
    if (key.size() > max_key_bytes)
    {
        return fail(
            result_code::out_of_range, "Idempotency-Key is over 200 bytes");
    }
    if (!key.empty())
    {
        out.key = idempotency_key{std::string(key)};
    }
    return out;
}

result<std::string> bearer_key(const http::request& asked)
{
    const std::string_view value = asked.header("Authorization");
    if (!value.starts_with(bearer_prefix) ||
        value.size() == bearer_prefix.size())
    {
        return fail(
            result_code::missing_credentials,
            "send Authorization: Bearer <key>");
    }
    return std::string(value.substr(bearer_prefix.size()));
}

std::string upstream_body(
    const chat_request& request, const std::string& partial_answer,
    std::uint32_t tokens_sent, const std::string& cache_salt)
{
    json messages = json::parse(request.messages);
    json body{
        {"model", request.model.value()},
        {"stream", true},
        {"priority", request.priority},
        {"cache_salt", cache_salt},
        {"stream_options", {{"include_usage", true}}}};
    if (!partial_answer.empty())
    {
        messages.push_back(
            {{"role", "assistant"}, {"content", partial_answer}});
        body["continue_final_message"] = true;
    }
    const std::uint32_t left =
        request.max_tokens > tokens_sent ? request.max_tokens - tokens_sent : 1;
    body["max_tokens"] = left;
    body["messages"] = std::move(messages);
    // A partial answer may end inside a character; such bytes are replaced.
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace wagtailseam::caller_http
