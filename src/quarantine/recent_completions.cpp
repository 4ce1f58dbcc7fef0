// A direct-mapped table of completed contents.
#include "quarantine/recent_completions.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cstring>

namespace wagtailseam::quarantine
{

recent_completions::recent_completions(
    const recent_completions_options& options)
    : options_(options), requests_(options.request_slots),
      parts_(options.part_slots)
{
    BOOST_ASSERT(options.request_slots >= 1);
    BOOST_ASSERT(options.part_slots >= 1);
}

void recent_completions::insert(const crash_suspect& completed, mono_time now)
{
    auto& table = completed.kind == suspect_kind::request ? requests_ : parts_;
    table[slot_of(completed)] = {
        .tag = bytes_at(completed.content, sizeof(std::uint64_t)),
        .completed_at = now};
}

mono_time recent_completions::completed_at(const crash_suspect& suspect) const
{
    const slot& found = table_of(suspect.kind)[slot_of(suspect)];
    return found.tag == bytes_at(suspect.content, sizeof(std::uint64_t))
               ? found.completed_at
               : mono_time{};
}

bool recent_completions::exonerates(
    const crash_suspect& suspect, mono_time now) const
{
    const auto completed = completed_at(suspect);
    const duration lifetime = suspect.kind == suspect_kind::request
                                  ? options_.request_lifetime
                                  : options_.part_lifetime;
    return completed != mono_time{} && now - completed <= lifetime;
}

std::vector<crash_suspect> recent_completions::suspects(
    const request_content& content, mono_time now) const
{
    std::vector<crash_suspect> found;
    const crash_suspect request{content.request, suspect_kind::request};
    if (!exonerates(request, now))
    {
        found.push_back(request);
    }
    auto oldest = mono_time::max();
    for (const auto& part : content.parts)
    {
        oldest =
            std::min(oldest, completed_at({part, suspect_kind::prompt_part}));
    }
    for (const auto& part : content.parts)
    {
        const crash_suspect suspect{part, suspect_kind::prompt_part};
        if (completed_at(suspect) == oldest && !exonerates(suspect, now))
        {
            found.push_back(suspect);
        }
    }
    return found;
}

std::uint64_t recent_completions::bytes_at(
    const content_fingerprint& content, std::size_t offset)
{
    std::uint64_t bytes = 0;
    std::memcpy(&bytes, content.value().bytes.data() + offset, sizeof(bytes));
    return bytes;
}

std::size_t recent_completions::slot_of(const crash_suspect& suspect) const
{
    return bytes_at(suspect.content, 0) % table_of(suspect.kind).size();
}

} // namespace wagtailseam::quarantine
