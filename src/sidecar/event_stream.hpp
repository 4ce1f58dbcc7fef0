// Reads a model engine's server-sent events.
#ifndef WAGTAILSEAM_SIDECAR_EVENT_STREAM_HPP
#define WAGTAILSEAM_SIDECAR_EVENT_STREAM_HPP

#include "core/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailseam::sidecar
{

/// What the engine has said so far.
struct engine_answer
{
    /// Text that came since it was last taken.
    std::string text;
    /// Tokens in that text.
    std::uint32_t tokens = 0;
    std::string finish_reason;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t imported_tokens = 0;
    /// The closing mark came: the answer is whole.
    bool done = false;
};

/// Cuts events out of bytes that arrive in parts.
class event_stream
{
public:
    /// Longest event accepted, in bytes.
    static constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

    /// Reads all whole events in the bytes so far.
    /// @errors malformed_message: the engine said something unreadable or
    ///         reported an error.
    [[nodiscard]] result<void> feed(
        std::string_view bytes, engine_answer& answer);

private:
    std::string buffer_;
};

} // namespace wagtailseam::sidecar

#endif
