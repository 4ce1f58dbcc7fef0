// Serialization and evaluation of claims.
#include "quarantine/trial_claim.hpp"

#include <nlohmann/json.hpp>

namespace wagtailseam::quarantine
{
namespace
{

using nlohmann::json;

/// Largest difference between the clocks of two gateways.
constexpr duration max_clock_difference = std::chrono::seconds(5);
constexpr const char* gateway_field = "vm";
constexpr const char* expires_field = "expires_us";

} // namespace

std::string_view name(claim_outcome outcome) noexcept
{
    switch (outcome)
    {
    case claim_outcome::claimed:
        return "claimed";
    case claim_outcome::held:
        return "held";
    case claim_outcome::unavailable:
        break;
    }
    return "unavailable";
}

std::string encode(const trial_claim& claim)
{
    return json{
        {gateway_field, claim.gateway.value()},
        {expires_field, claim.expires.time_since_epoch().count()}}
        .dump();
}

result<trial_claim> decode_trial_claim(std::string_view value)
{
    const json row = json::parse(value, nullptr, false);
    if (!row.is_object() || !row.value(gateway_field, json()).is_string() ||
        !row.value(expires_field, json()).is_number_integer())
    {
        return fail(
            result_code::malformed_message,
            "trial claim lacks a valid vm or expires_us: " +
                std::string(value));
    }
    return trial_claim{
        vm_id(row[gateway_field].get<std::string>()),
        wall_time(duration(row[expires_field].get<std::int64_t>()))};
}

bool is_held(const trial_claim& claim, wall_time now)
{
    return now < claim.expires &&
           claim.expires <= now + trial_claim_time + max_clock_difference;
}

} // namespace wagtailseam::quarantine
