// Conversions between table types and JSON; bad input gives an error.
#include "table_service/json_codec.hpp"

namespace wagtailseam::table_service
{
namespace
{

using nlohmann::json;

auto malformed(const char* what)
{
    return fail(result_code::malformed_json, what);
}

bool has_text(const json& object, const char* field)
{
    return object.contains(field) && object[field].is_string();
}

bool has_number(const json& object, const char* field)
{
    return object.contains(field) && object[field].is_number_unsigned();
}

result<row_write> write_from_json(const json& text)
{
    if (!text.is_object() || !has_text(text, "table") || !has_text(text, "key"))
    {
        return malformed("a write needs table and key");
    }
    row_write write;
    write.key = {text["table"], text["key"]};
    if (has_number(text, "expected"))
    {
        write.expected = row_version{text["expected"].get<std::uint64_t>()};
    }
    if (has_text(text, "value"))
    {
        write.value = text["value"].get<std::string>();
    }
    return write;
}

} // namespace

std::string string_field(const json& object, const char* field)
{
    const bool present = object.is_object() && has_text(object, field);
    return present ? object[field].get<std::string>() : std::string{};
}

json to_json(const transaction& asked)
{
    json writes = json::array();
    for (const row_write& write : asked.writes)
    {
        json text{{"table", write.key.table}, {"key", write.key.key}};
        if (write.expected)
        {
            text["expected"] = write.expected->value();
        }
        if (write.value)
        {
            text["value"] = *write.value;
        }
        writes.push_back(std::move(text));
    }
    return json{{"writes", std::move(writes)}};
}

result<transaction> transaction_from_json(const json& text)
{
    if (!text.is_object() || !text.contains("writes") ||
        !text["writes"].is_array())
    {
        return malformed("a transaction needs an array of writes");
    }
    transaction asked;
    for (const json& each : text["writes"])
    {
        auto write = write_from_json(each);
        if (!write)
        {
            return boost::outcome_v2::failure(write.error());
        }
        asked.writes.push_back(std::move(write).value());
    }
    return asked;
}

json to_json(const committed& answer)
{
    json versions = json::array();
    for (const row_version& version : answer.versions)
    {
        versions.push_back(version.value());
    }
    return json{{"versions", std::move(versions)}};
}

json to_json(const conflicted& answer)
{
    json text{{"index", answer.index}, {"current", nullptr}};
    if (answer.current)
    {
        text["current"] = to_json(*answer.current);
    }
    return text;
}

result<committed> committed_from_json(const json& text)
{
    if (!text.is_object() || !text.contains("versions") ||
        !text["versions"].is_array())
    {
        return malformed("an answer needs versions");
    }
    committed answer;
    for (const json& version : text["versions"])
    {
        if (!version.is_number_unsigned())
        {
            return malformed("a version is a number");
        }
        answer.versions.emplace_back(version.get<std::uint64_t>());
    }
    return answer;
}

result<conflicted> conflicted_from_json(const json& text)
{
    if (!text.is_object() || !has_number(text, "index"))
    {
        return malformed("a conflict needs its index");
    }
    conflicted answer;
    answer.index = text["index"].get<std::size_t>();
    if (text.contains("current") && !text["current"].is_null())
    {
        auto current = row_from_json(text["current"]);
        if (!current)
        {
            return boost::outcome_v2::failure(current.error());
        }
        answer.current = std::move(current).value();
    }
    return answer;
}

json to_json(const row& found)
{
    return json{
        {"table", found.key.table},
        {"key", found.key.key},
        {"value", found.value},
        {"version", found.version.value()}};
}

result<row> row_from_json(const json& text)
{
    const bool complete = text.is_object() && has_text(text, "table") &&
                          has_text(text, "key") && has_text(text, "value") &&
                          has_number(text, "version");
    if (!complete)
    {
        return malformed("a row needs table, key, value and version");
    }
    return row{
        {text["table"], text["key"]},
        text["value"],
        row_version{text["version"].get<std::uint64_t>()}};
}

} // namespace wagtailseam::table_service
