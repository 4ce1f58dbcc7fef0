// Two passes over the text: a SAX pass that notes lines and repeated keys, and
// the library's own parse.
#include "settings/document.hpp"

#include <cstdint>
#include <iterator>
#include <set>

namespace wagtailseam::settings
{
namespace
{

/// How far the parser has read.
struct read_position
{
    std::size_t line = 1;
    char last = '\0';
};

/// Reads characters and counts the lines that the parser has consumed.
class counting_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    counting_iterator(const char* at, read_position* position)
        : at_(at), position_(position)
    {
    }

    reference operator*() const { return *at_; }

    counting_iterator& operator++()
    {
        position_->last = *at_;
        position_->line += *at_ == '\n' ? 1U : 0U;
        ++at_;
        return *this;
    }

    counting_iterator operator++(int)
    {
        counting_iterator before = *this;
        ++*this;
        return before;
    }

    friend bool operator==(
        const counting_iterator& a, const counting_iterator& b)
    {
        return a.at_ == b.at_;
    }

private:
    const char* at_;
    read_position* position_;
};

/// Notes the line of each value and the keys that stand twice.
class line_recorder : public nlohmann::json_sax<nlohmann::json>
{
public:
    line_recorder(read_position& position, document& found)
        : position_(position), found_(found)
    {
    }

    bool null() override { return scalar(); }
    bool boolean(bool /*value*/) override { return scalar(); }
    bool number_integer(number_integer_t /*value*/) override
    {
        return number();
    }
    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return number();
    }
    bool number_float(
        number_float_t /*value*/, const string_t& /*text*/) override
    {
        return number();
    }
    bool string(string_t& /*value*/) override { return scalar(); }
    bool binary(binary_t& /*value*/) override { return scalar(); }

    bool start_object(std::size_t /*elements*/) override
    {
        open_.push_back({.path = note(position_.line), .is_list = false});
        return true;
    }

    bool key(string_t& name) override
    {
        level& object = open_.back();
        object.key = name;
        if (!object.keys.insert(name).second)
        {
            found_.faults.push_back(
                {.path = member_path(object.path, name),
                 .line = position_.line,
                 .code = result_code::malformed_json,
                 .detail = "the key stands twice; remove one"});
        }
        return true;
    }

    bool end_object() override { return close(); }

    bool start_array(std::size_t /*elements*/) override
    {
        open_.push_back({.path = note(position_.line), .is_list = true});
        return true;
    }

    bool end_array() override { return close(); }

    bool parse_error(
        std::size_t /*position*/, const std::string& token,
        const nlohmann::detail::exception& /*error*/) override
    {
        found_.faults.push_back(
            {.path = {},
             .line = position_.line,
             .code = result_code::malformed_json,
             .detail = "unexpected text near '" + token + "'"});
        return false;
    }

private:
    struct level
    {
        std::string path;
        bool is_list = false;
        /// The key whose value comes next; unused in a list.
        std::string key;
        std::set<std::string> keys;
        /// The index of the element that comes next; unused in an object.
        std::size_t next = 0;
    };

    std::string next_path()
    {
        if (open_.empty())
        {
            return {};
        }
        level& parent = open_.back();
        return parent.is_list ? element_path(parent.path, parent.next++)
                              : member_path(parent.path, parent.key);
    }

    std::string note(std::size_t line)
    {
        std::string path = next_path();
        found_.lines.insert_or_assign(path, line);
        return path;
    }

    bool scalar()
    {
        note(position_.line);
        return true;
    }

    /// The parser reads one character past a number to find its end.
    bool number()
    {
        note(position_.line - (position_.last == '\n' ? 1U : 0U));
        return true;
    }

    bool close()
    {
        open_.pop_back();
        return true;
    }

    read_position& position_;
    document& found_;
    std::vector<level> open_;
};

} // namespace

std::string member_path(const std::string& parent, std::string_view key)
{
    if (parent.empty())
    {
        return std::string(key);
    }
    return parent + "." + std::string(key);
}

std::string element_path(const std::string& parent, std::size_t index)
{
    return parent + "[" + std::to_string(index) + "]";
}

std::size_t document::line_of(std::string path) const
{
    while (true)
    {
        const auto found = lines.find(path);
        if (found != lines.end())
        {
            return found->second;
        }
        const auto cut = path.find_last_of(".[");
        if (path.empty())
        {
            return 0;
        }
        path.resize(cut == std::string::npos ? 0 : cut);
    }
}

document parse_document(std::string_view text)
{
    document found;
    read_position position;
    line_recorder recorder(position, found);
    const char* const end = text.data() + text.size();
    const bool well_formed = nlohmann::json::sax_parse(
        counting_iterator(text.data(), &position),
        counting_iterator(end, &position), &recorder,
        nlohmann::json::input_format_t::json, true, true);
    if (well_formed)
    {
        found.value = nlohmann::json::parse(text, nullptr, false, true);
    }
    return found;
}

std::string describe(std::string_view file, const std::vector<fault>& faults)
{
    std::string text;
    for (const fault& each : faults)
    {
        text += std::string(file) + ":" + std::to_string(each.line) + ": ";
        text += each.path.empty() ? "" : each.path + ": ";
        text += std::string(name(each.code)) + ": " + each.detail + "\n";
    }
    return text;
}

} // namespace wagtailseam::settings
