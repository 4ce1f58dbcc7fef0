// Ids that only the serving path needs.
#ifndef WAGTAILSEAM_SERVING_IDS_HPP
#define WAGTAILSEAM_SERVING_IDS_HPP

#include "core/ids.hpp"

namespace wagtailseam::serving
{

/// A pool of interchangeable upstreams.
using service_id = strong_id<struct service_tag>;
/// A part of a prompt, shared by all prompts that begin with the same parts.
using part_id = strong_id<struct part_tag>;
/// Separates cached parts: an upstream finds a part only under the text under
/// which it was made.
using cache_salt = strong_id<struct cache_salt_tag>;
/// One life of a cache store; its content does not outlast it.
using store_epoch = strong_id<struct store_epoch_tag, std::uint64_t>;

} // namespace wagtailseam::serving

#endif
