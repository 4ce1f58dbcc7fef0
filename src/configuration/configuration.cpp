// Schema of the configuration document and its conversion to typed values.
#include "configuration/configuration.hpp"

#include <algorithm>

namespace wagtailseam::configuration
{
namespace
{

using nlohmann::json;
using settings::field;
using settings::flag_rule;
using settings::list_of;
using settings::number_rule;
using settings::object_rule;
using settings::text_format;
using settings::text_rule;
using settings::whole_rule;

constexpr std::int64_t max_interval_ms = 3'600'000;
constexpr std::int64_t max_piece_tokens = 65'536;

const text_rule identifier{.format = text_format::identifier};
const whole_rule milliseconds{.min = 1, .max = max_interval_ms};

object_rule workspace_rule()
{
    return {
        {{.name = "id", .rule = identifier},
         {.name = "caller_keys",
          .rule = list_of(text_rule{text_format::sha256_hex}, 1)},
         {.name = "share", .rule = number_rule{.min = 0, .max = 1}},
         {.name = "objective",
          .rule =
              object_rule{
                  {{.name = "first_token", .rule = number_rule{0, 1}},
                   {.name = "recomputed_share", .rule = number_rule{0, 1}}}}},
         {.name = "models", .rule = list_of(identifier)},
         {.name = "services", .rule = list_of(identifier)}}};
}

object_rule model_rule()
{
    return {
        {{.name = "id", .rule = identifier},
         {.name = "version", .rule = whole_rule{.min = 1}},
         {.name = "cache_piece_tokens",
          .rule = whole_rule{.min = 1, .max = max_piece_tokens}},
         {.name = "adapters",
          .rule = list_of(object_rule{
              {{.name = "id", .rule = identifier},
               {.name = "version", .rule = whole_rule{.min = 1}}}})}}};
}

object_rule service_rule()
{
    return {
        {{.name = "id", .rule = identifier},
         {.name = "requests",
          .rule = list_of(object_rule{
              {{.name = "name", .rule = identifier},
               {.name = "idempotent", .rule = flag_rule{}}}})}}};
}

object_rule upstream_rule()
{
    return {
        {{.name = "id", .rule = identifier},
         {.name = "kind",
          .rule = text_rule{.one_of = {"engine", "service", "store"}}},
         {.name = "data_centre", .rule = identifier},
         {.name = "sidecar", .rule = text_rule{text_format::address}},
         {.name = "checks_fencing", .rule = flag_rule{}},
         {.name = "models", .rule = list_of(identifier)},
         {.name = "service", .rule = text_rule{}},
         {.name = "cell", .rule = whole_rule{.min = 0}}}};
}

std::vector<field> timing_fields()
{
    return {
        {.name = "spread",
         .rule =
             object_rule{{{.name = "poll_interval_ms", .rule = milliseconds}}}},
        {.name = "membership",
         .rule =
             object_rule{
                 {{.name = "heartbeat_interval_ms", .rule = milliseconds},
                  {.name = "silent_heartbeats", .rule = whole_rule{.min = 1}},
                  {.name = "cells", .rule = whole_rule{.min = 1}}}}},
        {.name = "lease",
         .rule = object_rule{
             {{.name = "length_ms", .rule = milliseconds},
              {.name = "renew_interval_ms", .rule = milliseconds},
              {.name = "margin_ms", .rule = milliseconds}}}}};
}

settings::schema make_schema()
{
    settings::schema schema{
        {{.name = "format", .rule = whole_rule{.min = 1, .max = 1}},
         {.name = "deployment", .rule = identifier},
         {.name = "data_centres", .rule = list_of(identifier, 1)},
         {.name = "workspaces", .rule = list_of(workspace_rule(), 1)},
         {.name = "models", .rule = list_of(model_rule())},
         {.name = "services", .rule = list_of(service_rule())},
         {.name = "upstreams", .rule = list_of(upstream_rule())},
         {.name = "process_keys",
          .rule =
              object_rule{
                  {{.name = "sign_with", .rule = identifier},
                   {.name = "accept", .rule = list_of(identifier, 1)}}}},
         {.name = "reasons",
          .rule = list_of(object_rule{
              {{.name = "path", .rule = text_rule{}},
               {.name = "reason", .rule = text_rule{}}}}),
          .fallback = json::array()}}};
    std::ranges::move(timing_fields(), std::back_inserter(schema.fields));
    return schema;
}

template <class Id>
std::vector<Id> parse_ids(const json& texts)
{
    std::vector<Id> ids;
    for (const json& text : texts)
    {
        ids.push_back(Id{text.get<std::string>()});
    }
    return ids;
}

/// Parses each element of a list with one function.
template <class Parse>
auto parse_list(const json& list, Parse parse)
{
    std::vector<decltype(parse(list))> parsed;
    for (const json& element : list)
    {
        parsed.push_back(parse(element));
    }
    return parsed;
}

weight_version parse_version(const json& value)
{
    return weight_version{value.get<std::uint64_t>()};
}

workspace_settings parse_workspace(const json& value)
{
    const json& objective = value["objective"];
    return {
        .id = workspace_id{value["id"].get<std::string>()},
        .caller_keys = parse_list(
            value["caller_keys"], [](const json& hex)
            { return digest::from_hex(hex.get<std::string>()); }),
        .share = value["share"].get<double>(),
        .objective =
            {.first_token = objective["first_token"].get<double>(),
             .recomputed_share = objective["recomputed_share"].get<double>()},
        .models = parse_ids<model_id>(value["models"]),
        .services = value["services"].get<std::vector<std::string>>()};
}

adapter_settings parse_adapter(const json& value)
{
    return {
        .id = adapter_id{value["id"].get<std::string>()},
        .version = parse_version(value["version"])};
}

model_settings parse_model(const json& value)
{
    return {
        .id = model_id{value["id"].get<std::string>()},
        .version = parse_version(value["version"]),
        .cache_piece_size =
            token_count{value["cache_piece_tokens"].get<std::uint64_t>()},
        .adapters = parse_list(value["adapters"], parse_adapter)};
}

service_request_settings parse_request(const json& value)
{
    return {
        .name = value["name"].get<std::string>(),
        .idempotent = value["idempotent"].get<bool>()};
}

service_settings parse_service(const json& value)
{
    return {
        .id = value["id"].get<std::string>(),
        .requests = parse_list(value["requests"], parse_request)};
}

upstream_settings parse_upstream(const json& value)
{
    return {
        .id = upstream_id{value["id"].get<std::string>()},
        .kind = parse_upstream_kind(value["kind"].get<std::string>()),
        .data_centre = data_centre_id{value["data_centre"].get<std::string>()},
        .sidecar = value["sidecar"].get<std::string>(),
        .checks_fencing = value["checks_fencing"].get<bool>(),
        .models = parse_ids<model_id>(value["models"]),
        .service = value["service"].get<std::string>(),
        .cell = cell_id{value["cell"].get<std::uint32_t>()}};
}

duration parse_milliseconds(const json& value)
{
    return std::chrono::milliseconds(value.get<std::int64_t>());
}

configuration parse_document(const json& value)
{
    const json& keys = value["process_keys"];
    const json& membership = value["membership"];
    const json& lease = value["lease"];
    return {
        .deployment = value["deployment"].get<std::string>(),
        .data_centres = parse_ids<data_centre_id>(value["data_centres"]),
        .workspaces = parse_list(value["workspaces"], parse_workspace),
        .models = parse_list(value["models"], parse_model),
        .services = parse_list(value["services"], parse_service),
        .upstreams = parse_list(value["upstreams"], parse_upstream),
        .process_keys =
            {.sign_with = keys["sign_with"].get<std::string>(),
             .accept = keys["accept"].get<std::vector<std::string>>()},
        .spread =
            {.poll_interval =
                 parse_milliseconds(value["spread"]["poll_interval_ms"])},
        .membership =
            {.heartbeat_interval =
                 parse_milliseconds(membership["heartbeat_interval_ms"]),
             .silent_heartbeats =
                 membership["silent_heartbeats"].get<std::uint32_t>(),
             .cells = membership["cells"].get<std::uint32_t>()},
        .lease = {
            .length = parse_milliseconds(lease["length_ms"]),
            .renew_interval = parse_milliseconds(lease["renew_interval_ms"]),
            .margin = parse_milliseconds(lease["margin_ms"])}};
}

} // namespace

const workspace_settings* find_workspace_by_key(
    const configuration& config, std::string_view bearer_key)
{
    const digest key_digest = sha256(bearer_key);
    const workspace_settings* owner = nullptr;
    for (const workspace_settings& workspace : config.workspaces)
    {
        for (const digest& key : workspace.caller_keys)
        {
            if (equal_constant_time(key, key_digest))
            {
                owner = &workspace;
            }
        }
    }
    return owner;
}

const service_request_settings* find_request(
    const configuration& config, std::string_view service,
    std::string_view request)
{
    const auto matching_service =
        std::ranges::find(config.services, service, &service_settings::id);
    if (matching_service == config.services.end())
    {
        return nullptr;
    }
    const auto matching_request = std::ranges::find(
        matching_service->requests, request, &service_request_settings::name);
    return matching_request == matching_service->requests.end()
               ? nullptr
               : &*matching_request;
}

const settings::schema& configuration_schema()
{
    static const settings::schema schema = make_schema();
    return schema;
}

result<configuration> parse_configuration(std::string_view bytes)
{
    const settings::loaded document =
        settings::load(configuration_schema(), bytes);
    if (!document.faults.empty())
    {
        return fail(
            result_code::config_invalid,
            settings::describe("configuration", document.faults));
    }
    return parse_document(document.value);
}

std::string_view name(upstream_kind kind) noexcept
{
    switch (kind)
    {
    case upstream_kind::engine:
        return "engine";
    case upstream_kind::service:
        return "service";
    case upstream_kind::store:
        return "store";
    }
    return "engine";
}

upstream_kind parse_upstream_kind(std::string_view text) noexcept
{
    if (text == "service")
    {
        return upstream_kind::service;
    }
    return text == "store" ? upstream_kind::store : upstream_kind::engine;
}

} // namespace wagtailseam::configuration
