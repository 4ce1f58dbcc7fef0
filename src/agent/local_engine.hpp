// Which entry of the list of upstreams is the engine beside this agent.
#ifndef WAGTAILSEAM_AGENT_LOCAL_ENGINE_HPP
#define WAGTAILSEAM_AGENT_LOCAL_ENGINE_HPP

#include "serving/upstream.hpp"

#include <cstdint>
#include <map>

namespace wagtailseam::agent
{

/// Returns the id of the entry at the address that belongs to the life which
/// the engine reports; the list names earlier lives for some seconds. Empty
/// when the life is not listed yet. An engine that does not say when it
/// started is the latest entry at its address.
/// Complexity: linear in the entries.
[[nodiscard]] upstream_id find_local_engine(
    const std::map<upstream_id, serving::upstream>& listed,
    const http::address& address, std::uint64_t started_ms);

} // namespace wagtailseam::agent

#endif
