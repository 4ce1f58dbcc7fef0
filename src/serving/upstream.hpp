// An upstream as the platform lists it.
#ifndef WAGTAILSEAM_SERVING_UPSTREAM_HPP
#define WAGTAILSEAM_SERVING_UPSTREAM_HPP

#include "core/clock.hpp"
#include "core/upstream_process.hpp"
#include "http/message.hpp"
#include "serving/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace wagtailseam::serving
{

struct upstream
{
    upstream_id id;
    service_id service;
    http::address address;
    data_centre_id data_centre;
    /// What two versions write into one stream does not fit together.
    software_version software;
    /// Number of requests that it runs concurrently.
    std::uint32_t slots = 1;
    /// Whether it accepts no new requests.
    bool draining = false;
    /// Start time of its process in ms of its own wall clock; 0 if unknown.
    /// Distinguishes successive processes at the same address.
    std::uint64_t started_ms = 0;
    /// How long it stayed cold when the entry was read: until then it accepts
    /// requests at a limited rate only. Zero if it is warm, unset if the entry
    /// does not say.
    std::optional<duration> cold_left;
    /// Running weight version by model; empty for services without models.
    std::map<model_id, weight_version> weights;

    friend bool operator==(const upstream&, const upstream&) = default;
};

[[nodiscard]] inline upstream_process process_of(const upstream& entry)
{
    return {entry.id, entry.started_ms};
}

/// Memory of an engine for the tokens of its requests.
struct engine_memory
{
    /// Occupied by running requests. Cached parts yield and are not included.
    token_count used;
    /// Zero if unknown.
    token_count total;

    friend bool operator==(const engine_memory&, const engine_memory&) =
        default;
};

/// Prompts that were sent to an engine and whose prefill has not finished.
struct pending_prefill
{
    std::uint32_t prompts = 0;
    /// Estimated total duration of their prefill.
    duration prefill_time{};
    /// Tokens for which they need memory of the engine.
    token_count tokens;

    friend bool operator==(const pending_prefill&, const pending_prefill&) =
        default;
};

} // namespace wagtailseam::serving

#endif
