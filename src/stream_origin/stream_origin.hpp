// The service and software version that began a stream. Upstreams of different
// software versions may serve side by side, and only those of the same version
// may continue a stream.
#ifndef WAGTAILSEAM_STREAM_ORIGIN_STREAM_ORIGIN_HPP
#define WAGTAILSEAM_STREAM_ORIGIN_STREAM_ORIGIN_HPP

#include "serving/ids.hpp"

#include <chrono>
#include <optional>

namespace wagtailseam::stream_origin
{

/// Time of the row store's clock, which all gateways read.
using store_time = std::chrono::milliseconds;

/// Time within which every stream that has begun is complete, or its caller
/// has given it up. Deadlines are at most 15 s.
inline constexpr std::chrono::seconds max_stream_age{20};

struct origin
{
    serving::service_id service;
    /// Unset if it is not known which process of the upstream began the stream.
    std::optional<serving::software_version> version;

    friend bool operator==(const origin&, const origin&) = default;
    friend auto operator<=>(const origin&, const origin&) = default;
};

} // namespace wagtailseam::stream_origin

#endif
