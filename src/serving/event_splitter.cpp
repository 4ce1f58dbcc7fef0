// Detects the boundaries and ids of server-sent events.
#include "serving/event_splitter.hpp"

namespace wagtailseam::serving
{
namespace
{

constexpr std::string_view id_field = "id:";

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \r");
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \r") - first + 1);
}

/// Returns the position after the last blank line, 0 if there is none.
std::size_t end_of_events(std::string_view text)
{
    std::size_t end = 0;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '\n')
        {
            continue;
        }
        const auto rest = text.substr(i + 1);
        if (rest.starts_with('\n'))
        {
            end = i + 2;
        }
        else if (rest.starts_with("\r\n"))
        {
            end = i + 3;
        }
    }
    return end;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    partial_ += bytes;
    const std::size_t end = end_of_events(partial_);
    std::string complete = partial_.substr(0, end);
    partial_.erase(0, end);
    record_ids(complete);
    return complete;
}

void event_splitter::record_ids(std::string_view events)
{
    while (!events.empty())
    {
        const auto end = events.find('\n');
        const auto line = events.substr(0, end);
        if (line.starts_with(id_field))
        {
            last_id_ = std::string(trim(line.substr(id_field.size())));
        }
        if (end == std::string_view::npos)
        {
            return;
        }
        events.remove_prefix(end + 1);
    }
}

} // namespace wagtailseam::serving
