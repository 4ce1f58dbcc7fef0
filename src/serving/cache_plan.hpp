// Where the parts of a prompt come from and where they are kept.
#ifndef WAGTAILSEAM_SERVING_CACHE_PLAN_HPP
#define WAGTAILSEAM_SERVING_CACHE_PLAN_HPP

#include "http/message.hpp"
#include "serving/ids.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace wagtailseam::serving
{

struct part_plan
{
    /// A store that holds the whole part.
    std::optional<http::address> fetch_from;
    /// A store that is to keep the part once it has been read.
    std::optional<http::address> save_to;
};

/// One entry for each part of the prompt, in order.
struct cache_plan
{
    cache_salt salt;
    std::vector<part_plan> parts;
    /// By the upstreams' clock in ms; a fetch that has not ended by then is
    /// thrown away. Set when any part is fetched.
    std::int64_t fetch_deadline_ms = 0;
    /// Tokens that the upstream has to read, as far as can be told.
    token_count prefill_tokens;
};

} // namespace wagtailseam::serving

#endif
