// Registered requests and the phases of the drain.
#include "gateway/drain_state.hpp"

#include <utility>

namespace wagtailseam::gateway
{

drain_state::registration::registration(
    const drain_state& owner, std::function<void()> end)
    : registered_(owner.requests_),
      position_(registered_->insert(registered_->end(), std::move(end)))
{
}

drain_state::registration::~registration()
{
    registered_->erase(position_);
}

void drain_state::begin(mono_time response_deadline)
{
    response_deadline_ = response_deadline;
}

std::size_t drain_state::end_requests()
{
    for (auto& end : *requests_)
    {
        // A request stays registered until its coroutine has ended.
        if (const auto call = std::exchange(end, nullptr))
        {
            call();
        }
    }
    return requests_->size();
}

} // namespace wagtailseam::gateway
