// Encoding and decoding of length-delimited protobuf messages.
#ifndef WAGTAILSEAM_MESSAGES_DELIMITED_HPP
#define WAGTAILSEAM_MESSAGES_DELIMITED_HPP

#include "core/result.hpp"
#include "messages/wagtail.hpp"

#include <string>
#include <string_view>

namespace wagtailseam::messages
{

/// Appends a message, prefixed with its length as a varint.
void append_delimited(
    std::string& out, const google::protobuf::MessageLite& message);

/// Decodes messages from a byte stream that arrives in pieces.
class delimited_reader
{
public:
    /// Maximum size of an accepted message.
    static constexpr std::size_t max_message_bytes =
        std::size_t{8} * 1024 * 1024;

    /// Appends received bytes.
    void feed(std::string_view bytes);

    /// Decodes the next message. @return false if more bytes are needed
    /// @errors malformed_message; the reader must not be used after it
    [[nodiscard]] result<bool> next(google::protobuf::MessageLite& message);

private:
    std::string buffer_;
    /// Number of decoded bytes in buffer_. Invariant: at most buffer_.size().
    std::size_t consumed_ = 0;
};

} // namespace wagtailseam::messages

#endif
