// An attempt that is counted at its upstream until it ends.
#ifndef WAGTAILSEAM_GATEWAY_OPEN_ATTEMPT_HPP
#define WAGTAILSEAM_GATEWAY_OPEN_ATTEMPT_HPP

#include "gateway/shared_state.hpp"

#include <memory>

namespace wagtailseam::gateway
{

/// Ends the attempt when it is destroyed, so that no exit from a request leaves
/// a prompt pending at an upstream. May outlive the shared state: the
/// io_context destroys coroutines last. Not thread-safe.
class open_attempt
{
public:
    /// Begins an attempt.
    open_attempt(
        shared_state& state, upstream_id upstream, serving::prompt_load load);
    /// Ends an attempt that has not ended as abandoned.
    ~open_attempt();
    open_attempt(const open_attempt&) = delete;
    open_attempt& operator=(const open_attempt&) = delete;

    [[nodiscard]] const upstream_id& upstream() const noexcept
    {
        return upstream_;
    }
    /// Ends the pending prefill, unless it has ended.
    void finish_prefill(mono_time now);
    /// Ends the attempt and its pending prefill. @pre it has not ended
    void end(const serving::attempt_result& result, mono_time now);

private:
    shared_state& state_;
    std::weak_ptr<const void> lifetime_;
    upstream_id upstream_;
    serving::prompt_load load_;
    bool is_prefill_pending_ = true;
    bool has_ended_ = false;
};

} // namespace wagtailseam::gateway

#endif
