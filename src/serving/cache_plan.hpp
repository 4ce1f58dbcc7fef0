// Cache stores from which the parts of a prompt are fetched and to which they
// are saved.
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
    /// Store that holds the complete part.
    std::optional<http::address> fetch_from;
    /// Store to which the upstream saves the part after its prefill.
    std::optional<http::address> save_to;
};

struct cache_plan
{
    cache_salt salt;
    /// One entry per part of the prompt, in prompt order.
    std::vector<part_plan> parts;
    /// In ms of the upstreams' clock; the upstream discards a fetch that has
    /// not finished by then. Set if any part is fetched.
    std::int64_t fetch_deadline_ms = 0;
    /// Estimated tokens for which the upstream has no cache and runs a prefill.
    token_count prefill_tokens;
};

} // namespace wagtailseam::serving

#endif
