// A direct-mapped table of completed requests.
#include "quarantine/recent_completions.hpp"

#include <boost/assert.hpp>

#include <cstring>

namespace wagtailseam::quarantine
{

recent_completions::recent_completions(
    const recent_completions_options& options)
    : options_(options), slots_(options.slots)
{
    BOOST_ASSERT(options.slots >= 1);
}

void recent_completions::insert(
    const request_fingerprint& request, mono_time now)
{
    slots_[slot_of(request)] = {
        .tag = bytes_at(request, sizeof(std::uint64_t)), .completed_at = now};
}

bool recent_completions::contains(
    const request_fingerprint& request, mono_time now) const
{
    const slot& found = slots_[slot_of(request)];
    return found.completed_at != mono_time{} &&
           found.tag == bytes_at(request, sizeof(std::uint64_t)) &&
           now - found.completed_at <= options_.lifetime;
}

std::uint64_t recent_completions::bytes_at(
    const request_fingerprint& request, std::size_t offset)
{
    std::uint64_t bytes = 0;
    std::memcpy(&bytes, request.value().bytes.data() + offset, sizeof(bytes));
    return bytes;
}

std::size_t recent_completions::slot_of(
    const request_fingerprint& request) const
{
    return bytes_at(request, 0) % slots_.size();
}

} // namespace wagtailseam::quarantine
