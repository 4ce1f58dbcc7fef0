// Encodes rows as JSON, so that operators can read the table directly.
#include "configuration/rows.hpp"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace wagtailseam::configuration
{
namespace
{

/// Decimal digits of the largest 64-bit number; padding makes keys sort by
/// number.
constexpr int key_digits = 20;

} // namespace

table_service::row_key head_row()
{
    return {std::string(configuration_table), "head"};
}

table_service::row_key history_row(config_number number)
{
    std::ostringstream key;
    key << history_prefix << std::setw(key_digits) << std::setfill('0')
        << number.value();
    return {std::string(configuration_table), key.str()};
}

std::string object_name(const digest& object)
{
    return "config/" + object.hex();
}

std::string encode(const acceptance& row)
{
    const nlohmann::json value{
        {"number", row.number.value()},
        {"object", row.object.hex()},
        {"nonce", row.nonce},
        {"by", row.by},
        {"at_us", row.at.time_since_epoch().count()},
        {"restores", row.restores.value()}};
    return value.dump();
}

result<acceptance> decode_acceptance(std::string_view value)
{
    const nlohmann::json fields = nlohmann::json::parse(value, nullptr, false);
    try
    {
        return acceptance{
            .number = config_number{fields.at("number").get<std::uint64_t>()},
            .object = digest::from_hex(fields.at("object").get<std::string>()),
            .nonce = fields.at("nonce").get<std::string>(),
            .by = fields.at("by").get<std::string>(),
            .at = wall_time(duration(fields.at("at_us").get<std::int64_t>())),
            .restores =
                config_number{fields.at("restores").get<std::uint64_t>()}};
    }
    catch (const nlohmann::json::exception&)
    {
        return fail(
            result_code::malformed_message,
            "row value is not an encoded acceptance");
    }
}

} // namespace wagtailseam::configuration
