// A datagram is a type byte followed by a MessagePack array.
#include "rate_limit/limit_report.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace wagtailseam::rate_limit
{
namespace
{

using nlohmann::json;

/// First byte of a datagram with a limit report; no other datagram type between
/// these processes begins with it.
constexpr char type_byte = 'L';

} // namespace

std::string encode(const limit_report& report)
{
    std::string datagram(1, type_byte);
    json::to_msgpack(
        json::array(
            {report.process.id.value(), report.process.started_ms,
             report.rate ? json(report.rate->value()) : json(),
             report.age.count()}),
        datagram);
    return datagram;
}

bool is_limit_report(std::string_view datagram) noexcept
{
    return datagram.starts_with(type_byte);
}

result<limit_report> decode_limit_report(std::string_view datagram)
{
    const auto invalid = []
    {
        return fail(
            result_code::malformed_message,
            "datagram contains no valid limit report");
    };
    if (!is_limit_report(datagram))
    {
        return invalid();
    }
    const auto document = json::from_msgpack(datagram.substr(1), true, false);
    if (!document.is_array() || document.size() != 4 ||
        !document[0].is_string() || !document[1].is_number_unsigned() ||
        !(document[2].is_null() || document[2].is_number()) ||
        !document[3].is_number_integer())
    {
        return invalid();
    }
    limit_report report{
        .process =
            {upstream_id(document[0].get<std::string>()),
             document[1].get<std::uint64_t>()},
        .rate = std::nullopt,
        .age = duration(document[3].get<std::int64_t>())};
    if (document[2].is_number())
    {
        const double rate = document[2].get<double>();
        if (!std::isfinite(rate) || rate < 0)
        {
            return invalid();
        }
        report.rate = request_rate{rate};
    }
    return report;
}

} // namespace wagtailseam::rate_limit
