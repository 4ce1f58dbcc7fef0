// Agreement of gateways on who runs a trial while no claim can be written.
#ifndef WAGTAILSEAM_QUARANTINE_PEER_TRIALS_HPP
#define WAGTAILSEAM_QUARANTINE_PEER_TRIALS_HPP

#include "core/clock.hpp"
#include "quarantine/trial_announcement.hpp"

#include <cstdint>
#include <map>
#include <utility>

namespace wagtailseam::quarantine
{

/// Time between two announcements of a trial that is intended, and between the
/// last of these and the trial.
inline constexpr duration announcement_interval = std::chrono::milliseconds(50);
/// How often an intended trial is announced, to make up for lost datagrams.
inline constexpr int announcements_per_intention = 3;
/// What a gateway does about the announcement of another one.
enum class announcement_response : std::uint8_t
{
    /// It refuses the content for the usual time of a trial.
    defer,
    /// It sends its own announcement, because it goes first.
    repeat_own,
};

/// The trials that one gateway intends or has claimed. Of several gateways that
/// intend the same trial, the one with the first id runs it, unless another one
/// has claimed it. Gateways that do not receive each other's announcements may
/// all run the trial. Performs no I/O; not thread-safe.
class peer_trials
{
public:
    explicit peer_trials(vm_id self) : self_(std::move(self)) {}

    /// Records that this gateway wants to run a trial.
    /// @return what to send to the others
    [[nodiscard]] trial_announcement intend(
        const content_fingerprint& content, wall_time now);
    /// Claims an intended trial. @return whether no other gateway goes first;
    /// otherwise the intention is forgotten
    [[nodiscard]] bool claim_intended(
        const content_fingerprint& content, wall_time now);
    /// Records that this gateway has claimed a trial.
    void claim(const content_fingerprint& content, wall_time now);
    void release(const content_fingerprint& content);

    [[nodiscard]] announcement_response receive(
        const trial_announcement& received, wall_time now);
    /// Returns whether this gateway has claimed a trial and not released it.
    [[nodiscard]] bool has_claimed(
        const content_fingerprint& content, wall_time now) const;
    /// Returns whether another gateway has announced a trial within the time of
    /// a claim, so that it may be running it without a claim in the store.
    [[nodiscard]] bool is_announced_by_others(
        const content_fingerprint& content, wall_time now) const;
    /// @pre the trial is intended or claimed
    [[nodiscard]] trial_announcement announcement(
        const content_fingerprint& content) const;

private:
    struct own_trial
    {
        trial_stage stage = trial_stage::intended;
        /// Whether another gateway goes first.
        bool is_lost = false;
        /// When the claim ends that was not released.
        wall_time expires;
    };

    vm_id self_;
    std::map<content_fingerprint, own_trial> trials_;
    /// Until when other gateways may run trials that they announced.
    std::map<content_fingerprint, wall_time> announced_until_;
};

} // namespace wagtailseam::quarantine

#endif
