// Identifier types of the serving path.
#ifndef WAGTAILSEAM_SERVING_IDS_HPP
#define WAGTAILSEAM_SERVING_IDS_HPP

#include "core/ids.hpp"

namespace wagtailseam::serving
{

/// A pool of interchangeable upstreams.
using service_id = strong_id<struct service_tag>;
/// Version of an upstream's software. Versions have no order.
using software_version = strong_id<struct software_version_tag>;
/// A part of a prompt. Prompts that begin with the same parts share their ids.
using part_id = strong_id<struct part_tag>;
/// Namespace of cached parts: an upstream finds a part only with the salt with
/// which the part was computed.
using cache_salt = strong_id<struct cache_salt_tag>;
/// The part of a salt that names who shares cached parts: workspaces with equal
/// scopes do. Empty while no workspace is isolated.
using cache_scope = strong_id<struct cache_scope_tag>;
/// Identifies one run of a cache store's process; its content is lost when the
/// process restarts.
using store_epoch = strong_id<struct store_epoch_tag, std::uint64_t>;

} // namespace wagtailseam::serving

#endif
