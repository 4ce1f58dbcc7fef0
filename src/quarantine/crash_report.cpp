// A datagram is a type byte followed by a MessagePack array with the key and
// the value of each report's row.
#include "quarantine/crash_report.hpp"

#include <nlohmann/json.hpp>

namespace wagtailseam::quarantine
{
namespace
{

using nlohmann::json;

/// First byte of a datagram with crash reports; no other datagram type between
/// these processes begins with it.
constexpr char type_byte = 'Q';
/// Maximum size of the encoded reports of one datagram.
constexpr std::size_t max_reports_bytes = 1300;
/// Maximum encoded size of a report, excluding its key and value.
constexpr std::size_t max_report_overhead = 8;

std::string encode_datagram(const json& reports)
{
    std::string datagram(1, type_byte);
    json::to_msgpack(reports, datagram);
    return datagram;
}

} // namespace

std::vector<std::string> encode_datagrams(
    const std::vector<crash_report>& reports)
{
    std::vector<std::string> datagrams;
    json segment = json::array();
    std::size_t segment_bytes = 0;
    for (const auto& [request, record] : reports)
    {
        auto key = request.value().hex();
        auto value = encode(record);
        const auto size = key.size() + value.size() + max_report_overhead;
        if (segment_bytes + size > max_reports_bytes && !segment.empty())
        {
            datagrams.push_back(encode_datagram(segment));
            segment = json::array();
            segment_bytes = 0;
        }
        segment.push_back(json::array({std::move(key), std::move(value)}));
        segment_bytes += size;
    }
    if (!segment.empty())
    {
        datagrams.push_back(encode_datagram(segment));
    }
    return datagrams;
}

bool is_crash_report(std::string_view datagram) noexcept
{
    return datagram.starts_with(type_byte);
}

result<std::vector<crash_report>> decode_datagram(std::string_view datagram)
{
    if (!is_crash_report(datagram))
    {
        return fail(
            result_code::malformed_message,
            "datagram does not contain crash reports");
    }
    const auto document = json::from_msgpack(datagram.substr(1), true, false);
    std::vector<crash_report> reports;
    try
    {
        for (const auto& entry : document)
        {
            auto record = decode(entry.at(1).get_ref<const std::string&>());
            const auto key =
                digest::from_hex(entry.at(0).get_ref<const std::string&>());
            if (!record || key == digest{})
            {
                return fail(
                    result_code::malformed_message,
                    "datagram contains an invalid crash report");
            }
            reports.emplace_back(
                content_fingerprint(key), std::move(record).value());
        }
    }
    catch (const json::exception& exception)
    {
        return fail(result_code::malformed_message, exception.what());
    }
    return reports;
}

} // namespace wagtailseam::quarantine
