// A caller's request as the serving path processes it.
#ifndef WAGTAILSEAM_SERVING_CALL_HPP
#define WAGTAILSEAM_SERVING_CALL_HPP

#include "core/clock.hpp"
#include "http/message.hpp"
#include "serving/ids.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace wagtailseam::serving
{

struct prompt_part
{
    part_id id;
    token_count tokens;
};

/// Prompt metadata from the caller's headers.
struct prompt_metadata
{
    model_id model;
    /// In prompt order. The last part belongs to this request or its session
    /// alone; other requests may share the others.
    std::vector<prompt_part> parts;
    token_count prompt_tokens;
    token_count max_output_tokens;

    /// Returns the tokens for which an engine needs memory.
    [[nodiscard]] token_count needed_memory() const noexcept
    {
        return prompt_tokens + max_output_tokens;
    }
    /// Returns all parts but the last.
    [[nodiscard]] std::span<const prompt_part> shared_parts() const noexcept
    {
        return std::span(parts).first(parts.empty() ? 0 : parts.size() - 1);
    }
};

/// A received request and the fields decoded from its headers.
struct call
{
    request_id id;
    /// Lower case, without a port.
    std::string host;
    /// API key; empty if the request has none.
    std::string key;
    /// Time that the caller waits for the answer, from the request's arrival.
    duration time_left{};
    /// Unset for a request that names no model.
    std::optional<prompt_metadata> prompt;
    /// Id of the last event that the caller received in an earlier answer.
    std::string last_event_id;
    /// The request that brought the stream's first event, if the caller takes
    /// a stream up again; otherwise empty.
    request_id resumed_request;
    /// The whole message without hop-by-hop headers and without those that only
    /// this system sets.
    http::request message;
};

} // namespace wagtailseam::serving

#endif
