// Costs of upstreams and experience with them.
#include "serving/load_balancer.hpp"

#include "core/overloaded.hpp"
#include "routing/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace wagtailseam::serving
{
namespace
{

std::optional<weight_version> version_at(
    const upstream& entry, const model_id& model)
{
    const auto found = entry.weights.find(model);
    return found == entry.weights.end() ? std::nullopt
                                        : std::optional(found->second);
}

duration scaled(duration time, double factor)
{
    return duration(
        static_cast<duration::rep>(static_cast<double>(time.count()) * factor));
}

} // namespace

std::string_view name(const attempt_result& end) noexcept
{
    return std::visit(
        overloaded{
            [](const connect_failed&) { return "connect_failed"; },
            [](const refused_busy&) { return "refused"; },
            [](const misdirected&) { return "misdirected"; },
            [](const weights_differ&) { return "weights_differ"; },
            [](const answered&) { return "answered"; },
            [](const response_failed&) { return "failed"; },
            [](const response_timed_out&) { return "silent"; },
            [](const abandoned&) { return "abandoned"; }},
        end);
}

load_balancer::load_balancer(const load_balancer_options& options)
    : options_(options)
{
}

void load_balancer::replace(
    const std::vector<upstream>& listed, duration grace, mono_time now)
{
    std::set<upstream_id> named;
    for (const auto& entry : listed)
    {
        named.insert(entry.id);
        upsert(entry);
    }
    for (auto& [id, state] : known_)
    {
        if (!named.contains(id) && !state.gone_at)
        {
            state.gone_at = now + grace;
        }
    }
}

void load_balancer::upsert(const upstream& listed)
{
    drop_earlier_lives(listed);
    auto& state = known_[listed.id];
    // The list lags behind what agents and answers said; weights only grow.
    auto weights = std::move(state.entry.weights);
    state.entry = listed;
    for (const auto& [model, version] : weights)
    {
        auto& at = state.entry.weights[model];
        at = std::max(at, version);
    }
    state.gone_at.reset();
}

void load_balancer::drop_earlier_lives(const upstream& listed)
{
    for (auto& [id, other] : known_)
    {
        const bool earlier = id != listed.id &&
                             other.entry.address == listed.address &&
                             other.entry.started_ms < listed.started_ms;
        if (earlier)
        {
            other.gone_at = mono_time{};
        }
    }
}

void load_balancer::remove(const upstream_id& id, duration grace, mono_time now)
{
    const auto found = known_.find(id);
    if (found != known_.end() && !found->second.gone_at)
    {
        found->second.gone_at = now + grace;
    }
    std::erase_if(
        known_,
        [&](const auto& entry)
        {
            const auto& state = entry.second;
            return state.gone_at && state.in_flight == 0 &&
                   now > *state.gone_at;
        });
}

bool load_balancer::has_left(const known_upstream& of, mono_time now) noexcept
{
    return of.entry.draining || (of.gone_at && now >= *of.gone_at);
}

bool load_balancer::usable(const known_upstream& of, mono_time now) const
{
    if (has_left(of, now) || (load_known(of, now) && of.load.loading_weights))
    {
        return false;
    }
    if (!of.paused_until)
    {
        return true;
    }
    // After a pause one request tries, the others wait for its outcome.
    return now >= *of.paused_until &&
           (of.connect_failures == 0 || of.in_flight == 0);
}

double load_balancer::failures(const known_upstream& of, mono_time now) const
{
    const double half_lives =
        static_cast<double>((now - of.failures_at).count()) /
        static_cast<double>(options_.forgiveness.count());
    return of.failure_share * std::exp2(-std::max(0.0, half_lives));
}

bool load_balancer::load_known(const known_upstream& of, mono_time now) const
{
    return of.load_heard && now - *of.load_heard <= options_.load_trust;
}

duration load_balancer::expected_wait(
    const known_upstream& of, mono_time now) const
{
    if (!load_known(of, now))
    {
        return options_.wait_per_request * of.in_flight;
    }
    if (of.load.prefill_of_other_gateways)
    {
        return of.load.prefill_of_other_gateways->prefill_time +
               of.own_pending_prefill.prefill_time +
               options_.wait_per_run * of.load.running;
    }
    return options_.wait_per_prompt * prompts_waiting(of, now) +
           options_.wait_per_run * of.load.running;
}

std::uint32_t load_balancer::prompts_waiting(
    const known_upstream& of, mono_time now) const
{
    if (!load_known(of, now))
    {
        return of.in_flight;
    }
    if (of.load.prefill_of_other_gateways)
    {
        return of.load.prefill_of_other_gateways->prompts +
               of.own_pending_prefill.prompts;
    }
    return of.load.prompts_waiting + of.sent_since;
}

void load_balancer::update_load(
    const upstream_id& id, const engine_load& load, mono_time now)
{
    const auto found = known_.find(id);
    if (found == known_.end())
    {
        return;
    }
    auto& of = found->second;
    of.load = load;
    of.load_heard = now;
    of.sent_since = 0;
    for (const auto& [model, version] : load.weights)
    {
        of.entry.weights.insert_or_assign(model, version);
    }
}

duration load_balancer::cost(
    const known_upstream& of, const upstream_query& wanted, mono_time now) const
{
    duration sum = expected_wait(of, now);
    sum += scaled(options_.failure_cost, failures(of, now));
    if (of.entry.data_centre == wanted.local_data_centre)
    {
        sum -= options_.near_bonus;
    }
    if (wanted.model)
    {
        const auto version = version_at(of.entry, *wanted.model);
        if (!version || *version < wanted.wanted_version)
        {
            sum += options_.old_weights_cost;
        }
    }
    return sum;
}

bool load_balancer::fits(
    const known_upstream& of, const upstream_query& wanted, mono_time now) const
{
    if (of.entry.service != wanted.service ||
        wanted.excluded.contains(of.entry.id) || !usable(of, now))
    {
        return false;
    }
    if (!wanted.require_wanted_version || !wanted.model)
    {
        return true;
    }
    const auto version = version_at(of.entry, *wanted.model);
    return !version || *version >= wanted.wanted_version;
}

choice load_balancer::choose(
    const upstream_query& wanted, random_source& random, mono_time now)
{
    struct candidate
    {
        const known_upstream* of = nullptr;
        duration cost{};
        std::uint64_t home = 0;
    };
    std::vector<candidate> candidates;
    bool overloaded = false;
    for (const auto& [id, of] : known_)
    {
        if (!fits(of, wanted, now))
        {
            continue;
        }
        if (wanted.max_prompts_waiting &&
            prompts_waiting(of, now) >= *wanted.max_prompts_waiting)
        {
            overloaded = true;
            continue;
        }
        // Entries with the same word on the load would all choose the same
        // upstream; this spreads them over those that are about as good.
        const duration spread = of.load.prefill_of_other_gateways
                                    ? options_.spread
                                    : options_.wait_per_prompt;
        const duration noise(static_cast<duration::rep>(
            random.below(static_cast<std::uint64_t>(spread.count()))));
        const auto home = routing::rendezvous_weight(
            wanted.affinity_key, routing::stable_hash(id.value()));
        candidates.push_back({&of, cost(of, wanted, now) + noise, home});
    }
    if (candidates.empty())
    {
        return overloaded ? choice(all_overloaded{}) : choice(none_available{});
    }
    if (wanted.affinity_key != 0)
    {
        auto& home = *std::max_element(
            candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.home < b.home; });
        home.cost -= options_.home_bonus;
    }
    const auto best = std::min_element(
        candidates.begin(), candidates.end(),
        [](const auto& a, const auto& b) { return a.cost < b.cost; });
    const known_upstream& of = *best->of;
    return chosen_upstream{
        .entry = of.entry,
        .running_version =
            wanted.model ? version_at(of.entry, *wanted.model) : std::nullopt,
        .expected_wait = expected_wait(of, now),
        .cost = best->cost,
        .in_flight = of.in_flight,
        .failure_share = failures(of, now)};
}

duration load_balancer::retry_after(
    const service_id& service, mono_time now) const
{
    duration least = options_.max_connect_pause;
    for (const auto& [id, state] : known_)
    {
        if (state.entry.service == service && state.paused_until &&
            !state.entry.draining)
        {
            least = std::min(
                least, std::max(duration::zero(), *state.paused_until - now));
        }
    }
    return std::max(least, options_.busy_pause);
}

bool load_balancer::is_leaving(const upstream_id& id, mono_time now) const
{
    const auto found = known_.find(id);
    if (found == known_.end())
    {
        return true;
    }
    return has_left(found->second, now);
}

void load_balancer::begin_attempt(const upstream_id& id, duration prefill_time)
{
    const auto found = known_.find(id);
    if (found != known_.end())
    {
        auto& of = found->second;
        ++of.in_flight;
        ++of.sent_since;
        ++of.own_pending_prefill.prompts;
        of.own_pending_prefill.prefill_time += prefill_time;
    }
}

void load_balancer::finish_prefill(const upstream_id& id, duration prefill_time)
{
    const auto found = known_.find(id);
    // It may have been listed anew since it began.
    if (found != known_.end() && found->second.own_pending_prefill.prompts > 0)
    {
        auto& own = found->second.own_pending_prefill;
        --own.prompts;
        own.prefill_time =
            std::max(duration::zero(), own.prefill_time - prefill_time);
    }
}

pending_prefill load_balancer::own_pending_prefill(const upstream_id& id) const
{
    const auto found = known_.find(id);
    return found == known_.end() ? pending_prefill{}
                                 : found->second.own_pending_prefill;
}

std::vector<upstream_id> load_balancer::upstreams_with_own_prefill() const
{
    std::vector<upstream_id> ids;
    for (const auto& [id, of] : known_)
    {
        if (of.own_pending_prefill.prompts > 0)
        {
            ids.push_back(id);
        }
    }
    return ids;
}

void load_balancer::end_attempt(
    const upstream_id& id, const attempt_result& how, mono_time now)
{
    const auto found = known_.find(id);
    if (found != known_.end() && found->second.in_flight > 0)
    {
        --found->second.in_flight;
    }
    record_result(id, how, now);
}

void load_balancer::add_experience(
    known_upstream& of, double failure, mono_time now)
{
    const double before = failures(of, now);
    of.failure_share = before + options_.failure_weight * (failure - before);
    of.failures_at = now;
}

void load_balancer::pause(known_upstream& of, duration time, mono_time now)
{
    of.paused_until = now + time;
}

void load_balancer::record_result(
    const upstream_id& id, const attempt_result& how, mono_time now)
{
    const auto found = known_.find(id);
    if (found == known_.end())
    {
        return;
    }
    auto& of = found->second;
    std::visit(
        overloaded{
            [&](const connect_failed&)
            {
                constexpr std::uint32_t max_doublings = 8;
                const auto doublings =
                    std::min(of.connect_failures, max_doublings);
                ++of.connect_failures;
                pause(
                    of,
                    std::min(
                        options_.max_connect_pause,
                        options_.connect_pause * (1U << doublings)),
                    now);
            },
            [&](const refused_busy& refused)
            {
                pause(
                    of,
                    refused.retry_after > duration::zero()
                        ? std::min(
                              refused.retry_after, options_.max_connect_pause)
                        : options_.busy_pause,
                    now);
            },
            [&](const misdirected&) { of.gone_at = now; },
            [&](const weights_differ& differs)
            {
                if (differs.running)
                {
                    of.entry.weights.insert_or_assign(
                        differs.model, *differs.running);
                }
            },
            [&](const answered&)
            {
                add_experience(of, 0, now);
                of.connect_failures = 0;
                of.paused_until.reset();
            },
            [&](const response_failed&) { add_experience(of, 1, now); },
            [&](const response_timed_out&) { add_experience(of, 1, now); },
            [](const abandoned&) {}},
        how);
}

std::optional<weight_version> load_balancer::running_version(
    const upstream_id& id, const model_id& model) const
{
    const auto found = known_.find(id);
    return found == known_.end() ? std::nullopt
                                 : version_at(found->second.entry, model);
}

} // namespace wagtailseam::serving
