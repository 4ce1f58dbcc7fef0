// Encodes the length prefixes with protobuf's coded streams.
#include "messages/delimited.hpp"

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wconversion"
#pragma GCC diagnostic ignored "-Wsign-conversion"
#pragma GCC diagnostic ignored "-Wold-style-cast"
#pragma GCC diagnostic ignored "-Wshadow"
#pragma GCC diagnostic ignored "-Wuseless-cast"
#include <google/protobuf/io/coded_stream.h>
#pragma GCC diagnostic pop

#include <array>

namespace wagtailseam::messages
{
namespace
{

using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;

constexpr std::size_t max_varint_bytes = 5;

} // namespace

void append_delimited(
    std::string& out, const google::protobuf::MessageLite& message)
{
    const auto size = static_cast<std::uint32_t>(message.ByteSizeLong());
    std::array<std::uint8_t, max_varint_bytes> prefix{};
    const auto* const end =
        CodedOutputStream::WriteVarint32ToArray(size, prefix.data());
    out.append(
        reinterpret_cast<const char*>(prefix.data()),
        static_cast<std::size_t>(end - prefix.data()));
    message.AppendToString(&out);
}

void delimited_reader::feed(std::string_view bytes)
{
    if (consumed_ == buffer_.size())
    {
        buffer_.clear();
        consumed_ = 0;
    }
    buffer_ += bytes;
}

result<bool> delimited_reader::next(google::protobuf::MessageLite& message)
{
    const std::string_view unread = std::string_view(buffer_).substr(consumed_);
    if (unread.empty())
    {
        return false;
    }
    CodedInputStream input(
        reinterpret_cast<const std::uint8_t*>(unread.data()),
        static_cast<int>(unread.size()));
    std::uint32_t size = 0;
    if (!input.ReadVarint32(&size))
    {
        if (unread.size() >= max_varint_bytes)
        {
            return fail(
                result_code::malformed_message,
                "length prefix is not a valid 32-bit varint");
        }
        return false;
    }
    if (size > max_message_bytes)
    {
        return fail(
            result_code::malformed_message, "message exceeds the size limit");
    }
    const auto start = static_cast<std::size_t>(input.CurrentPosition());
    if (unread.size() - start < size)
    {
        return false;
    }
    if (!message.ParseFromArray(unread.data() + start, static_cast<int>(size)))
    {
        return fail(
            result_code::malformed_message, "message is not valid protobuf");
    }
    consumed_ += start + size;
    return true;
}

} // namespace wagtailseam::messages
