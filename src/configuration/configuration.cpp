// Schema of the configuration document and its translation to typed values.
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
    settings::schema made{
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
    std::ranges::move(timing_fields(), std::back_inserter(made.fields));
    return made;
}

template <class Id>
std::vector<Id> ids_from(const json& texts)
{
    std::vector<Id> ids;
    for (const json& text : texts)
    {
        ids.push_back(Id{text.get<std::string>()});
    }
    return ids;
}

/// Reads each element of a list by one function.
template <class Read>
auto each_from(const json& list, Read read)
{
    std::vector<decltype(read(list))> all;
    for (const json& element : list)
    {
        all.push_back(read(element));
    }
    return all;
}

weight_version version_from(const json& value)
{
    return weight_version{value.get<std::uint64_t>()};
}

workspace_settings workspace_from(const json& value)
{
    const json& objective = value["objective"];
    return {
        .id = workspace_id{value["id"].get<std::string>()},
        .caller_keys = each_from(
            value["caller_keys"], [](const json& hex)
            { return digest::from_hex(hex.get<std::string>()); }),
        .share = value["share"].get<double>(),
        .objective =
            {.first_token = objective["first_token"].get<double>(),
             .recomputed_share = objective["recomputed_share"].get<double>()},
        .models = ids_from<model_id>(value["models"]),
        .services = value["services"].get<std::vector<std::string>>()};
}

adapter_settings adapter_from(const json& value)
{
    return {
        .id = adapter_id{value["id"].get<std::string>()},
        .version = version_from(value["version"])};
}

model_settings model_from(const json& value)
{
    return {
        .id = model_id{value["id"].get<std::string>()},
        .version = version_from(value["version"]),
        .cache_piece =
            token_count{value["cache_piece_tokens"].get<std::uint64_t>()},
        .adapters = each_from(value["adapters"], adapter_from)};
}

service_request_settings request_from(const json& value)
{
    return {
        .name = value["name"].get<std::string>(),
        .idempotent = value["idempotent"].get<bool>()};
}

service_settings service_from(const json& value)
{
    return {
        .id = value["id"].get<std::string>(),
        .requests = each_from(value["requests"], request_from)};
}

upstream_settings upstream_from(const json& value)
{
    return {
        .id = upstream_id{value["id"].get<std::string>()},
        .kind = upstream_kind_of(value["kind"].get<std::string>()),
        .data_centre = data_centre_id{value["data_centre"].get<std::string>()},
        .sidecar = value["sidecar"].get<std::string>(),
        .checks_fencing = value["checks_fencing"].get<bool>(),
        .models = ids_from<model_id>(value["models"]),
        .service = value["service"].get<std::string>(),
        .cell = cell_id{value["cell"].get<std::uint32_t>()}};
}

duration milliseconds_from(const json& value)
{
    return std::chrono::milliseconds(value.get<std::int64_t>());
}

configuration configuration_from(const json& value)
{
    const json& keys = value["process_keys"];
    const json& membership = value["membership"];
    const json& lease = value["lease"];
    return {
        .deployment = value["deployment"].get<std::string>(),
        .data_centres = ids_from<data_centre_id>(value["data_centres"]),
        .workspaces = each_from(value["workspaces"], workspace_from),
        .models = each_from(value["models"], model_from),
        .services = each_from(value["services"], service_from),
        .upstreams = each_from(value["upstreams"], upstream_from),
        .process_keys =
            {.sign_with = keys["sign_with"].get<std::string>(),
             .accept = keys["accept"].get<std::vector<std::string>>()},
        .spread =
            {.poll_interval =
                 milliseconds_from(value["spread"]["poll_interval_ms"])},
        .membership =
            {.heartbeat_interval =
                 milliseconds_from(membership["heartbeat_interval_ms"]),
             .silent_heartbeats =
                 membership["silent_heartbeats"].get<std::uint32_t>(),
             .cells = membership["cells"].get<std::uint32_t>()},
        .lease = {
            .length = milliseconds_from(lease["length_ms"]),
            .renew_interval = milliseconds_from(lease["renew_interval_ms"]),
            .margin = milliseconds_from(lease["margin_ms"])}};
}

} // namespace

const workspace_settings* workspace_of_key(
    const configuration& in, std::string_view bearer_key)
{
    const digest wanted = sha256(bearer_key);
    const workspace_settings* owner = nullptr;
    for (const workspace_settings& workspace : in.workspaces)
    {
        for (const digest& key : workspace.caller_keys)
        {
            if (equal_constant_time(key, wanted))
            {
                owner = &workspace;
            }
        }
    }
    return owner;
}

const service_request_settings* find_request(
    const configuration& in, std::string_view service, std::string_view request)
{
    const auto found =
        std::ranges::find(in.services, service, &service_settings::id);
    if (found == in.services.end())
    {
        return nullptr;
    }
    const auto asked = std::ranges::find(
        found->requests, request, &service_request_settings::name);
    return asked == found->requests.end() ? nullptr : &*asked;
}

const settings::schema& configuration_schema()
{
    static const settings::schema schema = make_schema();
    return schema;
}

result<configuration> parse_configuration(std::string_view bytes)
{
    const settings::loaded read = settings::load(configuration_schema(), bytes);
    if (!read.faults.empty())
    {
        return fail(
            result_code::config_invalid,
            settings::describe("configuration", read.faults));
    }
    return configuration_from(read.value);
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

upstream_kind upstream_kind_of(std::string_view text) noexcept
{
    if (text == "service")
    {
        return upstream_kind::service;
    }
    return text == "store" ? upstream_kind::store : upstream_kind::engine;
}

} // namespace wagtailseam::configuration
