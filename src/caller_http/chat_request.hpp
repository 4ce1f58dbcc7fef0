// Reads what callers send: chat completions and calls to services.
#ifndef WAGTAILSEAM_CALLER_HTTP_CHAT_REQUEST_HPP
#define WAGTAILSEAM_CALLER_HTTP_CHAT_REQUEST_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/result.hpp"
#include "http/message.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace wagtailseam::caller_http
{

/// Limits on what one caller may ask for.
struct request_limits
{
    std::uint32_t max_answer_tokens = 4'096;
    std::size_t max_messages = 2'000;
    duration default_deadline = std::chrono::seconds(60);
    duration max_deadline = std::chrono::minutes(10);
};

/// A chat completion as the caller asked for it.
struct chat_request
{
    model_id model;
    bool stream = false;
    std::uint32_t max_tokens = 0;
    std::int32_t priority = 0;
    /// Groups the turns of one conversation; empty when not given.
    std::string conversation;
    duration deadline{};
    /// The messages as JSON text.
    std::string messages;
    /// The messages as one text, in which equal beginnings mean equal prompts.
    std::string rendered;
};

/// A call to a plain service.
struct service_call
{
    std::string service;
    std::string operation;
    std::optional<idempotency_key> key;
    duration deadline{};
    std::string body;
};

/// Reads a chat completion. @errors malformed_json, missing_field, wrong_type,
/// out_of_range; the detail names the field.
[[nodiscard]] result<chat_request> parse_chat(
    const http::request& asked, const request_limits& limits = {});

/// Reads a call of /v1/services/<service>/<operation>.
/// @errors unknown_route, malformed_json, out_of_range
[[nodiscard]] result<service_call> parse_service_call(
    const http::request& asked, const request_limits& limits = {});

/// Returns the bearer key. @errors missing_credentials
[[nodiscard]] result<std::string> bearer_key(const http::request& asked);

/// Returns the body of a chat completion for the upstream. A partial answer
/// of an earlier attempt is continued.
/// @param tokens_sent tokens of the partial answer
/// @param cache_salt keeps prefixes of workspaces and versions apart
[[nodiscard]] std::string upstream_body(
    const chat_request& request, const std::string& partial_answer,
    std::uint32_t tokens_sent, const std::string& cache_salt);

} // namespace wagtailseam::caller_http

#endif
