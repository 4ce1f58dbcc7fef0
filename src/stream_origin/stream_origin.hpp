// The service and software version that began a stream. Upstreams of different
// software versions may serve side by side, and only those of the same version
// may continue a stream.
#ifndef WAGTAILSEAM_STREAM_ORIGIN_STREAM_ORIGIN_HPP
#define WAGTAILSEAM_STREAM_ORIGIN_STREAM_ORIGIN_HPP

#include "serving/ids.hpp"

#include <optional>

namespace wagtailseam::stream_origin
{

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
