// A caller's request as the serving path sees it.
#ifndef WAGTAILSEAM_SERVING_CALL_HPP
#define WAGTAILSEAM_SERVING_CALL_HPP

#include "core/clock.hpp"
#include "http/message.hpp"
#include "serving/ids.hpp"

#include <optional>
#include <string>
#include <vector>

namespace wagtailseam::serving
{

/// A part of a prompt in its order.
struct prompt_part
{
    part_id id;
    token_count tokens;
};

/// What a caller says of its prompt.
struct prompt_metadata
{
    model_id model;
    /// The last one belongs to this request or its session alone.
    std::vector<prompt_part> parts;
    token_count prompt_tokens;
    token_count max_output_tokens;
};

/// A request as received, with what its headers say.
struct call
{
    request_id id;
    /// Lower case, without a port.
    std::string host;
    /// Empty without one.
    std::string key;
    /// How long the caller waits, from its arrival.
    duration time_left{};
    /// Nothing for requests without a model.
    std::optional<prompt_metadata> prompt;
    /// The number of the last event that the caller has of an earlier answer.
    std::string last_event_id;
    /// The whole message, without the headers that concern one connection or
    /// are for this system to set.
    http::request message;
};

} // namespace wagtailseam::serving

#endif
