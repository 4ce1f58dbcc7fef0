// The target's side of a lease: refuses orders of earlier holders.
#ifndef WAGTAILSEAM_LEASE_FENCING_GUARD_HPP
#define WAGTAILSEAM_LEASE_FENCING_GUARD_HPP

#include "core/ids.hpp"
#include "core/result.hpp"

#include <algorithm>
#include <optional>

namespace wagtailseam::lease
{

/// Admits orders whose fencing number is not below any seen before. A sidecar
/// runs one for an upstream that ignores fencing numbers. Its memory ends with
/// the process, so the floor is read from the lease's row before the first
/// order: the row holds the highest number that was ever given out.
class fencing_guard
{
public:
    /// Sets the floor from the lease's row; fencing_number{} when no lease was
    /// ever taken. Never lowers it.
    void raise(fencing_number floor)
    {
        floor_ = std::max(floor_.value_or(fencing_number{}), floor);
    }

    /// Whether the floor was read since the start.
    [[nodiscard]] bool has_floor() const noexcept { return floor_.has_value(); }

    /// Admits an order or says why not.
    /// @errors not_ready: the floor was not read yet; stale_fencing_number.
    [[nodiscard]] result<void> admit(fencing_number number)
    {
        if (!floor_)
        {
            return fail(
                result_code::not_ready, "the fencing floor was not read yet");
        }
        if (number < *floor_)
        {
            return fail(
                result_code::stale_fencing_number,
                "order " + std::to_string(number.value()) + ", floor " +
                    std::to_string(floor_->value()));
        }
        floor_ = number;
        return boost::outcome_v2::success();
    }

private:
    /// Never goes down.
    std::optional<fencing_number> floor_;
};

} // namespace wagtailseam::lease

#endif
