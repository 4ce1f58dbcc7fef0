// Whose turn a sweep is, and what it frees.
#include "agent/cache_sweep.hpp"

#include "routing/rendezvous.hpp"

#include <algorithm>

namespace wagtailseam::agent
{
namespace
{

/// Returns the place of `self` in the order of engines for a store.
std::size_t place_for(
    const serving::cache_store& store, const std::vector<upstream_id>& engines,
    const upstream_id& self)
{
    const auto key = routing::stable_hash(store.service.value());
    const auto weight = [&](const upstream_id& engine)
    {
        return routing::rendezvous_weight(
            key, routing::stable_hash(engine.value()));
    };
    const auto own = weight(self);
    return static_cast<std::size_t>(std::count_if(
        engines.begin(), engines.end(),
        [&](const upstream_id& engine) { return weight(engine) > own; }));
}

} // namespace

cache_sweep::cache_sweep(const cache_sweep_options& options)
    : options_(options)
{
}

void cache_sweep::name(const serving::weight_target& target, mono_time now)
{
    newest_.insert_or_assign(target.model, target.version);
    named_ = now;
    swept_.clear();
}

std::vector<serving::cache_store> cache_sweep::due(
    const std::vector<serving::cache_store>& stores,
    const std::vector<upstream_id>& engines, const upstream_id& self,
    mono_time now)
{
    std::vector<serving::cache_store> now_due;
    if (!named_ || self.value().empty())
    {
        return now_due;
    }
    for (const auto& store : stores)
    {
        const auto place = place_for(store, engines, self);
        const auto at = *named_ + options_.rest +
                        options_.turn * static_cast<duration::rep>(place);
        if (place < options_.agents && now >= at &&
            swept_.emplace(store.service, now).second)
        {
            now_due.push_back(store);
        }
    }
    return now_due;
}

std::vector<serving::kept_part> cache_sweep::outdated(
    const serving::cache_content& content) const
{
    std::vector<serving::kept_part> parts;
    const auto add = [&](const serving::kept_part& part)
    {
        const auto model = serving::model_of(part.salt);
        const auto version = serving::version_of(part.salt);
        const auto newest =
            model ? newest_.find(*model) : newest_.end();
        if (version && newest != newest_.end() && *version < newest->second)
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
