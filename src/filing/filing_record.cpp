// Encoding of filing rows.
#include "filing/filing_record.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace wagtailseam::filing
{
namespace
{

using json = nlohmann::json;

json bytes_of(std::string_view text)
{
    return json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string text_of(const json& value)
{
    const auto& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

std::string escape(std::string_view text)
{
    std::string escaped;
    for (const char c : text)
    {
        if (c == '/')
        {
            escaped += "%2F";
        }
        else if (c == '%')
        {
            escaped += "%25";
        }
        else
        {
            escaped += c;
        }
    }
    return escaped;
}

json to_json(const filing_record& record)
{
    json value{
        {"digest", bytes_of(record.request_digest.view())},
        {"nonce", bytes_of(record.nonce.value())},
        {"entry", bytes_of(record.entry.value())},
        {"request", bytes_of(record.attempt.request.value())},
        {"attempt", record.attempt.number.value()},
        {"upstream", bytes_of(record.target.upstream.value())},
        {"life", record.target.life.value()},
        {"valid_until", record.target.valid_until.time_since_epoch().count()},
        {"state", static_cast<std::uint8_t>(record.state)},
        {"config", record.config.value()},
        {"reason", static_cast<std::uint16_t>(record.reason)},
        {"changed_at", record.changed_at.time_since_epoch().count()},
        {"resolved_by", bytes_of(record.resolved_by)}};
    if (record.outcome)
    {
        value["status"] = record.outcome->status;
        value["body"] = bytes_of(record.outcome->body);
    }
    return value;
}

filing_record from_json(const json& value)
{
    using rep = duration::rep;
    filing_record record;
    record.request_digest = digest::from_bytes(text_of(value.at("digest")));
    record.nonce = claim_nonce{text_of(value.at("nonce"))};
    record.entry = entry_id{text_of(value.at("entry"))};
    record.attempt.request = request_id{text_of(value.at("request"))};
    record.attempt.number =
        attempt_number{value.at("attempt").get<std::uint32_t>()};
    record.target.upstream = upstream_id{text_of(value.at("upstream"))};
    record.target.life = incarnation{value.at("life").get<std::uint64_t>()};
    record.target.valid_until =
        attempt::sidecar_time(duration(value.at("valid_until").get<rep>()));
    record.state =
        static_cast<filing_state>(value.at("state").get<std::uint8_t>());
    record.config = config_number{value.at("config").get<std::uint64_t>()};
    record.reason = result_code_of(value.at("reason").get<std::uint32_t>());
    record.changed_at = wall_time(duration(value.at("changed_at").get<rep>()));
    record.resolved_by = text_of(value.at("resolved_by"));
    if (value.contains("status"))
    {
        record.outcome = attempt::run_outcome{
            value.at("status").get<std::uint32_t>(), text_of(value.at("body"))};
    }
    return record;
}

bool consistent(const filing_record& record) noexcept
{
    const bool known = record.state >= filing_state::claimed &&
                       record.state <= filing_state::released;
    const bool done = record.state == filing_state::finished;
    return known && done == record.outcome.has_value();
}

} // namespace

platform::row_key filing_row(
    const workspace_id& workspace, const idempotency_key& key)
{
    return {
        std::string(filing_table),
        escape(workspace.value()) + "/" + key.value()};
}

std::string encode(const filing_record& record)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(to_json(record));
    return {bytes.begin(), bytes.end()};
}

result<filing_record> decode(std::string_view bytes)
{
    // The library reports malformed input and absent fields by exceptions.
    try
    {
        filing_record record = from_json(json::from_cbor(bytes));
        if (consistent(record))
        {
            return record;
        }
    }
    catch (const json::exception&)
    {
        return fail(result_code::malformed_message, "not a filing record");
    }
    return fail(result_code::malformed_message, "inconsistent filing record");
}

bool may_forget(const filing_record& record, wall_time now) noexcept
{
    const bool settled = record.state == filing_state::finished ||
                         record.state == filing_state::released;
    return settled &&
           now - record.changed_at > filing_retention + filing_clock_margin;
}

std::string_view name(filing_state state) noexcept
{
    switch (state)
    {
    case filing_state::claimed:
        return "claimed";
    case filing_state::unknown:
        return "unknown";
    case filing_state::finished:
        return "finished";
    case filing_state::released:
        return "released";
    }
    return "unlisted";
}

} // namespace wagtailseam::filing
