// Precedence among announced trials.
#include "quarantine/peer_trials.hpp"

#include "quarantine/trial_claim.hpp"

#include <boost/assert.hpp>

namespace wagtailseam::quarantine
{

trial_announcement peer_trials::intend(
    const content_fingerprint& content, wall_time now)
{
    trials_.insert_or_assign(
        content, own_trial{.expires = now + trial_claim_time});
    return announcement(content);
}

bool peer_trials::claim_intended(
    const content_fingerprint& content, wall_time now)
{
    const auto found = trials_.find(content);
    if (found == trials_.end() || found->second.is_lost)
    {
        release(content);
        return false;
    }
    claim(content, now);
    return true;
}

void peer_trials::claim(const content_fingerprint& content, wall_time now)
{
    trials_.insert_or_assign(
        content,
        own_trial{
            .stage = trial_stage::claimed, .expires = now + trial_claim_time});
}

void peer_trials::release(const content_fingerprint& content)
{
    trials_.erase(content);
}

announcement_response peer_trials::receive(
    const trial_announcement& received, wall_time now)
{
    std::erase_if(
        trials_,
        [&](const auto& entry) { return entry.second.expires <= now; });
    std::erase_if(
        announced_until_,
        [&](const auto& entry) { return entry.second <= now; });
    announced_until_.insert_or_assign(received.content, now + trial_claim_time);
    const auto own = trials_.find(received.content);
    if (own == trials_.end() || own->second.is_lost)
    {
        return announcement_response::defer;
    }
    const bool goes_first = own->second.stage == received.stage
                                ? self_ < received.gateway
                                : own->second.stage == trial_stage::claimed;
    if (goes_first)
    {
        return announcement_response::repeat_own;
    }
    // A trial that is already running is not ended.
    own->second.is_lost = own->second.stage == trial_stage::intended;
    return announcement_response::defer;
}

bool peer_trials::has_claimed(
    const content_fingerprint& content, wall_time now) const
{
    const auto own = trials_.find(content);
    return own != trials_.end() && own->second.stage == trial_stage::claimed &&
           now < own->second.expires;
}

bool peer_trials::is_announced_by_others(
    const content_fingerprint& content, wall_time now) const
{
    const auto announced = announced_until_.find(content);
    return announced != announced_until_.end() && now < announced->second;
}

trial_announcement peer_trials::announcement(
    const content_fingerprint& content) const
{
    BOOST_ASSERT(trials_.contains(content));
    return {
        .content = content,
        .gateway = self_,
        .stage = trials_.at(content).stage};
}

} // namespace wagtailseam::quarantine
