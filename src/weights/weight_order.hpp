// Orders to an engine to change its weights or its role.
#ifndef WAGTAILSEAM_WEIGHTS_WEIGHT_ORDER_HPP
#define WAGTAILSEAM_WEIGHTS_WEIGHT_ORDER_HPP

#include "core/ids.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace wagtailseam::weights
{

/// What an engine is for.
enum class engine_role : std::uint8_t
{
    /// Prefill and decode.
    mixed,
    prefill,
    decode,
};

/// What an engine should run.
struct engine_setup
{
    model_id model;
    std::vector<adapter_id> adapters;
    weight_version version;
    engine_role role = engine_role::mixed;

    friend bool operator==(const engine_setup&, const engine_setup&) = default;
};

/// Orders the messages of all holders of a lease: by holder, then by message.
struct order_number
{
    fencing_number fencing;
    /// Grows with each message of one holder.
    std::uint64_t message = 0;

    friend bool operator==(const order_number&, const order_number&) = default;
    friend auto operator<=>(const order_number&, const order_number&) = default;
};

/// An order of a lease's holder. Its target refuses it when it has heard a
/// later message.
struct weight_order
{
    order_number number;
    /// The life of the sidecar that it is meant for: a restarted one no longer
    /// knows which messages it has heard.
    incarnation target;
    engine_setup setup;

    friend bool operator==(const weight_order&, const weight_order&) = default;
};

} // namespace wagtailseam::weights

#endif
