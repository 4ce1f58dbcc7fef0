// Creates the retry budgets of services on first use.
#include "gateway/shared_state.hpp"

#include "runtime/program.hpp"

#include <algorithm>

namespace wagtailseam::gateway
{
namespace
{

/// The retry slack is divided by at least this number of gateways.
constexpr double min_slack_shares = 48;
/// Leaves room for gateways that are added or restarted within one window of
/// the budget.
constexpr double slack_shares_per_gateway = 1.25;
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

std::optional<weight_version> shared_state::newest_weights(
    const model_id& model) const
{
    const auto found = weight_announcements.find(model);
    if (found == weight_announcements.end())
    {
        return std::nullopt;
    }
    return found->second.newest()->version;
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
    update_retry_budgets();
}

void shared_state::set_gateway_count(std::size_t count)
{
    gateway_count_ = count;
    update_retry_budgets();
}

void shared_state::update_retry_budgets()
{
    for (auto& [service, budget] : retry_budgets)
    {
        budget.set_options(make_retry_budget_options());
    }
}

retry::retry_budget_options shared_state::make_retry_budget_options() const
{
    const double shares = std::max(
        min_slack_shares, slack_shares_per_gateway *
                              static_cast<double>(gateway_count_.value_or(0)));
    const double retry_slack = settings.bounds.retry_budget_slack / shares;
    return {
        .success_ratio = 0,
        .request_ratio = settings.bounds.retry_budget_ratio * retry_ratio_share,
        .initial = retry_slack,
        .capacity = retry_slack,
        .reroute_cost = 1,
        .crash_capacity = 0,
        .crash_success_ratio = 0};
}

const serving::cold_start* shared_state::find_cold_start(
    const serving::service_id& service) const
{
    if (!routes)
    {
        return nullptr;
    }
    const auto& cold_starts = routes->config().cold_starts;
    const auto found = cold_starts.find(service);
    return found == cold_starts.end() ? nullptr : &found->second;
}

duration shared_state::cold_time(const serving::service_id& service) const
{
    const auto* const cold = find_cold_start(service);
    return cold != nullptr ? cold->time : duration::zero();
}

std::optional<rate_limit::request_rate> shared_state::cold_rate(
    const serving::service_id& service) const
{
    const auto* const cold = find_cold_start(service);
    if (cold == nullptr)
    {
        return std::nullopt;
    }
    // An interval of a second touches two of the slots by which gateways divide
    // a rate.
    const double rate = cold->rate.value();
    const double bound = rate * settings.bounds.cold_rate_factor +
                         settings.bounds.cold_rate_slack;
    return rate_limit::request_rate{std::min(rate, std::floor(bound / 2))};
}

} // namespace wagtailseam::gateway
