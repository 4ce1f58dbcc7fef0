// Regions that may process a request.
#include "serving/configuration.hpp"

#include "core/digest.hpp"

namespace wagtailseam::serving
{

allowed_data_centres find_allowed_data_centres(
    const route& route, const workspace* workspace,
    const std::map<data_centre_id, region_id>& regions)
{
    static const std::set<region_id> all;
    const auto& by_workspace =
        workspace != nullptr ? workspace->allowed_regions : all;
    if (route.allowed_regions.empty() && by_workspace.empty())
    {
        return std::nullopt;
    }
    const auto contains = [](const auto& allowed, const region_id& region)
    { return allowed.empty() || allowed.contains(region); };
    std::set<data_centre_id> allowed;
    for (const auto& [data_centre, region] : regions)
    {
        if (contains(route.allowed_regions, region) &&
            contains(by_workspace, region))
        {
            allowed.insert(data_centre);
        }
    }
    return allowed;
}

cache_scope restrict_scope(
    const cache_scope& scope, const allowed_data_centres& allowed)
{
    if (!allowed)
    {
        return scope;
    }
    sha256_stream hash;
    for (const auto& data_centre : *allowed)
    {
        hash.update(
            std::to_string(data_centre.value().size()) + ':' +
            data_centre.value());
    }
    constexpr std::size_t digits = 32;
    // No scope of a workspace has this prefix.
    return cache_scope{
        "r." + hash.value().hex().substr(0, digits) + '.' + scope.value()};
}

} // namespace wagtailseam::serving
