// At a sidecar: at most one suspect prompt runs on an upstream at a time, so
// that a crash tells the culprit from others under suspicion.
#ifndef WAGTAILSEAM_QUARANTINE_SUSPECT_RUN_SLOT_HPP
#define WAGTAILSEAM_QUARANTINE_SUSPECT_RUN_SLOT_HPP

#include "core/ids.hpp"

#include <optional>

namespace wagtailseam::quarantine
{

/// Constant memory and time.
class suspect_run_slot
{
public:
    /// Lets a suspect run when no other does. @return false when one does; the
    /// dispatch is then refused as upstream_busy.
    [[nodiscard]] bool try_acquire(const request_id& request)
    {
        if (running_)
        {
            return false;
        }
        running_ = request;
        return true;
    }

    /// Ends the suspect's run; other requests change nothing.
    void release(const request_id& request)
    {
        if (running_ == request)
        {
            running_.reset();
        }
    }

    /// Told with the load, so that entries prefer other upstreams meanwhile.
    [[nodiscard]] bool suspect_running() const noexcept
    {
        return running_.has_value();
    }

private:
    std::optional<request_id> running_;
};

} // namespace wagtailseam::quarantine

#endif
