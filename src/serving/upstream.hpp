// An upstream as the platform's list names it.
#ifndef WAGTAILSEAM_SERVING_UPSTREAM_HPP
#define WAGTAILSEAM_SERVING_UPSTREAM_HPP

#include "core/clock.hpp"
#include "http/message.hpp"
#include "serving/ids.hpp"

#include <cstdint>
#include <map>

namespace wagtailseam::serving
{

struct upstream
{
    upstream_id id;
    service_id service;
    http::address address;
    data_centre_id data_centre;
    /// Requests that it runs at once.
    std::uint32_t slots = 1;
    /// Takes no new work.
    bool draining = false;
    /// When its process started, by its own calendar clock in ms; 0: unknown.
    /// Tells apart the entries of lives at one address.
    std::uint64_t started_ms = 0;
    /// The weights that it runs, by model; empty for plain services.
    std::map<model_id, weight_version> weights;

    friend bool operator==(const upstream&, const upstream&) = default;
};

/// Prompts that were sent to an engine and are not read yet.
struct pending_prefill
{
    std::uint32_t prompts = 0;
    /// Time that an engine takes to read them, as estimated.
    duration prefill_time{};

    friend bool operator==(const pending_prefill&, const pending_prefill&) =
        default;
};

} // namespace wagtailseam::serving

#endif
