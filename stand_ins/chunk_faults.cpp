// Chunk scanning and faults.
#include "chunk_faults.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace wagtailseam::stand_ins
{
namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";

std::size_t number_after(
    std::string_view text, std::string_view field, int base)
{
    const auto at = text.find(field);
    if (at == std::string_view::npos)
    {
        return 0;
    }
    const auto* const first = text.data() + at + field.size();
    std::size_t value = 0;
    std::from_chars(first, text.data() + text.size(), value, base);
    return value;
}

} // namespace

std::string chunk_filter::pass(std::string_view bytes)
{
    buffer_ += bytes;
    std::string out;
    while (in_body_ ? take_body(out) : take_head(out))
    {
    }
    return out;
}

bool chunk_filter::take_head(std::string& out)
{
    const auto end = buffer_.find(head_end);
    if (end == std::string::npos)
    {
        return false;
    }
    const std::string head = buffer_.substr(0, end + head_end.size());
    buffer_.erase(0, head.size());
    chunked_ = head.find("chunked") != std::string::npos;
    body_left_ = number_after(head, "Content-Length: ", 10);
    in_body_ = chunked_ || body_left_ > 0;
    out += head;
    return !buffer_.empty();
}

bool chunk_filter::take_body(std::string& out)
{
    if (chunked_)
    {
        return take_chunk(out);
    }
    const auto part = std::min(body_left_, buffer_.size());
    out += buffer_.substr(0, part);
    buffer_.erase(0, part);
    body_left_ -= part;
    in_body_ = body_left_ > 0;
    return !buffer_.empty();
}

bool chunk_filter::take_chunk(std::string& out)
{
    const auto size_end = buffer_.find(line_end);
    if (size_end == std::string::npos)
    {
        return false;
    }
    const auto size = number_after(buffer_, "", 16);
    const auto whole = size_end + 2 * line_end.size() + size;
    if (buffer_.size() < whole)
    {
        return false;
    }
    std::string chunk = buffer_.substr(0, whole);
    buffer_.erase(0, whole);
    if (size > 0)
    {
        pass_chunk(std::move(chunk), out);
    }
    else
    {
        out += std::exchange(held_, {});
        out += chunk;
        in_body_ = false;
    }
    return !buffer_.empty();
}

void chunk_filter::pass_chunk(std::string chunk, std::string& out)
{
    if (faults_.strikes(faults_.rates.cross) && !faults_.stray_chunk.empty())
    {
        ++faults_.counts.cross;
        out += faults_.stray_chunk;
    }
    faults_.stray_chunk = chunk;
    if (faults_.strikes(faults_.rates.corrupt))
    {
        ++faults_.counts.corrupt;
        const auto data = chunk.find(line_end) + line_end.size();
        const auto length = chunk.size() - data - line_end.size();
        chunk[data + faults_.random.below(length)] ^= '\x01';
    }
    if (held_.empty() && faults_.strikes(faults_.rates.swap))
    {
        ++faults_.counts.swap;
        held_ = std::move(chunk);
        return;
    }
    out += chunk;
    if (faults_.strikes(faults_.rates.duplicate))
    {
        ++faults_.counts.duplicate;
        out += chunk;
    }
    out += std::exchange(held_, {});
}

} // namespace wagtailseam::stand_ins
