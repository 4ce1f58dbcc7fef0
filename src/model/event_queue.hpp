// Virtual time: actions in order of their time, ties in order of posting.
#ifndef WAGTAILSEAM_MODEL_EVENT_QUEUE_HPP
#define WAGTAILSEAM_MODEL_EVENT_QUEUE_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace wagtailseam::model
{

/// A queue of actions under one virtual clock.
class event_queue
{
public:
    using action = std::function<void()>;

    [[nodiscard]] mono_time now() const noexcept { return now_; }

    /// Runs the action after `delay`; a negative delay counts as zero.
    void after(duration delay, action run)
    {
        at(now_ + std::max(duration::zero(), delay), std::move(run));
    }

    /// Runs the action at `when`, or now when that has passed.
    void at(mono_time when, action run)
    {
        items_.push({std::max(when, now_), next_++, std::move(run)});
    }

    /// Runs actions in order until none is left or `end` is reached.
    void run_until(mono_time end)
    {
        while (!items_.empty() && items_.top().when <= end)
        {
            auto next = items_.top();
            items_.pop();
            now_ = next.when;
            next.run();
        }
        now_ = std::max(now_, end);
    }

private:
    struct item
    {
        mono_time when;
        std::uint64_t number = 0;
        action run;

        friend bool operator<(const item& a, const item& b)
        {
            return a.when != b.when ? a.when > b.when : a.number > b.number;
        }
    };
    std::priority_queue<item> items_;
    mono_time now_{};
    std::uint64_t next_ = 0;
};

} // namespace wagtailseam::model

#endif
