// Ranks engines by rendezvous hashing.
#include "agent/store_rank.hpp"

#include "routing/rendezvous.hpp"

#include <algorithm>

namespace wagtailseam::agent
{

std::size_t rank_for_store(
    const serving::service_id& store, const std::vector<upstream_id>& engines,
    const upstream_id& self)
{
    const auto key = routing::stable_hash(store.value());
    const auto weight = [&](const upstream_id& engine)
    {
        return routing::rendezvous_weight(
            key, routing::stable_hash(engine.value()));
    };
    const auto own_weight = weight(self);
    return static_cast<std::size_t>(std::count_if(
        engines.begin(), engines.end(),
        [&](const upstream_id& engine)
        { return weight(engine) > own_weight; }));
}

} // namespace wagtailseam::agent
