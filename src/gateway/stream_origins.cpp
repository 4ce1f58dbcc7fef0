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

std::optional<serving::software_version> stream_origins::begins_at(
    const serving::service_id& service) const
{
    const auto regime = regimes.find(service);
    return regime == regimes.end() ? std::nullopt : regime->second.begins_at();
}

} // namespace wagtailseam::gateway
