// Streams that are resumed: only upstreams of the software version that began a
// stream may continue it.
#include "gateway/request_handler.hpp"

namespace wagtailseam::gateway
{

bool request_handler::is_resumable_stream() const
{
    return request_.route->is_resumable_stream() && is_event_stream_;
}

void request_handler::record_stream_begin(
    const serving::chosen_upstream& target)
{
    if (is_resumable_stream() && !stream_origin_)
    {
        stream_origin_ =
            stream_origin::origin{target.entry.service, target.entry.software};
    }
}

} // namespace wagtailseam::gateway
