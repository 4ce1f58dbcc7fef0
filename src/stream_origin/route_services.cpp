// History of the services of each path.
#include "stream_origin/route_services.hpp"

#include <algorithm>
#include <utility>

namespace wagtailseam::stream_origin
{

void route_services::set(
    config_number number, const std::vector<serving::route>& routes,
    mono_time now)
{
    auto next = make_stream_routes(routes);
    if (!number_ || next != current_)
    {
        is_record_read_ = false;
        if (number_)
        {
            earlier_.push_back({std::move(current_), now});
        }
    }
    number_ = number;
    current_ = std::move(next);
    std::erase_if(
        earlier_, [&](const earlier_routes& earlier)
        { return !is_recent(earlier, now); });
}

void route_services::set_record(
    std::optional<route_record> record, store_time store_now, mono_time now)
{
    record_ = std::move(record);
    is_record_read_ = true;
    recorded_earlier_.clear();
    if (!record_)
    {
        return;
    }
    for (const auto& replaced : record_->replaced)
    {
        const auto age =
            std::max(store_time::zero(), store_now - replaced.replaced_at);
        recorded_earlier_.push_back({replaced.routes, now - duration(age)});
    }
}

void route_services::forget_record()
{
    set_record(std::nullopt, store_time{}, mono_time{});
    is_record_read_ = false;
}

std::optional<route_record> route_services::due_record(
    store_time store_now) const
{
    if (!number_ || !is_record_read_)
    {
        return std::nullopt;
    }
    if (!record_)
    {
        return route_record{
            .number = *number_, .current = current_, .replaced = {}};
    }
    if (record_->number >= *number_ || record_->current == current_)
    {
        return std::nullopt;
    }
    route_record due{
        .number = *number_, .current = current_, .replaced = record_->replaced};
    due.replaced.push_back({record_->current, store_now});
    std::erase_if(
        due.replaced, [&](const replaced_routes& replaced)
        { return store_now - replaced.replaced_at >= options_.memory; });
    return due;
}

std::vector<service_set> route_services::find_earlier(
    const stream_target& target, mono_time now) const
{
    std::vector<service_set> found;
    // A configuration without a service for the path began no streams there.
    const auto add = [&](const stream_routes& routes)
    {
        auto services = find_services(routes, target);
        if (!services.empty())
        {
            found.push_back(std::move(services));
        }
    };
    for (const auto* const all : {&earlier_, &recorded_earlier_})
    {
        for (const auto& earlier : *all)
        {
            if (is_recent(earlier, now))
            {
                add(earlier.routes);
            }
        }
    }
    if (record_)
    {
        add(record_->current);
    }
    return found;
}

bool route_services::needs_record(
    const stream_target& target, const serving::service_id& begun_by,
    mono_time now) const
{
    const service_set only{begun_by};
    const bool is_recorded_route =
        record_ && find_services(record_->current, target) == only;
    const auto earlier = find_earlier(target, now);
    return find_services(current_, target) != only || !is_recorded_route ||
           std::any_of(
               earlier.begin(), earlier.end(),
               [&](const auto& services) { return services != only; });
}

service_set route_services::candidates(
    const stream_target& target, mono_time now) const
{
    const auto current = find_services(current_, target);
    auto all = find_earlier(target, now);
    all.push_back(current);
    service_set single;
    for (const auto& services : all)
    {
        if (services.size() == 1)
        {
            single.insert(*services.begin());
        }
    }
    return single.empty() ? current : single;
}

} // namespace wagtailseam::stream_origin
