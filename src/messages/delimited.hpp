// Length-delimited messages in a byte stream.
#ifndef WAGTAILSEAM_MESSAGES_DELIMITED_HPP
#define WAGTAILSEAM_MESSAGES_DELIMITED_HPP

#include "core/result.hpp"
#include "messages/wagtail.hpp"

#include <string>
#include <string_view>

namespace wagtailseam::messages
{

/// Appends a message with its length in front.
void append_delimited(
    std::string& out, const google::protobuf::MessageLite& message);

/// Cuts messages out of bytes that arrive in parts.
class delimited_reader
{
public:
    /// Longest message accepted, in bytes.
    static constexpr std::size_t max_message_bytes =
        std::size_t{8} * 1024 * 1024;

    /// Adds bytes as they arrive.
    void feed(std::string_view bytes);

    /// Reads the next message. @return false when more bytes are needed.
    /// @errors malformed_message; nothing can be read after that.
    [[nodiscard]] result<bool> next(google::protobuf::MessageLite& message);

private:
    std::string buffer_;
    /// Bytes of buffer_ that were read. Invariant: at most buffer_.size().
    std::size_t consumed_ = 0;
};

} // namespace wagtailseam::messages

#endif
