// Converts between table types and JSON; invalid input returns an error.
#include "table_service/json_codec.hpp"

namespace wagtailseam::table_service
{
namespace
{

using nlohmann::json;

auto malformed(const char* reason)
{
    return fail(result_code::malformed_json, reason);
}

bool has_string(const json& object, const char* field)
{
    return object.contains(field) && object[field].is_string();
}

bool has_unsigned(const json& object, const char* field)
{
    return object.contains(field) && object[field].is_number_unsigned();
}

result<row_write> write_from_json(const json& encoded)
{
    if (!encoded.is_object() || !has_string(encoded, "table") ||
        !has_string(encoded, "key"))
    {
        return malformed("write requires string fields table and key");
    }
    row_write write;
    write.key = {encoded["table"], encoded["key"]};
    if (has_unsigned(encoded, "expected"))
    {
        write.expected = row_version{encoded["expected"].get<std::uint64_t>()};
    }
    if (has_string(encoded, "value"))
    {
        write.value = encoded["value"].get<std::string>();
    }
    return write;
}

} // namespace

std::string string_field(const json& object, const char* field)
{
    const bool is_string = object.is_object() && has_string(object, field);
    return is_string ? object[field].get<std::string>() : std::string{};
}

json to_json(const transaction& request)
{
    json writes = json::array();
    for (const row_write& write : request.writes)
    {
        json encoded{{"table", write.key.table}, {"key", write.key.key}};
        if (write.expected)
        {
            encoded["expected"] = write.expected->value();
        }
        if (write.value)
        {
            encoded["value"] = *write.value;
        }
        writes.push_back(std::move(encoded));
    }
    return json{{"writes", std::move(writes)}};
}

result<transaction> transaction_from_json(const json& encoded)
{
    if (!encoded.is_object() || !encoded.contains("writes") ||
        !encoded["writes"].is_array())
    {
        return malformed("transaction requires an array field writes");
    }
    transaction request;
    for (const json& element : encoded["writes"])
    {
        auto write = write_from_json(element);
        if (!write)
        {
            return boost::outcome_v2::failure(write.error());
        }
        request.writes.push_back(std::move(write).value());
    }
    return request;
}

json to_json(const committed& response)
{
    json versions = json::array();
    for (const row_version& version : response.versions)
    {
        versions.push_back(version.value());
    }
    return json{{"versions", std::move(versions)}};
}

json to_json(const conflicted& response)
{
    json encoded{{"index", response.index}, {"current", nullptr}};
    if (response.current)
    {
        encoded["current"] = to_json(*response.current);
    }
    return encoded;
}

result<committed> committed_from_json(const json& encoded)
{
    if (!encoded.is_object() || !encoded.contains("versions") ||
        !encoded["versions"].is_array())
    {
        return malformed("commit response requires an array field versions");
    }
    committed response;
    for (const json& version : encoded["versions"])
    {
        if (!version.is_number_unsigned())
        {
            return malformed("row version must be an unsigned integer");
        }
        response.versions.emplace_back(version.get<std::uint64_t>());
    }
    return response;
}

result<conflicted> conflicted_from_json(const json& encoded)
{
    if (!encoded.is_object() || !has_unsigned(encoded, "index"))
    {
        return malformed("conflict response requires an unsigned field index");
    }
    conflicted response;
    response.index = encoded["index"].get<std::size_t>();
    if (encoded.contains("current") && !encoded["current"].is_null())
    {
        auto current = row_from_json(encoded["current"]);
        if (!current)
        {
            return boost::outcome_v2::failure(current.error());
        }
        response.current = std::move(current).value();
    }
    return response;
}

json to_json(const row& source)
{
    return json{
        {"table", source.key.table},
        {"key", source.key.key},
        {"value", source.value},
        {"version", source.version.value()}};
}

result<row> row_from_json(const json& encoded)
{
    const bool has_all_fields =
        encoded.is_object() && has_string(encoded, "table") &&
        has_string(encoded, "key") && has_string(encoded, "value") &&
        has_unsigned(encoded, "version");
    if (!has_all_fields)
    {
        return malformed("row requires fields table, key, value and version");
    }
    return row{
        {encoded["table"], encoded["key"]},
        encoded["value"],
        row_version{encoded["version"].get<std::uint64_t>()}};
}

} // namespace wagtailseam::table_service
