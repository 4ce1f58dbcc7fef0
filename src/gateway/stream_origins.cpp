// Queries of the regimes by service.
#include "gateway/stream_origins.hpp"

namespace wagtailseam::gateway
{

bool stream_origins::needs_record(const stream_origin::origin& begun_by) const
{
    const auto regime = regimes.find(begun_by.service);
    return regime == regimes.end() || !begun_by.version ||
           regime->second.needs_record(*begun_by.version);
}

bool stream_origins::begin(
    const request_id& stream, const stream_origin::origin& begun_by,
    const stream_origin::stream_target& target, mono_time now)
{
    const bool is_recorded = open.begin(
        stream, begun_by, target,
        routes.needs_record(target, begun_by.service, now));
    return is_recorded || needs_record(begun_by);
}

std::optional<serving::software_version> stream_origins::begins_at(
    const serving::service_id& service) const
{
    const auto regime = regimes.find(service);
    return regime == regimes.end() ? std::nullopt : regime->second.begins_at();
}

} // namespace wagtailseam::gateway
