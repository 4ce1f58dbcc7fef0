// Encoding of the recorded routes.
#include "stream_origin/route_record.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <utility>

namespace wagtailseam::stream_origin
{
namespace
{

using nlohmann::json;

constexpr const char* number_field = "number";
constexpr const char* current_field = "current";
constexpr const char* replaced_field = "replaced";
constexpr const char* routes_field = "routes";
constexpr const char* replaced_at_field = "at_ms";

/// Encodes routes as a list of [host, prefix, [service, ...]].
json encode_routes(const stream_routes& routes)
{
    auto encoded = json::array();
    for (const auto& [host, prefixes] : routes)
    {
        for (const auto& routed : prefixes)
        {
            auto services = json::array();
            for (const auto& service : routed.services)
            {
                services.push_back(service.value());
            }
            encoded.push_back(
                json::array({host, routed.prefix, std::move(services)}));
        }
    }
    return encoded;
}

/// Decodes a list of services; nullopt if one is not a string.
std::optional<service_set> decode_services(const json& names)
{
    service_set services;
    for (const auto& name : names)
    {
        if (!name.is_string())
        {
            return std::nullopt;
        }
        services.emplace(name.get<std::string>());
    }
    return services;
}

result<stream_routes> decode_routes(const json& encoded)
{
    stream_routes routes;
    for (const auto& entry : encoded)
    {
        const bool has_form = entry.is_array() && entry.size() == 3 &&
                              entry[0].is_string() && entry[1].is_string() &&
                              entry[2].is_array();
        auto services =
            has_form ? decode_services(entry[2]) : std::optional<service_set>{};
        if (!services)
        {
            return fail(
                result_code::malformed_message,
                "route " + entry.dump() + " is not [host, prefix, services]");
        }
        routes[entry[0].get<std::string>()].push_back(
            {.prefix = entry[1].get<std::string>(),
             .services = std::move(*services)});
    }
    return routes;
}

} // namespace

std::string encode(const route_record& record)
{
    auto replaced = json::array();
    for (const auto& earlier : record.replaced)
    {
        replaced.push_back(
            {{routes_field, encode_routes(earlier.routes)},
             {replaced_at_field, earlier.replaced_at.count()}});
    }
    return json{
        {number_field, record.number.value()},
        {current_field, encode_routes(record.current)},
        {replaced_field, std::move(replaced)}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

result<route_record> decode_route_record(std::string_view value)
{
    const json row = json::parse(value, nullptr, false);
    if (!row.is_object() ||
        !row.value(number_field, json()).is_number_unsigned() ||
        !row.value(current_field, json()).is_array() ||
        !row.value(replaced_field, json()).is_array())
    {
        return fail(
            result_code::malformed_message,
            "record of routes lacks a valid number, current or replaced");
    }
    auto current = decode_routes(row[current_field]);
    if (!current)
    {
        return boost::outcome_v2::failure(current.error());
    }
    route_record record{
        .number = config_number{row[number_field].get<std::uint64_t>()},
        .current = std::move(current).value()};
    for (const auto& entry : row[replaced_field])
    {
        if (!entry.is_object() ||
            !entry.value(replaced_at_field, json()).is_number_integer() ||
            !entry.value(routes_field, json()).is_array())
        {
            return fail(
                result_code::malformed_message,
                "replaced routes " + entry.dump() + " lack at_ms or routes");
        }
        auto routes = decode_routes(entry[routes_field]);
        if (!routes)
        {
            return boost::outcome_v2::failure(routes.error());
        }
        record.replaced.push_back(
            {std::move(routes).value(),
             store_time(entry[replaced_at_field].get<std::int64_t>())});
    }
    return record;
}

} // namespace wagtailseam::stream_origin
