// A bounded map in order of first use.
#include "entry/explain_ring.hpp"

namespace wagtailseam::entry
{

explain_ring::explain_ring(std::size_t capacity, std::size_t max_decisions)
    : capacity_(capacity), max_decisions_(max_decisions)
{
}

void explain_ring::add(
    const request_id& request, mono_time at, std::string text)
{
    auto [found, inserted] = decisions_.try_emplace(request);
    if (found->second.size() < max_decisions_)
    {
        found->second.push_back({at, std::move(text)});
    }
    if (!inserted)
    {
        return;
    }
    order_.push_back(request);
    if (order_.size() > capacity_)
    {
        decisions_.erase(order_.front());
        order_.pop_front();
    }
}

const std::vector<explain_ring::decision>* explain_ring::find(
    const request_id& request) const
{
    const auto found = decisions_.find(request);
    return found == decisions_.end() ? nullptr : &found->second;
}

} // namespace wagtailseam::entry
