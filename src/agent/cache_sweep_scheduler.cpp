// Whose turn a sweep is, and what it frees.
#include "agent/cache_sweep_scheduler.hpp"

#include "agent/store_rank.hpp"

namespace wagtailseam::agent
{
cache_sweep_scheduler::cache_sweep_scheduler(const cache_sweep_options& options)
    : options_(options)
{
}

void cache_sweep_scheduler::name(
    const serving::weight_target& target, mono_time now)
{
    constexpr std::size_t max_namings = 8;
    if (namings_.size() == max_namings)
    {
        namings_.erase(namings_.begin());
    }
    namings_.push_back({.target = target, .at = now, .swept = {}});
}

std::vector<cache_sweep_scheduler::due_sweep> cache_sweep_scheduler::due(
    const std::vector<serving::cache_store>& stores,
    const std::vector<upstream_id>& engines, const upstream_id& self,
    mono_time now)
{
    std::vector<due_sweep> sweeps;
    if (self.value().empty())
    {
        return sweeps;
    }
    for (auto& named : namings_)
    {
        for (const auto& store : stores)
        {
            const auto place = rank_for_store(store.service, engines, self);
            const auto at = named.at + options_.rest +
                            options_.turn * static_cast<duration::rep>(place);
            if (place < options_.agents && now >= at &&
                named.swept.insert(store.service).second)
            {
                sweeps.push_back(
                    {store, named.target.model, named.target.version});
            }
        }
    }
    return sweeps;
}

std::vector<serving::kept_part> parts_of_older_weights(
    const serving::cache_content& content, const model_id& model,
    weight_version oldest_kept)
{
    std::vector<serving::kept_part> parts;
    const auto add = [&](const serving::kept_part& part)
    {
        const auto version = serving::version_of(part.salt);
        if (version && *version < oldest_kept &&
            serving::model_of(part.salt) == model)
        {
            parts.push_back(part);
        }
    };
    for (const auto& held : content.held)
    {
        add(held.part);
    }
    for (const auto& unfinished : content.unfinished)
    {
        add(unfinished);
    }
    return parts;
}

} // namespace wagtailseam::agent
