// Reads the whole body of a response.
#include "http/client.hpp"

#include <string>

namespace wagtailseam::http
{

asio::awaitable<result<response>> read_to_end(
    response_stream stream, duration timeout, std::size_t max_bytes)
{
    const auto deadline = monotonic_clock::now() + timeout;
    response full_response = stream.head();
    for (;;)
    {
        const auto part =
            co_await stream.read(deadline - monotonic_clock::now());
        if (!part)
        {
            co_return boost::outcome_v2::failure(part.error());
        }
        if (part.value().empty())
        {
            co_return full_response;
        }
        if (part.value().size() > max_bytes - full_response.body.size())
        {
            co_return fail(
                result_code::stream_broken,
                "body of over " + std::to_string(max_bytes) + " bytes");
        }
        full_response.body += part.value();
    }
}

} // namespace wagtailseam::http
