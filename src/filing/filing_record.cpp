// Encoding of filing rows.
#include "filing/filing_record.hpp"

#include <nlohmann/json.hpp>

#include <vector>

namespace wagtailseam::filing
{
namespace
{

using json = nlohmann::json;

constexpr std::string_view hex_digits = "0123456789abcdef";

bool printable(char c) noexcept
{
    return c >= ' ' && c <= '~';
}

/// Writes each byte that is not printable ASCII, and each of `special`, as
/// %XX, so that the result is printable and the text can be told from it.
std::string escape(std::string_view text, std::string_view special)
{
    constexpr unsigned nibble = 4;
    std::string escaped;
    for (const char c : text)
    {
        if (printable(c) && special.find(c) == std::string_view::npos)
        {
            escaped += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        escaped += '%';
        escaped += hex_digits[byte >> nibble];
        escaped += hex_digits[byte & 0xFU];
    }
    return escaped;
}

std::string escape(std::string_view text)
{
    return escape(text, "%");
}

/// Undoes escape(). Text that escape() did not make gives other text.
std::string unescape(const std::string& text)
{
    constexpr unsigned nibble = 4;
    constexpr std::size_t escape_length = 3;
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%' || i + escape_length > text.size())
        {
            plain += text[i];
            continue;
        }
        const auto high = hex_digits.find(text[i + 1]);
        const auto low = hex_digits.find(text[i + 2]);
        plain += static_cast<char>((high << nibble) | (low & 0xFU));
        i += escape_length - 1;
    }
    return plain;
}

std::string text_of(const json& value)
{
    return unescape(value.get_ref<const std::string&>());
}

json to_json(const filing_record& record)
{
    json value{
        {"digest", record.request_digest.hex()},
        {"nonce", escape(record.nonce.value())},
        {"entry", escape(record.entry.value())},
        {"request", escape(record.attempt.request.value())},
        {"attempt", record.attempt.number.value()},
        {"upstream", escape(record.target.upstream.value())},
        {"life", record.target.sidecar_incarnation.value()},
        {"valid_until", record.target.valid_until.time_since_epoch().count()},
        {"state", static_cast<std::uint8_t>(record.state)},
        {"config", record.config.value()},
        {"reason", static_cast<std::uint16_t>(record.reason)},
        {"changed_at", record.changed_at.time_since_epoch().count()},
        {"resolved_by", escape(record.resolved_by)}};
    if (record.outcome)
    {
        value["status"] = record.outcome->status;
        value["body"] = escape(record.outcome->body);
    }
    return value;
}

filing_record from_json(const json& value)
{
    using rep = duration::rep;
    filing_record record;
    record.request_digest = digest::from_hex(text_of(value.at("digest")));
    record.nonce = claim_nonce{text_of(value.at("nonce"))};
    record.entry = entry_id{text_of(value.at("entry"))};
    record.attempt.request = request_id{text_of(value.at("request"))};
    record.attempt.number =
        attempt_number{value.at("attempt").get<std::uint32_t>()};
    record.target.upstream = upstream_id{text_of(value.at("upstream"))};
    record.target.sidecar_incarnation =
        incarnation{value.at("life").get<std::uint64_t>()};
    record.target.valid_until =
        attempt::sidecar_time(duration(value.at("valid_until").get<rep>()));
    record.state =
        static_cast<filing_state>(value.at("state").get<std::uint8_t>());
    record.config = config_number{value.at("config").get<std::uint64_t>()};
    record.reason =
        result_code_from_number(value.at("reason").get<std::uint32_t>());
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

table_service::row_key filing_row(
    const workspace_id& workspace, const idempotency_key& key)
{
    return {
        std::string(filing_table),
        escape(workspace.value(), "%/") + "/" + escape(key.value())};
}

std::string encode(const filing_record& record)
{
    return to_json(record).dump();
}

result<filing_record> decode(std::string_view bytes)
{
    // The library reports malformed input and absent fields by exceptions.
    try
    {
        filing_record record = from_json(json::parse(bytes));
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
