// Ranks agents for each store and selects the parts to free.
#include "agent/cache_sweep_scheduler.hpp"

#include "agent/store_rank.hpp"
#include "serving/cache_salt.hpp"

#include <optional>

namespace wagtailseam::agent
{
namespace
{

/// Returns the version of a model's weights in a salt, nothing if the salt is
/// not one of the model.
/// @param reported the model of the part, if the store reports one
std::optional<weight_version> version_of(
    const serving::cache_salt& salt, const model_id& model,
    const std::optional<model_id>& reported)
{
    if (const auto fields = serving::parse_cache_salt(salt))
    {
        return fields->model == model ? std::optional(fields->version)
                                      : std::nullopt;
    }
    return reported == model ? serving::version_from_legacy_salt(salt, model)
                             : std::nullopt;
}

} // namespace

cache_sweep_scheduler::cache_sweep_scheduler(const cache_sweep_options& options)
    : options_(options)
{
}

void cache_sweep_scheduler::add_target(
    const serving::weight_target& target, mono_time now)
{
    constexpr std::size_t max_targets = 8;
    if (targets_.size() == max_targets)
    {
        targets_.erase(targets_.begin());
    }
    targets_.push_back(
        {.target = target, .announced_at = now, .swept_stores = {}});
}

std::vector<cache_sweep_scheduler::due_sweep> cache_sweep_scheduler::due_sweeps(
    const std::vector<serving::cache_store>& stores,
    const std::vector<upstream_id>& engines, const upstream_id& self,
    mono_time now)
{
    std::vector<due_sweep> sweeps;
    if (self.value().empty())
    {
        return sweeps;
    }
    for (auto& announced : targets_)
    {
        for (const auto& store : stores)
        {
            const auto rank = rank_for_store(store.service, engines, self);
            const auto due_at =
                announced.announced_at + options_.delay +
                options_.rank_delay * static_cast<duration::rep>(rank);
            if (rank < options_.agents_per_store && now >= due_at &&
                announced.swept_stores.insert(store.service).second)
            {
                sweeps.push_back(
                    {store, announced.target.model, announced.target.version});
            }
        }
    }
    return sweeps;
}

std::vector<serving::part_key> parts_of_older_weights(
    const serving::cache_content& content, const model_id& model,
    weight_version oldest_kept)
{
    std::vector<serving::part_key> parts;
    const auto add_if_older = [&](const serving::part_key& part,
                                  const std::optional<model_id>& reported)
    {
        const auto version = version_of(part.salt, model, reported);
        if (version && *version < oldest_kept)
        {
            parts.push_back(part);
        }
    };
    for (const auto& complete : content.complete)
    {
        add_if_older(complete.key, complete.model);
    }
    for (const auto& incomplete : content.incomplete)
    {
        add_if_older(incomplete, std::nullopt);
    }
    return parts;
}

} // namespace wagtailseam::agent
