// The budget of a service, made when it is first asked for.
#include "gateway/shared_state.hpp"

#include "runtime/program.hpp"

namespace wagtailseam::gateway
{
namespace
{

/// Entries among which the common slack is divided; more entries than that
/// would overspend it.
constexpr double max_entries = 48;
/// Part of the agreed ratio that an entry spends: windows slide, and those of
/// the entries do not begin together.
constexpr double spent_share = 0.8;

} // namespace

shared_state::shared_state(platform::process_settings read)
    : settings(std::move(read)), random(runtime::random_incarnation())
{
}

retry::retry_budget& shared_state::budget(const serving::service_id& of)
{
    const auto found = budgets.find(of);
    if (found != budgets.end())
    {
        return found->second;
    }
    const double slack = settings.bounds.retry_budget_slack / max_entries;
    const retry::retry_budget made(
        {.success_ratio = 0,
         .request_ratio = settings.bounds.retry_budget_ratio * spent_share,
         .initial = slack,
         .capacity = slack,
         .reroute_cost = 1,
         .crash_capacity = 0,
         .crash_success_ratio = 0});
    return budgets.emplace(of, made).first->second;
}

} // namespace wagtailseam::gateway
