// Which agents work for a cache store, without a word between them.
#ifndef WAGTAILSEAM_AGENT_STORE_RANK_HPP
#define WAGTAILSEAM_AGENT_STORE_RANK_HPP

#include "serving/ids.hpp"

#include <cstddef>
#include <vector>

namespace wagtailseam::agent
{

/// Returns the place of `self` in the order of engines for a store: 0 comes
/// first. The orders of different stores are independent.
/// Complexity: linear in the engines.
[[nodiscard]] std::size_t rank_for_store(
    const serving::service_id& store, const std::vector<upstream_id>& engines,
    const upstream_id& self);

} // namespace wagtailseam::agent

#endif
