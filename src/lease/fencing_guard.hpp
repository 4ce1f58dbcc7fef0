// The receiver's side of a lease: rejects orders of previous holders.
#ifndef WAGTAILSEAM_LEASE_FENCING_GUARD_HPP
#define WAGTAILSEAM_LEASE_FENCING_GUARD_HPP

#include "core/ids.hpp"
#include "core/result.hpp"

#include <algorithm>
#include <optional>

namespace wagtailseam::lease
{

/// Admits orders whose fencing number is not lower than any number seen
/// before. A sidecar uses one for an upstream that ignores fencing numbers.
/// The state does not survive a restart, so the minimum is read from the
/// lease's row before the first order: the row holds the highest fencing
/// number that has been assigned.
class fencing_guard
{
public:
    /// Raises the minimum to the fencing number of the lease's row;
    /// fencing_number{} if the lease was never acquired. Never lowers it.
    void raise_minimum(fencing_number minimum)
    {
        minimum_ = std::max(minimum_.value_or(fencing_number{}), minimum);
    }

    /// Whether the minimum has been read since the start.
    [[nodiscard]] bool has_minimum() const noexcept
    {
        return minimum_.has_value();
    }

    /// Admits an order, which raises the minimum to its number, or rejects it.
    /// @errors not_ready: the minimum has not been read yet;
    /// stale_fencing_number: the number is below the minimum
    [[nodiscard]] result<void> admit(fencing_number number)
    {
        if (!minimum_)
        {
            return fail(
                result_code::not_ready,
                "the minimum fencing number has not been read yet");
        }
        if (number < *minimum_)
        {
            return fail(
                result_code::stale_fencing_number,
                "fencing number " + std::to_string(number.value()) +
                    " is below the minimum " +
                    std::to_string(minimum_->value()));
        }
        minimum_ = number;
        return boost::outcome_v2::success();
    }

private:
    /// @invariant never decreases
    std::optional<fencing_number> minimum_;
};

} // namespace wagtailseam::lease

#endif
