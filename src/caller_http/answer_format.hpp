// Writes what callers receive: server-sent events, whole answers, errors.
#ifndef WAGTAILSEAM_CALLER_HTTP_ANSWER_FORMAT_HPP
#define WAGTAILSEAM_CALLER_HTTP_ANSWER_FORMAT_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/result.hpp"
#include "http/message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailseam::caller_http
{

/// What an answer cost, as the upstream reported it.
struct usage
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    /// Prompt tokens found in the engine's own cache.
    std::uint64_t cached_tokens = 0;
    /// Prompt tokens imported from kept cache.
    std::uint64_t imported_tokens = 0;
};

/// What is said of a request in each event.
struct answer_identity
{
    request_id request;
    model_id model;
};

/// Appends the event that carries a part of the answer.
void append_delta(
    std::string& out, const answer_identity& identity, std::string_view text);

/// Appends the event that ends a whole answer, and the closing mark.
void append_finish(
    std::string& out, const answer_identity& identity,
    std::string_view finish_reason, const usage& used);

/// Appends the event that says that the answer is not whole. No closing mark
/// follows, so that a client cannot take the answer for a complete one.
void append_error(
    std::string& out, const answer_identity& identity, const error& why);

/// Returns a whole answer that was not streamed.
[[nodiscard]] http::response whole_answer(
    const answer_identity& identity, const std::string& text,
    std::string_view finish_reason, const usage& used);

/// Returns an error answer with its HTTP status, and Retry-After when it is
/// known when to come back.
[[nodiscard]] http::response error_answer(
    const request_id& request, const error& why,
    std::optional<duration> retry_after = {});

/// Returns the HTTP status of a result code.
[[nodiscard]] unsigned http_status(result_code code) noexcept;

} // namespace wagtailseam::caller_http

#endif
