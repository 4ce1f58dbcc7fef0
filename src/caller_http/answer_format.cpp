// The shapes that clients of model servers know.
#include "caller_http/answer_format.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace wagtailseam::caller_http
{
namespace
{

using nlohmann::json;

/// Upstream text may be cut inside a character; such bytes are replaced.
std::string dumped(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json usage_json(const usage& used)
{
    return json{
        {"prompt_tokens", used.prompt_tokens},
        {"completion_tokens", used.completion_tokens},
        {"total_tokens", used.prompt_tokens + used.completion_tokens},
        {"prompt_tokens_details",
         {{"cached_tokens", used.cached_tokens},
          {"imported_tokens", used.imported_tokens}}}};
}

json error_json(const request_id& request, const error& why)
{
    std::string message(description(why.code));
    if (!why.detail.empty())
    {
        message += " (" + why.detail + ")";
    }
    return json{
        {"error",
         {{"code", static_cast<int>(why.code)},
          {"name", name(why.code)},
          {"message", message},
          {"not_run", is_not_run(why.code)},
          {"request", request.value()}}}};
}

void append_event(std::string& out, const std::string& data)
{
    out += "data: ";
    out += data;
    out += "\n\n";
}

} // namespace

void append_delta(
    std::string& out, const answer_identity& identity, std::string_view text)
{
    out += R"(data: {"id":)";
    out += dumped(json(identity.request.value()));
    out += R"(,"object":"chat.completion.chunk","model":)";
    out += dumped(json(identity.model.value()));
    out += R"(,"choices":[{"index":0,"delta":{"content":)";
    out += dumped(json(text));
    out += "},\"finish_reason\":null}]}\n\n";
}

void append_finish(
    std::string& out, const answer_identity& identity,
    std::string_view finish_reason, const usage& used)
{
    json choice{{"index", 0}, {"finish_reason", finish_reason}};
    choice["delta"] = json::object();
    json last{
        {"id", identity.request.value()},
        {"object", "chat.completion.chunk"},
        {"model", identity.model.value()},
        {"usage", usage_json(used)}};
    last["choices"] = json::array({std::move(choice)});
    append_event(out, dumped(last));
    out += "data: [DONE]\n\n";
}

void append_error(
    std::string& out, const answer_identity& identity, const error& why)
{
    out += "event: error\n";
    append_event(out, dumped(error_json(identity.request, why)));
}

http::response whole_answer(
    const answer_identity& identity, const std::string& text,
    std::string_view finish_reason, const usage& used)
{
    json choice{{"index", 0}, {"finish_reason", finish_reason}};
    choice["message"] = json{{"role", "assistant"}, {"content", text}};
    json body{
        {"id", identity.request.value()},
        {"object", "chat.completion"},
        {"model", identity.model.value()},
        {"usage", usage_json(used)}};
    body["choices"] = json::array({std::move(choice)});
    http::response answer;
    answer.body = dumped(body);
    return answer;
}

http::response error_answer(
    const request_id& request, const error& why,
    std::optional<duration> retry_after)
{
    http::response answer;
    answer.status = http_status(why.code);
    answer.body = dumped(error_json(request, why));
    if (retry_after)
    {
        // The header counts whole seconds; a shorter wait is rounded up.
        const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(*retry_after).count();
        answer.headers.emplace_back(
            "Retry-After", std::to_string(std::max<std::int64_t>(seconds, 1)));
    }
    return answer;
}

unsigned http_status(result_code code) noexcept
{
    switch (code)
    {
    case result_code::ok:
        return 200;
    case result_code::body_too_large:
        return 413;
    case result_code::unknown_route:
    case result_code::unknown_model:
    case result_code::unknown_service:
        return 404;
    case result_code::idempotency_conflict:
    case result_code::filing_in_progress:
        return 409;
    case result_code::workspace_over_share:
    case result_code::queue_full:
        return 429;
    case result_code::quarantined:
        return 422;
    case result_code::deadline_passed:
        return 504;
    default:
        break;
    }
    constexpr unsigned group_size = 100;
    switch (static_cast<unsigned>(code) / group_size)
    {
    case 1:
        return 400;
    case 2:
        return 401;
    case 3:
    case 4:
        return 503;
    default:
        return 502;
    }
}

} // namespace wagtailseam::caller_http
