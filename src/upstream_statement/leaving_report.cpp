// A datagram is a type byte followed by a MessagePack array.
#include "upstream_statement/leaving_report.hpp"

#include <nlohmann/json.hpp>

namespace wagtailseam::upstream_statement
{
namespace
{

using nlohmann::json;

/// First byte of a leaving report; no other datagram type between these
/// processes begins with it.
constexpr char type_byte = 'G';

} // namespace

std::string encode_leaving_report(const upstream_process& process)
{
    std::string datagram(1, type_byte);
    json::to_msgpack(
        json::array({process.id.value(), process.started_ms}), datagram);
    return datagram;
}

bool is_leaving_report(std::string_view datagram) noexcept
{
    return datagram.starts_with(type_byte);
}

result<upstream_process> decode_leaving_report(std::string_view datagram)
{
    const auto document =
        is_leaving_report(datagram)
            ? json::from_msgpack(datagram.substr(1), true, false)
            : json();
    if (!document.is_array() || document.size() != 2 ||
        !document[0].is_string() || !document[1].is_number_unsigned())
    {
        return fail(
            result_code::malformed_message,
            "datagram contains no valid leaving report");
    }
    return upstream_process{
        upstream_id(document[0].get<std::string>()),
        document[1].get<std::uint64_t>()};
}

} // namespace wagtailseam::upstream_statement
