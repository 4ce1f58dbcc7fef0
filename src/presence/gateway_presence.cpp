// Observation of signs, and the lease that this gateway holds by its own.
#include "presence/gateway_presence.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace wagtailseam::presence
{

gateway_presence::gateway_presence(
    vm_id own, incarnation writer, const presence_options& options)
    : own_(std::move(own)), writer_(writer), options_(options)
{
    BOOST_ASSERT(options.lease_time < options.absence_time);
    BOOST_ASSERT(options.max_read_gap < options.rejoin_delay);
}

void gateway_presence::record_predecessor(
    const std::vector<sign_row>& rows, mono_time now, wall_time wall_now)
{
    const auto row = std::find_if(
        rows.begin(), rows.end(),
        [this](const sign_row& candidate) { return candidate.vm == own_; });
    if (row == rows.end())
    {
        return;
    }
    has_predecessor_ = true;
    duration age = options_.lease_time;
    if (row->sign && !row->sign->rejoining)
    {
        age = std::min(age, wall_now - row->sign->written_at);
    }
    // A sign from the future shows that the clock was set back since.
    renewed_at_ = now - (age < duration::zero() ? options_.lease_time : age);
}

void gateway_presence::record_read(
    const std::vector<sign_row>& rows, mono_time began, mono_time ended,
    wall_time wall_now)
{
    if (!std::exchange(has_read_, true))
    {
        record_predecessor(rows, ended, wall_now);
    }
    const bool is_continued =
        read_began_ && began - *read_began_ <= options_.max_read_gap;
    read_began_ = began;
    if (!is_continued)
    {
        for (auto& [vm, observed] : signs_)
        {
            observed.unchanged_since = ended;
            observed.absent = false;
        }
    }
    for (const auto& row : rows)
    {
        if (!row.sign || row.vm == own_)
        {
            continue;
        }
        const auto [found, is_new] = signs_.try_emplace(row.vm);
        auto& observed = found->second;
        if (is_new || observed.sign != *row.sign)
        {
            observed = {.sign = *row.sign, .unchanged_since = ended};
        }
        else if (began - observed.unchanged_since >= options_.absence_time)
        {
            observed.absent = true;
        }
    }
}

void gateway_presence::record_restoration()
{
    read_began_.reset();
}

bool gateway_presence::may_be_counted_out(mono_time now) const
{
    return now < shares_from_ ||
           (renewed_at_ && now - *renewed_at_ >= options_.lease_time);
}

presence_sign gateway_presence::next_sign(mono_time now, wall_time wall_now)
{
    return {
        .writer = writer_,
        .number = ++last_number_,
        .written_at = wall_now,
        .rejoining = may_be_counted_out(now)};
}

void gateway_presence::record_renewal(mono_time sent_at, mono_time now)
{
    if (renewed_at_ && now - *renewed_at_ >= options_.lease_time)
    {
        shares_from_ = now + options_.rejoin_delay;
    }
    renewed_at_ = sent_at;
    has_renewed_ = true;
}

bool gateway_presence::may_share(mono_time now) const
{
    return has_renewed_ && now >= shares_from_ &&
           now - *renewed_at_ < options_.lease_time;
}

bool gateway_presence::is_absent(const vm_id& vm, mono_time now) const
{
    const bool is_recent =
        read_began_ && now - *read_began_ <= options_.max_read_gap;
    const auto found = signs_.find(vm);
    return is_recent && found != signs_.end() && found->second.absent;
}

fleet_position gateway_presence::position(
    const std::set<vm_id>& others, mono_time now) const
{
    fleet_position found;
    for (const auto& vm : others)
    {
        if (vm != own_ && !is_absent(vm, now))
        {
            ++found.size;
            found.index += vm < own_ ? 1U : 0U;
        }
    }
    return found;
}

} // namespace wagtailseam::presence
