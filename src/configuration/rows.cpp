// Row values are JSON, so that operators can read the table by hand.
#include "configuration/rows.hpp"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace wagtailseam::configuration
{
namespace
{

/// Digits of the largest 64-bit number.
constexpr int number_width = 20;

} // namespace

table_service::row_key head_row()
{
    return {std::string(configuration_table), "head"};
}

table_service::row_key history_row(config_number number)
{
    std::ostringstream key;
    key << history_prefix << std::setw(number_width) << std::setfill('0')
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
    const nlohmann::json read = nlohmann::json::parse(value, nullptr, false);
    try
    {
        return acceptance{
            .number = config_number{read.at("number").get<std::uint64_t>()},
            .object = digest::from_hex(read.at("object").get<std::string>()),
            .nonce = read.at("nonce").get<std::string>(),
            .by = read.at("by").get<std::string>(),
            .at = wall_time(duration(read.at("at_us").get<std::int64_t>())),
            .restores =
                config_number{read.at("restores").get<std::uint64_t>()}};
    }
    catch (const nlohmann::json::exception&)
    {
        return fail(result_code::malformed_message, "not an acceptance's row");
    }
}

} // namespace wagtailseam::configuration
