// Limits a sidecar's upstream to one suspect prompt at a time, so that a crash
// can be attributed to a single suspect.
#ifndef WAGTAILSEAM_QUARANTINE_SUSPECT_RUN_SLOT_HPP
#define WAGTAILSEAM_QUARANTINE_SUSPECT_RUN_SLOT_HPP

#include "core/ids.hpp"

#include <optional>

namespace wagtailseam::quarantine
{

/// The slot for the one suspect prompt that may run. Constant memory and time.
class suspect_run_slot
{
public:
    /// Reserves the slot for a request with a suspect prompt.
    /// @return false when another request holds it; the sidecar then refuses
    /// the
    ///   dispatch with upstream_busy.
    [[nodiscard]] bool try_acquire(const request_id& request)
    {
        if (holder_)
        {
            return false;
        }
        holder_ = request;
        return true;
    }

    /// Frees the slot if this request holds it; otherwise does nothing.
    void release(const request_id& request)
    {
        if (holder_ == request)
        {
            holder_.reset();
        }
    }

    /// Reported with the load, so that entries prefer other upstreams while a
    /// suspect runs.
    [[nodiscard]] bool suspect_running() const noexcept
    {
        return holder_.has_value();
    }

private:
    std::optional<request_id> holder_;
};

} // namespace wagtailseam::quarantine

#endif
