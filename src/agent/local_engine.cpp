// Searches by address and start time.
#include "agent/local_engine.hpp"

namespace wagtailseam::agent
{

upstream_id find_local_engine(
    const std::map<upstream_id, serving::upstream>& listed,
    const http::address& address, std::uint64_t started_ms)
{
    const serving::upstream* latest = nullptr;
    for (const auto& [id, entry] : listed)
    {
        const bool same_instance =
            started_ms == 0 || entry.started_ms == started_ms;
        if (entry.address == address && same_instance &&
            (latest == nullptr || entry.started_ms > latest->started_ms))
        {
            latest = &entry;
        }
    }
    return latest == nullptr ? upstream_id{} : latest->id;
}

} // namespace wagtailseam::agent
