// A model of a store VM and of its links.
#include "model/store.hpp"

#include "core/overloaded.hpp"

#include <utility>

namespace wagtailseam::model
{

namespace
{

double scaled(const modelled_link::options& settings) noexcept
{
    return settings.rate.value() * settings.slowdown;
}

} // namespace

modelled_link::modelled_link(const options& settings, event_queue& events)
    : settings_(settings), events_(events),
      scheduler_({.rate_limit = settings.rate})
{
}

link::transfer_id modelled_link::request(
    const digest& block, const upstream_id& target,
    link::transfer_class priority, byte_count bytes,
    std::optional<mono_time> worth_until, done finished, ready still_there)
{
    const link::transfer_id id{next_id_++};
    if (cut_)
    {
        events_.after(
            duration::zero(), [finished = std::move(finished)]
            { finished(result_code::store_lost); });
        return id;
    }
    transfers_.emplace(
        id, transfer{std::move(finished), std::move(still_there)});
    apply(scheduler_.handle(
        link::transfer_requested{
            id, block, target, priority, bytes, worth_until},
        events_.now()));
    return id;
}

void modelled_link::cancel(link::transfer_id id)
{
    transfers_.erase(id);
    apply(scheduler_.handle(link::transfer_cancelled{id}, events_.now()));
}

void modelled_link::cut()
{
    cut_ = true;
    auto waiting = std::exchange(transfers_, {});
    for (auto& [id, one] : waiting)
    {
        one.finished(result_code::store_lost);
    }
}

void modelled_link::apply(const std::vector<link::command>& commands)
{
    for (const auto& next : commands)
    {
        std::visit(
            overloaded{
                [&](const link::start_transfer& started) { fly(started); },
                [&](const link::complete_transfer& over)
                {
                    auto node = transfers_.extract(over.id);
                    if (!node.empty())
                    {
                        node.mapped().finished(over.code);
                    }
                },
                [&](const link::wake_at& wake)
                {
                    events_.at(
                        wake.when,
                        [this] {
                            apply(scheduler_.handle(
                                link::timer_fired{}, events_.now()));
                        });
                }},
            next);
    }
}

void modelled_link::fly(const link::start_transfer& started)
{
    const auto known = transfers_.find(started.id);
    const bool gone = known != transfers_.end() && known->second.still_there &&
                      !known->second.still_there();
    const auto length = gone ? duration::zero()
                             : link::seconds_to_duration(
                                   static_cast<double>(started.bytes.value()) /
                                   scaled(settings_));
    record_use(length);
    events_.after(
        length,
        [this, id = started.id, gone]
        {
            if (cut_)
            {
                return;
            }
            const auto now = events_.now();
            apply(
                gone ? scheduler_.handle(
                           link::transfer_failed{id, result_code::block_freed},
                           now)
                     : scheduler_.handle(link::transfer_finished{id}, now));
        });
}

void modelled_link::record_use(duration length)
{
    auto from = link::duration_to_seconds(events_.now().time_since_epoch());
    const auto to = from + link::duration_to_seconds(length);
    while (from < to)
    {
        const auto second = static_cast<std::size_t>(from);
        const auto end = std::min(to, static_cast<double>(second + 1));
        if (use_by_second_.size() <= second)
        {
            use_by_second_.resize(second + 1);
        }
        use_by_second_[second] += end - from;
        from = end;
    }
}

routing::link_conditions modelled_link::view() const
{
    return {
        .rate = scheduler_.rate(),
        .backlog = scheduler_.backlog(
            link::transfer_class::first_token, events_.now())};
}

byte_rate modelled_link::exact_rate() const noexcept
{
    return byte_rate{scaled(settings_)};
}

duration modelled_link::exact_backlog(link::transfer_class priority) const
{
    const auto seconds =
        link::duration_to_seconds(scheduler_.backlog(priority, events_.now()));
    return link::seconds_to_duration(
        seconds * scheduler_.rate().value() / exact_rate().value());
}

store::store(const options& settings, event_queue& events)
    : id_(settings.id), memory_(settings.memory_pieces),
      disk_(settings.disk_pieces), memory_link_(settings.memory_link, events),
      disk_link_(settings.disk_link, events)
{
}

void store::insert(const digest& piece)
{
    if (lost_)
    {
        return;
    }
    disk_.erase(piece);
    std::vector<digest> moved;
    std::vector<digest> dropped;
    memory_.insert(piece, moved);
    for (const auto& old : moved)
    {
        disk_.insert(old, dropped);
    }
}

bool store::contains(const digest& piece) const
{
    return memory_.contains(piece) || disk_.contains(piece);
}

std::vector<routing::storage_tier> store::lookup(
    std::span<const digest> chain) const
{
    std::vector<routing::storage_tier> tiers;
    for (const auto& piece : chain)
    {
        if (!contains(piece))
        {
            break;
        }
        tiers.push_back(
            memory_.contains(piece) ? routing::storage_tier::memory
                                    : routing::storage_tier::disk);
    }
    return tiers;
}

void store::touch(std::span<const digest> chain)
{
    memory_.touch(chain);
    disk_.touch(chain);
}

void store::lose()
{
    lost_ = true;
    memory_.clear();
    disk_.clear();
    memory_link_.cut();
    disk_link_.cut();
}

modelled_link& store::link_of(const digest& piece)
{
    return memory_.contains(piece) ? memory_link_ : disk_link_;
}

} // namespace wagtailseam::model
