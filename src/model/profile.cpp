// Reads profiles.
#include "model/profile.hpp"

#include "link/observed_rate.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace wagtailseam::model
{

namespace
{

using json = nlohmann::json;

/// Reads fields of one object and remembers the first fault.
class field_reader
{
public:
    field_reader(const json& object, std::string path, error& fault)
        : object_(object), path_(std::move(path)), fault_(fault)
    {
    }

    [[nodiscard]] double number(const char* key, double least = 0.0) const
    {
        const auto* value = find(key);
        if (value == nullptr)
        {
            return least;
        }
        if (!value->is_number())
        {
            note(result_code::wrong_type, key);
            return least;
        }
        const auto read = value->get<double>();
        if (!std::isfinite(read) || read < least || read > 1e15)
        {
            note(result_code::out_of_range, key);
            return least;
        }
        return read;
    }

    [[nodiscard]] std::size_t count(const char* key, std::size_t least) const
    {
        return static_cast<std::size_t>(
            number(key, static_cast<double>(least)));
    }

    [[nodiscard]] duration milliseconds(const char* key) const
    {
        return link::seconds_to_duration(number(key) / 1000.0);
    }

    [[nodiscard]] std::string text(const char* key) const
    {
        const auto* value = find(key);
        if (value != nullptr && !value->is_string())
        {
            note(result_code::wrong_type, key);
            return {};
        }
        return value == nullptr ? std::string{} : value->get<std::string>();
    }

    [[nodiscard]] field_reader object(const char* key) const
    {
        static const json empty = json::object();
        const auto* value = find(key);
        const bool usable = value != nullptr && value->is_object();
        if (value != nullptr && !usable)
        {
            note(result_code::wrong_type, key);
        }
        return {usable ? *value : empty, path_ + key + ".", fault_};
    }

    [[nodiscard]] const json& list(const char* key) const
    {
        static const json empty = json::array();
        const auto* value = find(key);
        if (value == nullptr || !value->is_array() || value->empty())
        {
            note(result_code::wrong_type, key);
            return empty;
        }
        return *value;
    }

    [[nodiscard]] field_reader item(const json& value) const
    {
        return {value, path_ + "item.", fault_};
    }

    void note(result_code code, const char* key) const
    {
        if (fault_.code == result_code::ok)
        {
            fault_ = error{code, path_ + key};
        }
    }

private:
    [[nodiscard]] const json* find(const char* key) const
    {
        const auto place =
            object_.is_object() ? object_.find(key) : object_.end();
        if (!object_.is_object() || place == object_.end())
        {
            note(result_code::missing_field, key);
            return nullptr;
        }
        return &*place;
    }

    const json& object_;
    std::string path_;
    error& fault_;
};

modelled_engine::options read_engine(const field_reader& from)
{
    return {
        .prefill_rate = token_rate{from.number("prefill_tokens_per_second", 1)},
        .chunk = token_count{from.count("chunk_tokens", 1)},
        .piece = token_count{from.count("piece_tokens", 1)},
        .step_base = from.milliseconds("step_base_ms"),
        .decode_cost = from.milliseconds("decode_ms_per_sequence"),
        .cache_pieces = from.count("cache_pieces", 1),
        .running_limit = from.count("running_limit", 1)};
}

store_options read_stores(const field_reader& from)
{
    return {
        .count = from.count("count", 1),
        .memory_pieces = from.count("memory_pieces", 1),
        .disk_pieces = from.count("disk_pieces", 1),
        .memory_rate = byte_rate{from.number("memory_bytes_per_second", 1)},
        .disk_rate = byte_rate{from.number("disk_bytes_per_second", 1)}};
}

conversation_kind read_kind(const field_reader& from)
{
    conversation_kind kind{
        .name = from.text("name"),
        .share = from.number("share"),
        .priority = from.count("priority", 0),
        .file_tokens_median = from.number("file_tokens_median"),
        .file_tokens_sigma = from.number("file_tokens_sigma"),
        .question_tokens = from.number("question_tokens", 1),
        .output_tokens = from.number("output_tokens", 1),
        .return_chance = from.number("return_chance"),
        .most_prompts = from.count("most_prompts", 1),
        .gaps = {},
        .notice_s = from.number("notice_s")};
    if (kind.priority >= routing::priority_levels)
    {
        from.note(result_code::out_of_range, "priority");
    }
    for (const auto& value : from.list("gaps"))
    {
        const auto gap = from.item(value);
        kind.gaps.push_back(
            {gap.number("share"), gap.number("median_s"), gap.number("sigma")});
    }
    return kind;
}

workload_options read_workload(const field_reader& from)
{
    workload_options read{
        .conversations_per_second =
            from.number("conversations_per_second", 1e-6),
        .warm_up_s = from.number("warm_up_s"),
        .measured_s = from.number("measured_s", 1),
        .burst_every_s = from.number("burst_every_s", 1),
        .burst_length_s = from.number("burst_length_s"),
        .burst_factor = from.number("burst_factor", 1),
        .workspace_shares = {},
        .shared_tokens = from.number("shared_tokens"),
        .kinds = {}};
    for (const auto& share : from.list("workspace_shares"))
    {
        if (!share.is_number())
        {
            from.note(result_code::wrong_type, "workspace_shares");
            break;
        }
        read.workspace_shares.push_back(share.get<double>());
    }
    for (const auto& value : from.list("conversations"))
    {
        read.kinds.push_back(read_kind(from.item(value)));
    }
    return read;
}

} // namespace

result<profile> read_profile(std::string_view text)
{
    const auto document = json::parse(text, nullptr, false, true);
    if (document.is_discarded())
    {
        return fail(result_code::malformed_json, "profile");
    }
    error fault;
    const field_reader from(document, "", fault);
    const auto objective = from.object("objective");
    profile read{
        .name = from.text("name"),
        .runners = from.count("runners", 1),
        .entries = from.count("entries", 1),
        .one_way = from.milliseconds("one_way_ms"),
        .client_one_way = from.milliseconds("client_one_way_ms"),
        .load_lag = from.milliseconds("load_lag_ms"),
        .event_lag = from.milliseconds("event_lag_ms"),
        .event_loss = from.number("event_loss"),
        .resync = from.milliseconds("resync_ms"),
        .weights_load = from.milliseconds("weights_load_ms"),
        .engine = read_engine(from.object("engine")),
        .stores = read_stores(from.object("stores")),
        .piece = {},
        .objective =
            {.first_token = objective.number("first_token"),
             .recomputed_share = objective.number("recomputed_share")},
        .workload = read_workload(from.object("workload"))};
    read.piece = {
        .tokens = read.engine.piece,
        .bytes = byte_count{from.count("piece_bytes", 1)}};
    if (fault.code != result_code::ok)
    {
        return fail(fault.code, fault.detail);
    }
    return read;
}

} // namespace wagtailseam::model
