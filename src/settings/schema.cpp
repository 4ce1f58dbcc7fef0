// Walks a document along its schema.
#include "settings/schema.hpp"

#include "core/overloaded.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/assert.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace wagtailseam::settings
{
namespace
{

using nlohmann::json;

constexpr std::string_view identifier_characters =
    "abcdefghijklmnopqrstuvwxyz0123456789-_.";
constexpr std::string_view hex_characters = "0123456789abcdef";
constexpr std::size_t sha256_hex_digits = 64;

bool only(std::string_view text, std::string_view characters)
{
    return text.find_first_not_of(characters) == std::string_view::npos;
}

bool is_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return false;
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const bool bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code failed;
    const auto ip = boost::asio::ip::make_address(std::string(host), failed);
    std::uint16_t number = 0;
    const char* const end = port.data() + port.size();
    const auto read = std::from_chars(port.data(), end, number);
    return !failed && ip.is_v6() == bracketed && read.ec == std::errc{} &&
           read.ptr == end && number > 0;
}

bool follows(std::string_view text, text_format format)
{
    switch (format)
    {
    case text_format::any:
        return true;
    case text_format::identifier:
        return !text.empty() && only(text, identifier_characters);
    case text_format::sha256_hex:
        return text.size() == sha256_hex_digits && only(text, hex_characters);
    case text_format::address:
        return is_address(text);
    }
    return false;
}

std::string_view format_name(text_format format)
{
    switch (format)
    {
    case text_format::any:
        return "text";
    case text_format::identifier:
        return "identifier";
    case text_format::sha256_hex:
        return "64 hex digits";
    case text_format::address:
        return "IP:port";
    }
    return "text";
}

std::string join(const std::vector<std::string>& words)
{
    std::string joined;
    for (const std::string& word : words)
    {
        joined += (joined.empty() ? "" : ", ") + word;
    }
    return joined;
}

template <class Bound>
std::string range_text(Bound min, Bound max)
{
    std::ostringstream text;
    text << min;
    if (max == std::numeric_limits<Bound>::max())
    {
        text << " or more";
    }
    else
    {
        text << " to " << max;
    }
    return text.str();
}

std::string type_text(const value_rule& rule)
{
    return std::visit(
        overloaded{
            [](const text_rule& text) -> std::string
            {
                return text.one_of.empty()
                           ? std::string(format_name(text.format))
                           : "one of " + join(text.one_of);
            },
            [](const whole_rule& whole)
            { return "whole number, " + range_text(whole.min, whole.max); },
            [](const number_rule& number)
            { return "number, " + range_text(number.min, number.max); },
            [](const flag_rule&) -> std::string { return "true or false"; },
            [](const list_rule& list)
            { return "list of " + type_text(list.element.front().rule); },
            [](const object_rule&) -> std::string { return "object"; }},
        rule);
}

/// Collects the faults of one document.
class checker
{
public:
    explicit checker(const document& given) : given_(given) {}

    void check_object(
        const std::vector<field>& fields, const json& value,
        const std::string& path)
    {
        if (!value.is_object())
        {
            add(path, result_code::wrong_type, "write an object");
            return;
        }
        for (const auto& [key, member] : value.items())
        {
            check_member(fields, key, member, path);
        }
        for (const field& wanted : fields)
        {
            if (!wanted.fallback && !value.contains(wanted.name))
            {
                add(member_path(path, wanted.name), result_code::missing_field,
                    "add this field: " + type_text(wanted.rule));
            }
        }
    }

    [[nodiscard]] std::vector<fault> faults() &&
    {
        std::ranges::stable_sort(faults_, {}, &fault::line);
        std::vector<fault> all = given_.faults;
        all.insert(all.end(), faults_.begin(), faults_.end());
        return all;
    }

private:
    void add(const std::string& path, result_code code, std::string detail)
    {
        faults_.push_back(
            {.path = path,
             .line = given_.line_of(path),
             .code = code,
             .detail = std::move(detail)});
    }

    void check_member(
        const std::vector<field>& fields, const std::string& key,
        const json& member, const std::string& parent)
    {
        const std::string path = member_path(parent, key);
        const auto wanted = std::ranges::find(fields, key, &field::name);
        if (wanted == fields.end())
        {
            add(path, result_code::unknown_field,
                "no such field; remove it or correct its name");
            return;
        }
        check_value(wanted->rule, member, path);
    }

    void check_value(
        const value_rule& rule, const json& value, const std::string& path)
    {
        std::visit(
            [&](const auto& kind) { check_kind(kind, value, path); }, rule);
    }

    bool has_type(bool matches, const value_rule& rule, const std::string& path)
    {
        if (!matches)
        {
            add(path, result_code::wrong_type, "write a " + type_text(rule));
        }
        return matches;
    }

    void check_kind(
        const text_rule& rule, const json& value, const std::string& path)
    {
        if (!has_type(value.is_string(), rule, path))
        {
            return;
        }
        const auto& text = value.get_ref<const std::string&>();
        const bool listed =
            rule.one_of.empty() ||
            std::ranges::find(rule.one_of, text) != rule.one_of.end();
        if (!listed || !follows(text, rule.format))
        {
            add(path, result_code::out_of_range, "write " + type_text(rule));
        }
    }

    void check_kind(
        const whole_rule& rule, const json& value, const std::string& path)
    {
        if (!has_type(value.is_number_integer(), rule, path))
        {
            return;
        }
        // An unsigned value past int64 would wrap to a negative number.
        const bool too_large =
            value.is_number_unsigned() &&
            value.get<std::uint64_t>() >
                static_cast<std::uint64_t>(
                    std::numeric_limits<std::int64_t>::max());
        const auto number = value.get<std::int64_t>();
        if (too_large || number < rule.min || number > rule.max)
        {
            add(path, result_code::out_of_range, "write a " + type_text(rule));
        }
    }

    void check_kind(
        const number_rule& rule, const json& value, const std::string& path)
    {
        if (!has_type(value.is_number(), rule, path))
        {
            return;
        }
        const auto number = value.get<double>();
        if (number < rule.min || number > rule.max)
        {
            add(path, result_code::out_of_range, "write a " + type_text(rule));
        }
    }

    void check_kind(
        const flag_rule& rule, const json& value, const std::string& path)
    {
        has_type(value.is_boolean(), rule, path);
    }

    void check_kind(
        const list_rule& rule, const json& value, const std::string& path)
    {
        BOOST_ASSERT(rule.element.size() == 1);
        if (!has_type(value.is_array(), rule, path))
        {
            return;
        }
        if (value.size() < rule.min_size || value.size() > rule.max_size)
        {
            add(path, result_code::out_of_range,
                "the list must have " +
                    range_text(rule.min_size, rule.max_size) + " elements");
        }
        for (std::size_t i = 0; i < value.size(); ++i)
        {
            check_value(
                rule.element.front().rule, value[i], element_path(path, i));
        }
    }

    void check_kind(
        const object_rule& rule, const json& value, const std::string& path)
    {
        check_object(rule.fields, value, path);
    }

    const document& given_;
    std::vector<fault> faults_;
};

void fill(const std::vector<field>& fields, json& value);

/// A default of null stands for "none given" and stays as it is.
void fill_value(const value_rule& rule, json& value)
{
    if (value.is_null())
    {
        return;
    }
    if (const auto* const object = std::get_if<object_rule>(&rule))
    {
        fill(object->fields, value);
    }
    if (const auto* const list = std::get_if<list_rule>(&rule))
    {
        for (json& element : value)
        {
            fill_value(list->element.front().rule, element);
        }
    }
}

void fill(const std::vector<field>& fields, json& value)
{
    for (const field& wanted : fields)
    {
        if (!value.contains(wanted.name))
        {
            BOOST_ASSERT(wanted.fallback.has_value());
            value[wanted.name] = *wanted.fallback;
        }
        fill_value(wanted.rule, value[wanted.name]);
    }
}

void add_rows(
    const std::vector<field>& fields, const std::string& parent,
    std::string& table)
{
    for (const field& each : fields)
    {
        const std::string path = member_path(parent, each.name);
        table += "| `" + path + "` | " + type_text(each.rule) + " | ";
        table += each.fallback ? "`" + each.fallback->dump() + "`" : "required";
        table += " | " + each.description + " |\n";
        if (const auto* const object = std::get_if<object_rule>(&each.rule))
        {
            add_rows(object->fields, path, table);
        }
        const auto* const list = std::get_if<list_rule>(&each.rule);
        const auto* const element =
            list == nullptr
                ? nullptr
                : std::get_if<object_rule>(&list->element.front().rule);
        if (element != nullptr)
        {
            add_rows(element->fields, path + "[]", table);
        }
    }
}

} // namespace

list_rule list_of(
    value_rule element, std::size_t min_size, std::size_t max_size)
{
    return {
        .element = {{.name = {}, .rule = std::move(element)}},
        .min_size = min_size,
        .max_size = max_size};
}

std::vector<fault> check(const schema& wanted, const document& given)
{
    if (given.value.is_null() && !given.faults.empty())
    {
        return given.faults;
    }
    checker walk(given);
    walk.check_object(wanted.fields, given.value, {});
    return std::move(walk).faults();
}

std::vector<fault> check(const schema& wanted, const json& given)
{
    return check(wanted, document{.value = given, .lines = {}, .faults = {}});
}

json with_defaults(const schema& wanted, json value)
{
    fill(wanted.fields, value);
    return value;
}

loaded load(const schema& wanted, std::string_view text)
{
    const document given = parse_document(text);
    loaded read;
    read.faults = check(wanted, given);
    if (read.faults.empty())
    {
        read.value = with_defaults(wanted, given.value);
    }
    return read;
}

std::string reference(const schema& wanted)
{
    std::string table = "| path | value | default | meaning |\n"
                        "| --- | --- | --- | --- |\n";
    add_rows(wanted.fields, {}, table);
    return table;
}

} // namespace wagtailseam::settings
