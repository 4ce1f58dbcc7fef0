// The lease's row as JSON.
#include "lease/lease_state_machine.hpp"

#include <nlohmann/json.hpp>

namespace wagtailseam::lease
{

table_service::row_key lease_row_key(std::string_view duty)
{
    return {"lease", std::string(duty)};
}

std::string encode(const lease_record& record)
{
    const nlohmann::json value{
        {"holder", record.holder},
        {"life", record.life.value()},
        {"fencing", record.fencing.value()},
        {"nonce", record.nonce},
        {"length_us", record.length.count()}};
    return value.dump();
}

result<lease_record> decode_lease(std::string_view value)
{
    const auto read = nlohmann::json::parse(value, nullptr, false);
    try
    {
        return lease_record{
            .holder = read.at("holder").get<std::string>(),
            .life = incarnation{read.at("life").get<std::uint64_t>()},
            .fencing = fencing_number{read.at("fencing").get<std::uint64_t>()},
            .nonce = read.at("nonce").get<std::uint64_t>(),
            .length = duration(read.at("length_us").get<std::int64_t>())};
    }
    catch (const nlohmann::json::exception&)
    {
        return fail(result_code::malformed_message, "not a lease's row");
    }
}

} // namespace wagtailseam::lease
