// Parses unquoted words, keys and quoted values.
#include "log_story/log_line.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>

namespace wagtailseam::log_story
{
namespace
{

constexpr std::string_view whitespace = " \t\r\n";

void skip_whitespace(std::string_view& text)
{
    text.remove_prefix(
        std::min(text.find_first_not_of(whitespace), text.size()));
}

/// Removes a value from the front of text. @return whether the value is
/// complete
bool consume_value(std::string_view& text, std::string& value)
{
    if (!text.starts_with('"'))
    {
        const auto end = std::min(text.find_first_of(whitespace), text.size());
        value = text.substr(0, end);
        text.remove_prefix(end);
        return true;
    }
    std::size_t position = 1;
    for (; position < text.size() && text[position] != '"'; ++position)
    {
        const bool escaped =
            text[position] == '\\' && position + 1 < text.size();
        position += escaped ? 1U : 0U;
        value += text[position];
    }
    const bool is_complete = position < text.size();
    text.remove_prefix(is_complete ? position + 1 : text.size());
    return is_complete;
}

bool is_key(std::string_view word)
{
    return !word.empty() && std::all_of(
                                word.begin(), word.end(),
                                [](char c) {
                                    return (c >= 'a' && c <= 'z') ||
                                           (c >= '0' && c <= '9') || c == '_';
                                });
}

/// Parses a word of the collector's prefix: its timestamp or the source.
void parse_prefix_word(std::string_view word, log_line& line)
{
    const std::string text(word);
    char* end = nullptr;
    const double seconds = std::strtod(text.c_str(), &end);
    if (!line.collector_time_s && end == text.c_str() + text.size())
    {
        line.collector_time_s = seconds;
        return;
    }
    line.source += (line.source.empty() ? "" : " ") + text;
}

void store_field(log_line& line, std::string key, std::string value)
{
    if (key == "time")
    {
        line.time = std::move(value);
    }
    else if (key == "event")
    {
        line.event = std::move(value);
    }
    else
    {
        line.fields.emplace_back(std::move(key), std::move(value));
    }
}

} // namespace

std::string_view log_line::field(std::string_view key) const noexcept
{
    for (const auto& [name, value] : fields)
    {
        if (name == key)
        {
            return value;
        }
    }
    return {};
}

std::optional<std::int64_t> log_line::number(
    std::string_view key) const noexcept
{
    const auto text = field(key);
    std::int64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc{} || parsed_end != end)
    {
        return std::nullopt;
    }
    return value;
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    log_line line;
    bool in_fields = false;
    for (skip_whitespace(text); !text.empty(); skip_whitespace(text))
    {
        const auto word_end = std::min(text.find_first_of(" \t="), text.size());
        const auto word = text.substr(0, word_end);
        const bool has_value = word_end < text.size() && text[word_end] == '=';
        if (has_value && is_key(word))
        {
            in_fields = true;
            text.remove_prefix(word_end + 1);
            std::string value;
            line.truncated = !consume_value(text, value) || line.truncated;
            store_field(line, std::string(word), std::move(value));
            continue;
        }
        const auto end = std::min(text.find_first_of(whitespace), text.size());
        if (!in_fields)
        {
            parse_prefix_word(text.substr(0, end), line);
        }
        text.remove_prefix(end);
    }
    if (line.event.empty())
    {
        return std::nullopt;
    }
    return line;
}

} // namespace wagtailseam::log_story
