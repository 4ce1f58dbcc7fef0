// Words, keys and quoted values.
#include "log_story/log_line.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>

namespace wagtailseam::log_story
{
namespace
{

constexpr std::string_view blanks = " \t\r\n";

void skip_blanks(std::string_view& text)
{
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
}

/// Takes a value off the front. @return whether its end is there
bool take_value(std::string_view& text, std::string& value)
{
    if (!text.starts_with('"'))
    {
        const auto end = std::min(text.find_first_of(blanks), text.size());
        value = text.substr(0, end);
        text.remove_prefix(end);
        return true;
    }
    std::size_t at = 1;
    for (; at < text.size() && text[at] != '"'; ++at)
    {
        const bool escaped = text[at] == '\\' && at + 1 < text.size();
        at += escaped ? 1U : 0U;
        value += text[at];
    }
    const bool whole = at < text.size();
    text.remove_prefix(whole ? at + 1 : text.size());
    return whole;
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

/// A word of the collector: its clock, or the name of the source.
void take_collector_word(std::string_view word, log_line& line)
{
    const std::string text(word);
    char* end = nullptr;
    const double seconds = std::strtod(text.c_str(), &end);
    if (!line.collected_s && end == text.c_str() + text.size())
    {
        line.collected_s = seconds;
        return;
    }
    line.source += (line.source.empty() ? "" : " ") + text;
}

void take_field(log_line& line, std::string key, std::string value)
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
    const auto [stop, failed] = std::from_chars(text.data(), end, value);
    if (text.empty() || failed != std::errc{} || stop != end)
    {
        return std::nullopt;
    }
    return value;
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    log_line line;
    bool in_fields = false;
    for (skip_blanks(text); !text.empty(); skip_blanks(text))
    {
        const auto stop = std::min(text.find_first_of(" \t="), text.size());
        const auto word = text.substr(0, stop);
        const bool has_value = stop < text.size() && text[stop] == '=';
        if (has_value && is_key(word))
        {
            in_fields = true;
            text.remove_prefix(stop + 1);
            std::string value;
            line.cut = !take_value(text, value) || line.cut;
            take_field(line, std::string(word), std::move(value));
            continue;
        }
        const auto end = std::min(text.find_first_of(blanks), text.size());
        if (!in_fields)
        {
            take_collector_word(text.substr(0, end), line);
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
