// MessagePack by nlohmann/json behind a mark, and sums.
#include "engine_status/prefill_report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace wagtailseam::engine_status
{
namespace
{

using nlohmann::json;

/// No other datagram between these processes begins so.
constexpr char mark = 'P';

} // namespace

std::string encode(const prefill_report& said)
{
    const json document = json::array(
        {said.gateway.value(), said.upstream.value(), said.incarnation,
         said.sequence_number, said.unread.prompts,
         said.unread.reading.count()});
    std::string datagram(1, mark);
    json::to_msgpack(document, datagram);
    return datagram;
}

bool is_prefill_report(std::string_view datagram) noexcept
{
    return datagram.starts_with(mark);
}

result<prefill_report> decode_prefill_report(std::string_view datagram)
{
    if (!is_prefill_report(datagram))
    {
        return fail(result_code::malformed_message, "no claim");
    }
    const auto document = json::from_msgpack(datagram.substr(1), true, false);
    try
    {
        return prefill_report{
            .gateway = vm_id{document.at(0).get<std::string>()},
            .upstream = upstream_id{document.at(1).get<std::string>()},
            .incarnation = document.at(2).get<std::uint64_t>(),
            .sequence_number = document.at(3).get<std::uint64_t>(),
            .unread = {
                .prompts = document.at(4).get<std::uint32_t>(),
                .reading = duration(document.at(5).get<duration::rep>())}};
    }
    catch (const json::exception& raised)
    {
        return fail(result_code::malformed_message, raised.what());
    }
}

prefill_report_table::prefill_report_table(
    const prefill_report_table_options& options)
    : options_(options)
{
}

bool prefill_report_table::update(const prefill_report& said, mono_time now)
{
    std::erase_if(
        known_, [&](const auto& entry)
        { return now - entry.second.heard > options_.trust; });
    auto& known = known_[said.gateway];
    if (known.last.incarnation == said.incarnation &&
        known.last.sequence_number >= said.sequence_number &&
        known.last.sequence_number != 0)
    {
        return false;
    }
    const bool changed = known.last.unread != said.unread;
    known = {said, now};
    return changed;
}

serving::unread_work prefill_report_table::total(mono_time now) const
{
    serving::unread_work sum;
    for (const auto& [gateway, known] : known_)
    {
        if (now - known.heard <= options_.trust)
        {
            sum.prompts += known.last.unread.prompts;
            sum.reading += known.last.unread.reading;
        }
    }
    return sum;
}

serving::unread_work prefill_report_table::from_gateway(
    const vm_id& gateway, mono_time now) const
{
    const auto known = known_.find(gateway);
    const bool counts =
        known != known_.end() && now - known->second.heard <= options_.trust;
    return counts ? known->second.last.unread : serving::unread_work{};
}

bool prefill_report_table::has_live_reports(mono_time now) const
{
    return std::any_of(
        known_.begin(), known_.end(),
        [&](const auto& entry)
        { return now - entry.second.heard <= options_.trust; });
}

} // namespace wagtailseam::engine_status
