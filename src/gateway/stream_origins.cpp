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
    const serving::route& route, mono_time now)
{
    const auto key = stream_origin::key_of(route);
    const bool is_recorded = routes.needs_record(key, begun_by.service, now);
    open.begin(stream, begun_by, key, is_recorded);
    return is_recorded || needs_record(begun_by);
}

std::optional<serving::software_version> stream_origins::begins_at(
    const serving::service_id& service) const
{
    const auto regime = regimes.find(service);
    return regime == regimes.end() ? std::nullopt : regime->second.begins_at();
}

} // namespace wagtailseam::gateway
