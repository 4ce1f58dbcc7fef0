// Deadlines of removed upstreams.
#include "serving/removal_grace.hpp"

#include <algorithm>

namespace wagtailseam::serving
{

removal_grace::removal_grace(const removal_grace_options& options)
    : options_(options), confirmed_grace_(std::max<duration>(
                             duration::zero(), options.drain_deadline -
                                                   options.max_delivery_delay -
                                                   options.max_send_delay))
{
}

mono_time removal_grace::end_of_use(
    mono_time now, const std::vector<store_outage>& outages) const
{
    return std::max(now + confirmed_grace_, end_of_lapses(outages));
}

bool removal_grace::may_have_lapsed(
    mono_time now, const std::vector<store_outage>& outages) const
{
    return now < end_of_lapses(outages);
}

duration removal_grace::longest_path() const
{
    return options_.max_delivery_delay + confirmed_grace_ +
           options_.max_send_delay;
}

mono_time removal_grace::end_of_lapses(
    const std::vector<store_outage>& outages) const
{
    mono_time latest;
    for (const auto& outage : outages)
    {
        if (outage.ended_at - outage.began_at < options_.min_outage)
        {
            continue;
        }
        latest = std::max(
            latest, std::min(
                        outage.ended_at + options_.relisting_time,
                        outage.last_failed_read + options_.resync_deadline -
                            options_.max_send_delay));
    }
    return latest;
}

} // namespace wagtailseam::serving
