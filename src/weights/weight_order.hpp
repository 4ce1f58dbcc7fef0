// Orders that change an engine's weights or role.
#ifndef WAGTAILSEAM_WEIGHTS_WEIGHT_ORDER_HPP
#define WAGTAILSEAM_WEIGHTS_WEIGHT_ORDER_HPP

#include "core/ids.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace wagtailseam::weights
{

/// The request phases that an engine executes.
enum class engine_role : std::uint8_t
{
    /// Both prefill and decode.
    mixed,
    prefill,
    decode,
};

/// Model, adapters, weight version and role of an engine.
struct engine_setup
{
    model_id model;
    std::vector<adapter_id> adapters;
    weight_version version;
    engine_role role = engine_role::mixed;

    friend bool operator==(const engine_setup&, const engine_setup&) = default;
};

/// Total order of the messages of all lease holders: by fencing number, then
/// by message number.
struct order_number
{
    fencing_number fencing;
    /// Increases with every message of one holder.
    std::uint64_t message = 0;

    friend bool operator==(const order_number&, const order_number&) = default;
    friend auto operator<=>(const order_number&, const order_number&) = default;
};

/// An order of a lease holder. The sidecar rejects it after it has received a
/// message with a higher number.
struct weight_order
{
    order_number number;
    /// The sidecar instance that the order is for: a restarted sidecar has
    /// lost the highest number it received.
    incarnation target;
    engine_setup setup;

    friend bool operator==(const weight_order&, const weight_order&) = default;
};

} // namespace wagtailseam::weights

#endif
