// Encodes prefill reports as a type byte and a MessagePack array, and adds them
// up.
#include "engine_status/prefill_report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace wagtailseam::engine_status
{
namespace
{

using nlohmann::json;

/// First byte of a prefill report. No other datagram type between these
/// processes starts with it.
constexpr char type_tag = 'P';

} // namespace

std::string encode(const prefill_report& report)
{
    const json document = json::array(
        {report.gateway.value(), report.upstream.value(), report.incarnation,
         report.sequence_number, report.pending_prefill.prompts,
         report.pending_prefill.prefill_time.count(),
         report.pending_prefill.tokens.value(), report.measured.responses,
         report.measured.observed.count(), report.measured.expected.count()});
    std::string datagram(1, type_tag);
    json::to_msgpack(document, datagram);
    return datagram;
}

bool is_prefill_report(std::string_view datagram) noexcept
{
    return datagram.starts_with(type_tag);
}

result<prefill_report> decode_prefill_report(std::string_view datagram)
{
    if (!is_prefill_report(datagram))
    {
        return fail(
            result_code::malformed_message, "datagram is not a prefill report");
    }
    const auto document = json::from_msgpack(datagram.substr(1), true, false);
    // Absent in reports of earlier releases.
    constexpr std::size_t tokens_index = 6;
    constexpr std::size_t measured_index = 7;
    try
    {
        const token_count tokens{
            document.size() > tokens_index
                ? document.at(tokens_index).get<std::uint64_t>()
                : 0};
        upstream_speed::measured_times measured;
        if (document.size() > measured_index)
        {
            measured = {
                .responses = document.at(measured_index).get<std::uint64_t>(),
                .observed = duration(
                    document.at(measured_index + 1).get<duration::rep>()),
                .expected = duration(
                    document.at(measured_index + 2).get<duration::rep>())};
        }
        return prefill_report{
            .gateway = vm_id{document.at(0).get<std::string>()},
            .upstream = upstream_id{document.at(1).get<std::string>()},
            .incarnation = document.at(2).get<std::uint64_t>(),
            .sequence_number = document.at(3).get<std::uint64_t>(),
            .pending_prefill =
                {.prompts = document.at(4).get<std::uint32_t>(),
                 .prefill_time = duration(document.at(5).get<duration::rep>()),
                 .tokens = tokens},
            .measured = measured};
    }
    catch (const json::exception& exception)
    {
        return fail(result_code::malformed_message, exception.what());
    }
}

prefill_report_table::prefill_report_table(
    const prefill_report_table_options& options)
    : options_(options)
{
}

bool prefill_report_table::update(const prefill_report& report, mono_time now)
{
    std::erase_if(
        reports_, [&](const auto& entry)
        { return now - entry.second.received_at > options_.lifetime; });
    auto& stored = reports_[report.gateway];
    if (stored.report.incarnation == report.incarnation &&
        stored.report.sequence_number >= report.sequence_number &&
        stored.report.sequence_number != 0)
    {
        return false;
    }
    const bool changed =
        stored.report.pending_prefill != report.pending_prefill;
    stored = {report, now};
    return changed;
}

serving::pending_prefill prefill_report_table::total(mono_time now) const
{
    serving::pending_prefill sum;
    for (const auto& [gateway, stored] : reports_)
    {
        if (now - stored.received_at <= options_.lifetime)
        {
            sum.prompts += stored.report.pending_prefill.prompts;
            sum.prefill_time += stored.report.pending_prefill.prefill_time;
            sum.tokens += stored.report.pending_prefill.tokens;
        }
    }
    return sum;
}

serving::pending_prefill prefill_report_table::from_gateway(
    const vm_id& gateway, mono_time now) const
{
    const auto stored = reports_.find(gateway);
    const bool is_valid = stored != reports_.end() &&
                          now - stored->second.received_at <= options_.lifetime;
    return is_valid ? stored->second.report.pending_prefill
                    : serving::pending_prefill{};
}

bool prefill_report_table::has_live_reports(mono_time now) const
{
    return std::any_of(
        reports_.begin(), reports_.end(),
        [&](const auto& entry)
        { return now - entry.second.received_at <= options_.lifetime; });
}

} // namespace wagtailseam::engine_status
