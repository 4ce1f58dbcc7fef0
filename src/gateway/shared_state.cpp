// Creates the retry budgets of services on first use.
#include "gateway/shared_state.hpp"

#include "runtime/program.hpp"

namespace wagtailseam::gateway
{
namespace
{

/// The retry slack is divided by this number of gateways. More gateways would
/// exceed it in total.
constexpr double max_gateways = 48;
/// Part of the agreed retry ratio that a gateway uses. The margin is needed
/// because the ratio is measured over sliding windows, and those of the
/// gateways do not start together.
constexpr double retry_ratio_share = 0.8;

} // namespace

shared_state::shared_state(platform::process_settings initial_settings)
    : settings(std::move(initial_settings)),
      random(runtime::random_incarnation())
{
}

retry::retry_budget& shared_state::retry_budget_for(
    const serving::service_id& service)
{
    const auto found = retry_budgets.find(service);
    if (found != retry_budgets.end())
    {
        return found->second;
    }
    const retry::retry_budget new_budget(make_retry_budget_options());
    return retry_budgets.emplace(service, new_budget).first->second;
}

void shared_state::apply_bounds(const platform::service_level_bounds& bounds)
{
    settings.bounds = bounds;
    for (auto& [service, budget] : retry_budgets)
    {
        budget.set_options(make_retry_budget_options());
    }
}

retry::retry_budget_options shared_state::make_retry_budget_options() const
{
    const double retry_slack =
        settings.bounds.retry_budget_slack / max_gateways;
    return {
        .success_ratio = 0,
        .request_ratio = settings.bounds.retry_budget_ratio * retry_ratio_share,
        .initial = retry_slack,
        .capacity = retry_slack,
        .reroute_cost = 1,
        .crash_capacity = 0,
        .crash_success_ratio = 0};
}

} // namespace wagtailseam::gateway
