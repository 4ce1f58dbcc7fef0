// A gateway's claim of the only trial of a request that may crash upstreams.
#ifndef WAGTAILSEAM_QUARANTINE_TRIAL_CLAIM_HPP
#define WAGTAILSEAM_QUARANTINE_TRIAL_CLAIM_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailseam::quarantine
{

/// A claim lasts until the outcome of the trial is known everywhere: the
/// longest request, the time until the crash of a silent upstream is noticed,
/// and the difference between the clocks of gateways.
inline constexpr duration trial_claim_time = std::chrono::seconds(30);

/// Whether a gateway may run a trial.
enum class claim_outcome : std::uint8_t
{
    claimed,
    /// Another gateway, or another request of this one, runs it.
    held,
    /// The store that holds the claims does not answer.
    unavailable,
};

/// Returns the name of the outcome in logs.
[[nodiscard]] std::string_view name(claim_outcome outcome) noexcept;

/// Each content has at most one claim, so that the gateways, whose callers
/// return at the same time, together make one trial.
struct trial_claim
{
    vm_id gateway;
    wall_time expires;

    friend bool operator==(const trial_claim&, const trial_claim&) = default;
};

/// Serializes a claim as JSON for the value of a table row.
[[nodiscard]] std::string encode(const trial_claim& claim);
/// @errors malformed_message
[[nodiscard]] result<trial_claim> decode_trial_claim(std::string_view value);

/// Returns whether the claim prevents other trials. A claim that lasts longer
/// than any gateway claims for was written by a clock that is ahead, and does
/// not.
[[nodiscard]] bool is_held(const trial_claim& claim, wall_time now);

} // namespace wagtailseam::quarantine

#endif
