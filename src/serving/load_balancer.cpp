// Computes the upstreams' costs and tracks the results of attempts.
#include "serving/load_balancer.hpp"

#include "core/overloaded.hpp"
#include "routing/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace wagtailseam::serving
{
namespace
{

std::optional<weight_version> version_of_model(
    const upstream& entry, const model_id& model)
{
    const auto found = entry.weights.find(model);
    return found == entry.weights.end() ? std::nullopt
                                        : std::optional(found->second);
}

duration scale(duration time, double factor)
{
    return duration(
        static_cast<duration::rep>(static_cast<double>(time.count()) * factor));
}

} // namespace

std::string_view name(const attempt_result& result) noexcept
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
        result);
}

load_balancer::load_balancer(const load_balancer_options& options)
    : options_(options)
{
}

bool load_balancer::is_draining_or_removed(
    const upstream_state& state, mono_time now) noexcept
{
    return state.entry.draining || state.is_superseded || state.is_disproved ||
           (state.removed_at && now >= *state.removed_at);
}

double load_balancer::decayed_failure_share(
    const upstream_state& state, mono_time now) const
{
    const double half_lives =
        static_cast<double>((now - state.failures_updated).count()) /
        static_cast<double>(options_.failure_half_life.count());
    return state.failure_share * std::exp2(-std::max(0.0, half_lives));
}

bool load_balancer::is_load_known(
    const upstream_state& state, mono_time now) const
{
    return state.load_updated &&
           now - *state.load_updated <= options_.max_load_age;
}

duration load_balancer::expected_wait(
    const upstream_state& state, mono_time now) const
{
    if (!is_load_known(state, now))
    {
        return options_.wait_per_request * state.in_flight;
    }
    if (state.load.prefill_of_other_gateways)
    {
        return state.load.prefill_of_other_gateways->prefill_time +
               state.own_pending_prefill.prefill_time +
               options_.wait_per_run * state.load.running;
    }
    return options_.wait_per_prompt * prompts_waiting(state, now) +
           options_.wait_per_run * state.load.running;
}

std::uint32_t load_balancer::prompts_waiting(
    const upstream_state& state, mono_time now) const
{
    if (!is_load_known(state, now))
    {
        return state.in_flight;
    }
    if (state.load.prefill_of_other_gateways)
    {
        return state.load.prefill_of_other_gateways->prompts +
               state.own_pending_prefill.prompts;
    }
    return state.load.prompts_waiting + state.sent_since_load;
}

void load_balancer::update_load(
    const upstream_id& id, const engine_load& load, mono_time now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
    {
        return;
    }
    auto& state = found->second;
    state.load = load;
    state.load_updated = now;
    state.sent_since_load = 0;
    for (const auto& [model, version] : load.weights)
    {
        state.entry.weights.insert_or_assign(model, version);
    }
}

duration load_balancer::cost(
    const upstream_state& state, const upstream_query& query, double slowness,
    mono_time now) const
{
    duration sum = scale(expected_wait(state, now), slowness) +
                   excess_time(state, slowness, now);
    sum += scale(options_.failure_cost, decayed_failure_share(state, now));
    if (state.entry.data_centre == query.local_data_centre)
    {
        sum -= options_.local_bonus;
    }
    if (query.model)
    {
        const auto version = version_of_model(state.entry, *query.model);
        if (!version || *version < query.wanted_version)
        {
            sum += options_.old_weights_cost;
        }
    }
    return sum;
}

exclusion load_balancer::find_ineligibility(
    const upstream_state& state, const upstream_query& query,
    mono_time now) const
{
    if (query.excluded.contains(state.entry.id))
    {
        return exclusion::already_tried;
    }
    if (evacuated_.contains(state.entry.data_centre))
    {
        return exclusion::evacuated;
    }
    if (!allows(query.data_centres, state.entry.data_centre))
    {
        return exclusion::other_region;
    }
    if (query.software && *query.software != state.entry.software)
    {
        return exclusion::other_software;
    }
    if (query.processes != nullptr && query.processes->is_replaced(state.entry))
    {
        return exclusion::replaced_process;
    }
    if (is_draining_or_removed(state, now))
    {
        return exclusion::leaving;
    }
    if (is_load_known(state, now) && state.load.loading_weights)
    {
        return exclusion::loading_weights;
    }
    // After connection failures one request probes the upstream; the others
    // wait for its result.
    if (state.paused_until &&
        (now < *state.paused_until ||
         (state.connect_failures > 0 && state.in_flight > 0)))
    {
        return exclusion::paused;
    }
    if (query.min_version && query.model)
    {
        const auto version = version_of_model(state.entry, *query.model);
        if (version && *version < *query.min_version)
        {
            return exclusion::older_weights;
        }
    }
    return exclusion::none;
}

exclusion load_balancer::find_exclusion(
    const upstream_state& state, const upstream_query& query,
    mono_time now) const
{
    const auto ineligibility = find_ineligibility(state, query, now);
    if (ineligibility != exclusion::none)
    {
        return ineligibility;
    }
    if (query.restricted.contains(process_of(state.entry)))
    {
        return exclusion::restricted;
    }
    if (!query.max_wait)
    {
        return exclusion::none;
    }
    if (!has_memory(state, query.tokens, now))
    {
        return exclusion::no_memory;
    }
    return expected_wait(state, now) > *query.max_wait
               ? exclusion::queue_too_long
               : exclusion::none;
}

load_balancer::candidate load_balancer::make_candidate(
    const upstream_state& state, const upstream_query& query,
    const upstream_speed::speed_scale& speeds, mono_time now) const
{
    const double slowness = speeds.slowness(known_speed(state, now));
    return {
        .state = &state,
        .cost = cost(state, query, slowness, now),
        .expected_wait = scale(expected_wait(state, now), slowness),
        .slowness = slowness,
        .affinity = routing::rendezvous_weight(
            query.affinity_key, routing::stable_hash(state.entry.id.value()))};
}

load_balancer::candidate_list load_balancer::list_candidates(
    const upstream_query& query, mono_time now) const
{
    candidate_list found;
    const auto add_excess_wait = [&](duration excess)
    {
        found.min_excess_wait =
            std::min(excess, found.min_excess_wait.value_or(excess));
    };
    const auto speeds = make_speed_scale(query.service, now);
    for (const auto& [id, state] : upstreams_)
    {
        if (state.entry.service != query.service)
        {
            continue;
        }
        switch (find_exclusion(state, query, now))
        {
        case exclusion::none:
            found.candidates.push_back(
                make_candidate(state, query, speeds, now));
            break;
        case exclusion::restricted:
            found.restricted.upstreams.insert(process_of(state.entry));
            break;
        case exclusion::no_memory:
            ++found.without_memory;
            add_excess_wait(memory_estimate_options{}.report_age);
            break;
        case exclusion::queue_too_long:
            add_excess_wait(expected_wait(state, now) - *query.max_wait);
            break;
        case exclusion::leaving:
        case exclusion::loading_weights:
        case exclusion::paused:
        case exclusion::already_tried:
        case exclusion::evacuated:
        case exclusion::other_region:
        case exclusion::other_software:
        case exclusion::replaced_process:
        case exclusion::older_weights:
            break;
        }
    }
    if (query.affinity_key != 0 && !found.candidates.empty())
    {
        auto& preferred = *std::max_element(
            found.candidates.begin(), found.candidates.end(),
            [](const auto& a, const auto& b)
            { return a.affinity < b.affinity; });
        preferred.cost -= options_.affinity_bonus;
        preferred.is_preferred = true;
    }
    return found;
}

choice load_balancer::choose(
    const upstream_query& query, random_source& random, mono_time now) const
{
    auto found = list_candidates(query, now);
    auto& candidates = found.candidates;
    if (candidates.empty())
    {
        if (found.min_excess_wait)
        {
            return all_overloaded{
                .excess_wait = *found.min_excess_wait,
                .without_memory = found.without_memory};
        }
        return found.restricted.upstreams.empty()
                   ? choice(none_available{})
                   : choice(std::move(found.restricted));
    }
    // Gateways with the same load report would all choose the same upstream;
    // the noise spreads them over upstreams of similar cost.
    for (auto& each : candidates)
    {
        const duration max_noise = each.state->load.prefill_of_other_gateways
                                       ? options_.cost_tolerance
                                       : options_.wait_per_prompt;
        each.cost += duration(static_cast<duration::rep>(
            random.below(static_cast<std::uint64_t>(max_noise.count()))));
    }
    const auto best = std::min_element(
        candidates.begin(), candidates.end(),
        [](const auto& a, const auto& b) { return a.cost < b.cost; });
    const upstream_state& state = *best->state;
    return chosen_upstream{
        .entry = state.entry,
        .running_version = query.model
                               ? version_of_model(state.entry, *query.model)
                               : std::nullopt,
        .expected_wait = best->expected_wait,
        .slowness = best->slowness,
        .cost = best->cost,
        .in_flight = state.in_flight,
        .failure_share = decayed_failure_share(state, now)};
}

duration load_balancer::retry_after(
    const service_id& service, const allowed_data_centres& allowed,
    mono_time now) const
{
    duration shortest = options_.max_connect_pause;
    for (const auto& [id, state] : upstreams_)
    {
        if (state.entry.service == service && state.paused_until &&
            !state.entry.draining &&
            !evacuated_.contains(state.entry.data_centre) &&
            allows(allowed, state.entry.data_centre))
        {
            shortest = std::min(
                shortest,
                std::max(duration::zero(), *state.paused_until - now));
        }
    }
    return std::max(shortest, options_.busy_pause);
}

bool load_balancer::is_leaving(const upstream_id& id, mono_time now) const
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
    {
        return true;
    }
    return is_draining_or_removed(found->second, now);
}

bool load_balancer::is_evacuated(const upstream_id& id) const
{
    const auto found = upstreams_.find(id);
    return found != upstreams_.end() &&
           evacuated_.contains(found->second.entry.data_centre);
}

bool load_balancer::has_memory(
    const upstream_state& state, token_count tokens, mono_time now) const
{
    if (!is_load_known(state, now))
    {
        return true;
    }
    const auto& others = state.load.prefill_of_other_gateways;
    return state.memory.fits(
        state.load.memory, others ? others->tokens : token_count{}, tokens,
        now);
}

void load_balancer::begin_attempt(
    const upstream_id& id, const prompt_load& load)
{
    const auto found = upstreams_.find(id);
    if (found != upstreams_.end())
    {
        auto& state = found->second;
        ++state.in_flight;
        ++state.sent_since_load;
        ++state.own_pending_prefill.prompts;
        state.own_pending_prefill.prefill_time += load.prefill_time;
        state.memory.begin(load.tokens);
    }
}

void load_balancer::finish_prefill(
    const upstream_id& id, const prompt_load& load, mono_time now)
{
    const auto found = upstreams_.find(id);
    // The upstream may have been removed and listed again since the attempt
    // began.
    if (found != upstreams_.end() &&
        found->second.own_pending_prefill.prompts > 0)
    {
        auto& own = found->second.own_pending_prefill;
        --own.prompts;
        own.prefill_time =
            std::max(duration::zero(), own.prefill_time - load.prefill_time);
        found->second.memory.finish_prefill(load.tokens, now);
    }
}

pending_prefill load_balancer::own_pending_prefill(const upstream_id& id) const
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
    {
        return {};
    }
    auto pending = found->second.own_pending_prefill;
    pending.tokens = found->second.memory.pending();
    return pending;
}

std::vector<upstream_id> load_balancer::upstreams_with_own_prefill() const
{
    std::vector<upstream_id> ids;
    for (const auto& [id, state] : upstreams_)
    {
        if (state.own_pending_prefill.prompts > 0)
        {
            ids.push_back(id);
        }
    }
    return ids;
}

void load_balancer::end_attempt(
    const upstream_id& id, const attempt_result& result, mono_time now)
{
    const auto found = upstreams_.find(id);
    if (found != upstreams_.end() && found->second.in_flight > 0)
    {
        --found->second.in_flight;
    }
    record_result(id, result, now);
}

void load_balancer::update_failure_share(
    upstream_state& state, double failure, mono_time now)
{
    const double previous = decayed_failure_share(state, now);
    state.failure_share =
        previous + options_.failure_smoothing * (failure - previous);
    state.failures_updated = now;
}

void load_balancer::pause(upstream_state& state, duration time, mono_time now)
{
    state.paused_until = now + time;
}

void load_balancer::record_result(
    const upstream_id& id, const attempt_result& result, mono_time now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
    {
        return;
    }
    auto& state = found->second;
    std::visit(
        overloaded{
            [&](const connect_failed&)
            {
                constexpr std::uint32_t max_doublings = 8;
                const auto doublings =
                    std::min(state.connect_failures, max_doublings);
                ++state.connect_failures;
                pause(
                    state,
                    std::min(
                        options_.max_connect_pause,
                        options_.connect_pause * (1U << doublings)),
                    now);
            },
            [&](const refused_busy&)
            { pause(state, options_.busy_pause, now); },
            [&](const misdirected&)
            {
                state.removed_at = now;
                (void)update_superseded(state.entry.address);
            },
            [&](const weights_differ& mismatch)
            {
                if (mismatch.running)
                {
                    state.entry.weights.insert_or_assign(
                        mismatch.model, *mismatch.running);
                }
            },
            [&](const answered&)
            {
                update_failure_share(state, 0, now);
                state.connect_failures = 0;
                state.paused_until.reset();
            },
            [&](const response_failed&)
            { update_failure_share(state, 1, now); },
            [&](const response_timed_out&)
            { update_failure_share(state, 1, now); },
            [](const abandoned&) {}},
        result);
}

std::optional<weight_version> load_balancer::running_version(
    const upstream_id& id, const model_id& model) const
{
    const auto found = upstreams_.find(id);
    return found == upstreams_.end()
               ? std::nullopt
               : version_of_model(found->second.entry, model);
}

} // namespace wagtailseam::serving
