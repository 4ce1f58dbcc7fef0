// Bounded storage of open streams and the encoding of their record.
#include "stream_origin/open_streams.hpp"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace wagtailseam::stream_origin
{
namespace
{

using nlohmann::json;

constexpr const char* origins_field = "origins";
constexpr const char* streams_field = "streams";

std::optional<origin> decode_origin(const json& source)
{
    if (!source.is_array() || source.size() != 2 || !source[0].is_string() ||
        !(source[1].is_string() || source[1].is_null()))
    {
        return std::nullopt;
    }
    origin decoded{
        .service = serving::service_id{source[0].get<std::string>()}};
    if (source[1].is_string())
    {
        decoded.version =
            serving::software_version{source[1].get<std::string>()};
    }
    return decoded;
}

} // namespace

std::string encode(const origin_map& origins)
{
    // Few origins occur, so each stream refers to its origin by index.
    std::map<origin, std::size_t> indices;
    auto encoded_origins = json::array();
    auto encoded_streams = json::object();
    for (const auto& [id, begun_by] : origins)
    {
        const auto [index, is_new] =
            indices.try_emplace(begun_by, indices.size());
        if (is_new)
        {
            encoded_origins.push_back(json::array(
                {begun_by.service.value(),
                 begun_by.version ? json(begun_by.version->value()) : json()}));
        }
        encoded_streams[id.value()] = index->second;
    }
    return json{
        {origins_field, std::move(encoded_origins)},
        {streams_field, std::move(encoded_streams)}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

result<origin_map> decode_origins(std::string_view value)
{
    const json row = json::parse(value, nullptr, false);
    if (!row.is_object() || !row.contains(origins_field) ||
        !row[origins_field].is_array() || !row.contains(streams_field) ||
        !row[streams_field].is_object())
    {
        return fail(
            result_code::malformed_message,
            "record of streams lacks valid origins or streams");
    }
    std::vector<origin> origins;
    for (const auto& entry : row[origins_field])
    {
        auto decoded = decode_origin(entry);
        if (!decoded)
        {
            return fail(
                result_code::malformed_message,
                "origin " + entry.dump() +
                    " is not [service, version or null]");
        }
        origins.push_back(std::move(*decoded));
    }
    origin_map decoded;
    for (const auto& [id, index] : row[streams_field].items())
    {
        if (!index.is_number_unsigned() ||
            index.get<std::size_t>() >= origins.size())
        {
            return fail(
                result_code::malformed_message,
                "stream " + id + " has the unknown origin " + index.dump());
        }
        decoded.emplace(request_id{id}, origins[index.get<std::size_t>()]);
    }
    return decoded;
}

open_streams::open_streams(const open_streams_options& options)
    : options_(options)
{
}

bool open_streams::begin(
    const request_id& id, const origin& begun_by, const stream_target& target,
    bool needs_record)
{
    const bool is_kept = target.path.size() <= options_.max_path_bytes;
    const bool is_recorded = needs_record || !is_kept;
    add(id, {.begun_by = begun_by,
             .target = is_kept ? target : stream_target{},
             .is_recorded = is_recorded});
    return is_recorded;
}

void open_streams::complete(const request_id& id)
{
    erase(id);
}

void open_streams::break_off(const request_id& id, mono_time now)
{
    const auto found = streams_.find(id);
    if (found != streams_.end())
    {
        found->second.kept_until = now + options_.retention;
    }
}

void open_streams::adopt(const origin_map& recorded, mono_time now)
{
    for (const auto& [id, begun_by] : recorded)
    {
        if (!streams_.contains(id))
        {
            add(id, {.begun_by = begun_by,
                     .is_recorded = true,
                     .kept_until = now + options_.retention});
        }
    }
}

void open_streams::expire(mono_time now)
{
    std::vector<request_id> expired;
    for (const auto& [id, entry] : streams_)
    {
        if (entry.kept_until && now >= *entry.kept_until)
        {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired)
    {
        erase(id);
    }
}

std::optional<origin> open_streams::find(const request_id& id) const
{
    const auto found = streams_.find(id);
    return found == streams_.end() ? std::nullopt
                                   : std::optional(found->second.begun_by);
}

origin_map open_streams::origins() const
{
    origin_map all;
    for (const auto& [id, entry] : streams_)
    {
        all.emplace(id, entry.begun_by);
    }
    return all;
}

origin_map open_streams::origins_to_record(
    const std::function<bool(const origin&)>& needs_record) const
{
    origin_map recorded;
    for (const auto& [id, entry] : streams_)
    {
        if (entry.is_recorded || needs_record(entry.begun_by))
        {
            recorded.emplace(id, entry.begun_by);
        }
    }
    return recorded;
}

bool open_streams::mark_recorded(
    const std::function<bool(const stream_target&, const origin&)>&
        needs_record)
{
    bool any_new = false;
    for (auto& [id, entry] : streams_)
    {
        if (!entry.is_recorded && needs_record(entry.target, entry.begun_by))
        {
            entry.is_recorded = true;
            any_new = true;
        }
    }
    return any_new;
}

void open_streams::add(const request_id& id, stream added)
{
    erase(id);
    added.number = ++additions_;
    order_.emplace(added.number, id);
    streams_.emplace(id, std::move(added));
    if (streams_.size() > options_.max_streams)
    {
        const auto oldest = order_.begin()->second;
        erase(oldest);
    }
}

void open_streams::erase(const request_id& id)
{
    const auto found = streams_.find(id);
    if (found != streams_.end())
    {
        order_.erase(found->second.number);
        streams_.erase(found);
    }
}

} // namespace wagtailseam::stream_origin
