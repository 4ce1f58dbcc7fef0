// The row in which the gateways record the routes of streams, for gateways that
// have not seen a change of them.
#ifndef WAGTAILSEAM_STREAM_ORIGIN_ROUTE_RECORD_HPP
#define WAGTAILSEAM_STREAM_ORIGIN_ROUTE_RECORD_HPP

#include "core/ids.hpp"
#include "core/result.hpp"
#include "stream_origin/stream_origin.hpp"
#include "stream_origin/stream_routes.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace wagtailseam::stream_origin
{

/// Routes that a newer configuration has replaced.
struct replaced_routes
{
    stream_routes routes;
    store_time replaced_at;

    friend bool operator==(const replaced_routes&, const replaced_routes&) =
        default;
};

struct route_record
{
    /// Number of the configuration that has the current routes.
    config_number number;
    stream_routes current;
    /// In order of replaced_at.
    std::vector<replaced_routes> replaced;

    friend bool operator==(const route_record&, const route_record&) = default;
};

/// Encodes a record as JSON for the value of a table row.
[[nodiscard]] std::string encode(const route_record& record);
/// @errors malformed_message: names the field that is wrong
[[nodiscard]] result<route_record> decode_route_record(std::string_view value);

} // namespace wagtailseam::stream_origin

#endif
