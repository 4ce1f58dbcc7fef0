// Detects the boundaries and ids of server-sent events.
#include "serving/event_splitter.hpp"

#include <charconv>
#include <cstdint>
#include <optional>

namespace wagtailseam::serving
{
namespace
{

constexpr std::string_view id_field = "id:";
constexpr std::string_view retry_field = "retry:";

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \r");
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \r") - first + 1);
}

/// Removes the first line, with its end, and returns it without its end.
std::string_view take_line(std::string_view& text)
{
    const auto end = text.find('\n');
    auto line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    return line;
}

/// Returns the size of the first event with its blank line, 0 if there is no
/// blank line.
std::size_t first_event_size(std::string_view text)
{
    std::size_t size = 0;
    for (auto end = text.find('\n'); end != std::string_view::npos;
         end = text.find('\n', size))
    {
        const auto line = text.substr(size, end - size);
        size = end + 1;
        if (line.empty() || line == "\r")
        {
            return size;
        }
    }
    return 0;
}

/// Returns the value of the last id field.
std::optional<std::string> id_of(std::string_view event)
{
    std::optional<std::string> id;
    while (!event.empty())
    {
        const auto line = take_line(event);
        if (line.starts_with(id_field))
        {
            id = std::string(trim(line.substr(id_field.size())));
        }
    }
    return id;
}

/// Returns whether the lines contain only comments and retry times.
bool is_without_content(std::string_view event)
{
    while (!event.empty())
    {
        const auto line = take_line(event);
        if (!line.empty() && !line.starts_with(':') &&
            !line.starts_with(retry_field))
        {
            return false;
        }
    }
    return true;
}

std::optional<std::uint64_t> parse_id(std::string_view id)
{
    std::uint64_t number = 0;
    const auto [end, error] =
        std::from_chars(id.data(), id.data() + id.size(), number);
    const bool is_number = error == std::errc{} && end == id.data() + id.size();
    return is_number ? std::optional(number) : std::nullopt;
}

/// Ids that are numbers increase. Others only differ.
bool is_id_after(std::string_view id, std::string_view last)
{
    const auto last_number = parse_id(last);
    if (!last_number)
    {
        return !id.empty() && id != last;
    }
    const auto number = parse_id(id);
    return number && *number > *last_number;
}

} // namespace

void event_splitter::begin_continuation(std::string_view resume_after)
{
    is_continuation_ = !resume_after.empty();
    if (is_continuation_)
    {
        last_id_ = std::string(resume_after);
    }
}

std::string event_splitter::feed(std::string_view bytes)
{
    partial_ += bytes;
    std::string_view remaining = partial_;
    while (const auto size = first_event_size(remaining))
    {
        const auto event = remaining.substr(0, size);
        if (!follows(event))
        {
            is_misplaced_ = true;
            break;
        }
        if (auto id = id_of(event))
        {
            last_id_ = *std::move(id);
            is_resumable_ = !last_id_.empty();
        }
        else if (!is_without_content(event))
        {
            is_resumable_ = false;
        }
        remaining.remove_prefix(size);
    }
    const std::size_t end = partial_.size() - remaining.size();
    std::string complete = partial_.substr(0, end);
    partial_.erase(0, end);
    return complete;
}

bool event_splitter::follows(std::string_view event) const
{
    if (!is_continuation_ || is_without_content(event))
    {
        return true;
    }
    const auto id = id_of(event);
    return id && is_id_after(*id, last_id_);
}

} // namespace wagtailseam::serving
