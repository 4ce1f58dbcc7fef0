// Implementation of the budget for request bodies.
#include "http/body_budget.hpp"

#include <algorithm>

namespace wagtailseam::http
{

body_budget::body_budget(const body_budget_options& options) : options_(options)
{
}

void body_budget::ensure_capacity(std::size_t max_bytes)
{
    options_.max_bytes = std::max(options_.max_bytes, max_bytes);
}

reservation body_budget::reserve(connection_id id, std::size_t bytes)
{
    return resize(id, bytes, false);
}

reservation body_budget::complete(connection_id id, std::size_t bytes)
{
    return resize(id, bytes, true);
}

void body_budget::release(connection_id id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
    {
        return;
    }
    const auto& [bytes, progress] = found->second;
    used_ -= bytes;
    if (progress)
    {
        unfinished_.erase({bytes, *progress, id});
    }
    entries_.erase(found);
}

std::optional<body_budget::candidate> body_budget::largest_unfinished() const
{
    if (unfinished_.empty())
    {
        return std::nullopt;
    }
    const auto most_bytes = std::get<0>(*unfinished_.rbegin());
    return *unfinished_.lower_bound({most_bytes, 0, connection_id{}});
}

reservation body_budget::resize(
    connection_id id, std::size_t bytes, bool is_complete)
{
    release(id);
    const auto limit = bytes <= options_.small_body_bytes
                           ? options_.max_bytes
                           : static_cast<std::size_t>(
                                 static_cast<double>(options_.max_bytes) *
                                 options_.large_share);
    reservation answer;
    while (used_ + bytes > limit)
    {
        const auto largest = largest_unfinished();
        // A request does not end smaller ones for its own memory.
        if (!largest || std::get<0>(*largest) < bytes)
        {
            return answer;
        }
        const auto evicted = std::get<2>(*largest);
        release(evicted);
        answer.evicted.push_back(evicted);
    }
    entry added{.bytes = bytes, .progress = std::nullopt};
    if (!is_complete)
    {
        added.progress = ++last_progress_;
        unfinished_.insert({bytes, *added.progress, id});
    }
    entries_.emplace(id, added);
    used_ += bytes;
    answer.granted = true;
    return answer;
}

} // namespace wagtailseam::http
