// Finds the engine beside this agent in the list of upstreams.
#ifndef WAGTAILSEAM_AGENT_LOCAL_ENGINE_HPP
#define WAGTAILSEAM_AGENT_LOCAL_ENGINE_HPP

#include "serving/upstream.hpp"

#include <cstdint>
#include <map>

namespace wagtailseam::agent
{

/// Returns the id of the entry with this address and start time. The start
/// time is needed because the list shows an engine's previous instances for
/// some seconds after a restart. Returns an empty id if the running instance is
/// not listed yet.
/// @param started_ms start time that the engine reports; 0 if it reports none,
/// which selects the latest entry at the address
/// Complexity: linear in the entries.
[[nodiscard]] upstream_id find_local_engine(
    const std::map<upstream_id, serving::upstream>& listed,
    const http::address& address, std::uint64_t started_ms);

} // namespace wagtailseam::agent

#endif
