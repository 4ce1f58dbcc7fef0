// Divides the work for cache stores among agents without coordination.
#ifndef WAGTAILSEAM_AGENT_STORE_RANK_HPP
#define WAGTAILSEAM_AGENT_STORE_RANK_HPP

#include "serving/ids.hpp"

#include <cstddef>
#include <vector>

namespace wagtailseam::agent
{

/// Returns the rank of `self` among the engines for a store; 0 is the highest.
/// Every agent computes the same ranks, and those of different stores are
/// independent.
/// Complexity: linear in the engines.
[[nodiscard]] std::size_t rank_for_store(
    const serving::service_id& store, const std::vector<upstream_id>& engines,
    const upstream_id& self);

} // namespace wagtailseam::agent

#endif
