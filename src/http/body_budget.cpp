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

reservation body_budget::resize(
    connection_id id, std::size_t bytes, bool is_complete)
{
    release(id);
    const auto limit = bytes <= options_.small_body_bytes
                           ? options_.max_bytes
                           : static_cast<std::size_t>(
                                 static_cast<double>(options_.max_bytes) *
                                 options_.large_share);
    // A request does not end smaller ones for its own memory.
    reservation answer;
    std::size_t released = 0;
    for (auto next = unfinished_.rbegin();
         used_ - released + bytes > limit && next != unfinished_.rend() &&
         std::get<0>(*next) >= bytes;
         ++next)
    {
        released += std::get<0>(*next);
        answer.evicted.push_back(std::get<2>(*next));
    }
    if (used_ - released + bytes > limit)
    {
        return {};
    }
    for (const auto& evicted : answer.evicted)
    {
        release(evicted);
    }
    entry added{.bytes = bytes, .progress = std::nullopt};
    if (!is_complete)
    {
        added.progress = next_progress_--;
        unfinished_.insert({bytes, *added.progress, id});
    }
    entries_.emplace(id, added);
    used_ += bytes;
    answer.granted = true;
    return answer;
}

} // namespace wagtailseam::http
