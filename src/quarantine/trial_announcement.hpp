// Message by which a gateway announces its trial to the others.
#ifndef WAGTAILSEAM_QUARANTINE_TRIAL_ANNOUNCEMENT_HPP
#define WAGTAILSEAM_QUARANTINE_TRIAL_ANNOUNCEMENT_HPP

#include "core/ids.hpp"
#include "core/result.hpp"
#include "quarantine/crash_record_cache.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailseam::quarantine
{

enum class trial_stage : std::uint8_t
{
    /// The gateway runs the trial unless another one goes first.
    intended,
    /// The gateway has claimed the trial and may be running it.
    claimed,
};

struct trial_announcement
{
    content_fingerprint content;
    vm_id gateway;
    trial_stage stage = trial_stage::intended;

    friend bool operator==(
        const trial_announcement&, const trial_announcement&) = default;
};

[[nodiscard]] std::string encode_datagram(
    const trial_announcement& announcement);
[[nodiscard]] bool is_trial_announcement(std::string_view datagram) noexcept;
/// @errors malformed_message
[[nodiscard]] result<trial_announcement> decode_trial_announcement(
    std::string_view datagram);

} // namespace wagtailseam::quarantine

#endif
