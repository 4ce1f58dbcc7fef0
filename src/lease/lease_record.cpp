// Encodes and decodes the lease's row as JSON.
#include "lease/lease_state_machine.hpp"

#include <nlohmann/json.hpp>

namespace wagtailseam::lease
{

table_service::row_key lease_row_key(std::string_view lease_name)
{
    return {"lease", std::string(lease_name)};
}

std::string encode(const lease_record& record)
{
    const nlohmann::json value{
        {"holder", record.holder},
        {"life", record.holder_incarnation.value()},
        {"fencing", record.fencing.value()},
        {"nonce", record.nonce},
        {"length_us", record.length.count()}};
    return value.dump();
}

result<lease_record> decode_lease(std::string_view value)
{
    const auto json = nlohmann::json::parse(value, nullptr, false);
    try
    {
        return lease_record{
            .holder = json.at("holder").get<std::string>(),
            .holder_incarnation =
                incarnation{json.at("life").get<std::uint64_t>()},
            .fencing = fencing_number{json.at("fencing").get<std::uint64_t>()},
            .nonce = json.at("nonce").get<std::uint64_t>(),
            .length = duration(json.at("length_us").get<std::int64_t>())};
    }
    catch (const nlohmann::json::exception&)
    {
        return fail(result_code::malformed_message, "malformed lease row");
    }
}

} // namespace wagtailseam::lease
