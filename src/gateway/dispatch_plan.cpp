// Builds upstream queries, weight selections and cache plans for attempts.
#include "gateway/dispatch_plan.hpp"

#include "core/overloaded.hpp"
#include "platform/request_codec.hpp"
#include "routing/rendezvous.hpp"
#include "serving/cache_salt.hpp"
#include "serving/cache_timing.hpp"

#include <algorithm>
#include <map>

namespace wagtailseam::gateway
{
namespace
{

/// Requests stop using older weights this long before the rollout deadline.
constexpr std::chrono::milliseconds weight_rollout_margin{1500};
/// The age of a weight version received at startup is unknown. Requests stop
/// using older weights this long before the resync deadline.
constexpr std::chrono::milliseconds startup_resync_margin{500};
constexpr unsigned max_urgency = 9;

/// Prefill rate of an engine: about 90 tokens per ms, reduced by the share that
/// token generation takes.
constexpr double prefill_tokens_per_ms = 75.0;
/// Duration of one engine step, which even a cached prompt requires.
constexpr std::chrono::milliseconds min_prefill_time{5};

duration estimate_prefill_time(token_count prefill_tokens)
{
    const std::chrono::duration<double, std::milli> time(
        static_cast<double>(prefill_tokens.value()) / prefill_tokens_per_ms);
    return min_prefill_time + std::chrono::duration_cast<duration>(time);
}

token_count total_tokens(const serving::prompt_metadata& prompt)
{
    token_count total;
    for (const auto& part : prompt.parts)
    {
        total += part.tokens;
    }
    return total;
}

/// Returns the store that holds most of the tokens to fetch.
std::optional<http::address> find_main_cache_source(
    const serving::prompt_metadata& prompt, const serving::cache_plan& plan)
{
    std::map<http::address, token_count> tokens;
    for (std::size_t index = 0; index < plan.parts.size(); ++index)
    {
        if (const auto& store = plan.parts[index].fetch_from)
        {
            tokens[*store] += prompt.parts[index].tokens;
        }
    }
    const auto largest = std::max_element(
        tokens.begin(), tokens.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    return largest == tokens.end() ? std::nullopt
                                   : std::optional(largest->first);
}

/// Returns the affinity key of the longest part that other requests may share;
/// 0 if there is none.
std::uint64_t make_affinity_key(const serving::call& request)
{
    if (!request.prompt || request.prompt->parts.size() < 2)
    {
        return 0;
    }
    const auto& parts = request.prompt->parts;
    const auto longest = std::max_element(
        parts.begin(), parts.end() - 1,
        [](const auto& a, const auto& b) { return a.tokens < b.tokens; });
    return routing::stable_hash(longest->id.value());
}

result_code restriction_code(upstream_statement::restriction reason)
{
    using upstream_statement::restriction;
    switch (reason)
    {
    case restriction::limited:
        return result_code::upstreams_limited;
    case restriction::paused:
        return result_code::upstreams_paused;
    case restriction::leaving:
        break;
    }
    return result_code::upstreams_leaving;
}

/// Returns how long the request may wait for an engine to start on it.
duration max_wait(const accepted_request& request)
{
    // Urgent prompts overtake queued ones.
    const int factor = request.route->priority == 0 ? 2 : 1;
    const bool is_repeated =
        request.call.time_left < request.route->timeout * 9 / 10;
    return request.route->latency_target * (factor + (is_repeated ? 1 : 0));
}

} // namespace

bool can_fetch_cached_parts(
    const shared_state& state, const model_id& model, weight_version weights,
    mono_time now)
{
    if (now - state.operator_table_read_at >= serving::max_operator_table_age)
    {
        return false;
    }
    const auto found = state.weight_announcements.find(model);
    const auto* const successor =
        found == state.weight_announcements.end()
            ? nullptr
            : found->second.oldest_newer_than(weights);
    return successor == nullptr ||
           (!successor->at_startup &&
            now - successor->received_at < serving::old_version_fetch_period);
}

namespace
{

serving::cache_plan plan_cache(
    shared_state& state, const accepted_request& request,
    const serving::chosen_upstream& target,
    const std::optional<weight_version>& weights)
{
    const auto& prompt = *request.call.prompt;
    const auto now = monotonic_clock::now();
    if (!weights)
    {
        // An unknown weight version rules out cache sharing.
        return {
            .salt = serving::make_unshared_salt(state.random),
            .prefill_tokens = total_tokens(prompt)};
    }
    // A workspace may have become isolated since the request was accepted.
    const auto scope = serving::restrict_scope(
        state.routes->scope_of(
            request.workspace != nullptr ? request.workspace->id
                                         : workspace_id{}),
        request.data_centres);
    auto salt = serving::make_cache_salt(
        {.model = prompt.model, .version = *weights, .scope = scope});
    if (!can_fetch_cached_parts(state, prompt.model, *weights, now))
    {
        return {
            .salt = std::move(salt), .prefill_tokens = total_tokens(prompt)};
    }
    return state.caches.plan(
        prompt, salt, target.entry.data_centre, request.route->latency_target,
        target.expected_wait, now, request.data_centres);
}

} // namespace

const quarantine::request_content& accepted_request::content() const
{
    if (!content_)
    {
        content_.emplace();
        content_->request = quarantine::make_request_fingerprint(
            workspace != nullptr ? workspace->id : workspace_id{},
            call.message.target, call.message.body);
        if (call.prompt)
        {
            for (const auto& part : call.prompt->shared_parts())
            {
                content_->parts.push_back(
                    quarantine::make_part_fingerprint(part.id.value()));
            }
        }
    }
    return *content_;
}

result<void> find_route(const shared_state& state, accepted_request& request)
{
    // That of another configuration may no longer exist.
    request.workspace = nullptr;
    request.route = request.routes->find_route(
        request.call.host, request.call.message.path());
    if (request.route == nullptr)
    {
        return fail(result_code::unknown_route);
    }
    if (!request.route->is_public)
    {
        if (request.call.key.empty())
        {
            return fail(result_code::missing_credentials);
        }
        request.workspace = request.routes->find_workspace(request.call.key);
        if (request.workspace == nullptr)
        {
            return fail(result_code::unknown_caller_key);
        }
    }
    request.data_centres = serving::find_allowed_data_centres(
        *request.route, request.workspace, state.settings.regions);
    return boost::outcome_v2::success();
}

serving::upstream_query make_upstream_query(
    const shared_state& state, const accepted_request& request,
    const std::set<upstream_id>& tried, bool limit_queue_length)
{
    serving::upstream_query query{
        .service = request.service,
        .local_data_centre = state.settings.data_centre,
        .affinity_key = make_affinity_key(request.call),
        .data_centres = request.data_centres,
        .excluded = tried,
        .restricted = state.statements.restricted()};
    if (request.route->is_resumable_stream())
    {
        query.processes = &state.processes;
    }
    if (!request.call.prompt)
    {
        return query;
    }
    if (limit_queue_length)
    {
        query.max_wait = max_wait(request);
        query.tokens = request.call.prompt->needed_memory();
    }
    const auto& model = request.call.prompt->model;
    query.model = model;
    const auto announced = state.weight_announcements.find(model);
    if (announced != state.weight_announcements.end())
    {
        query.wanted_version = announced->second.newest()->version;
        query.min_version = announced->second.newest_older_than(
            state.settings.bounds.weight_rollout_deadline -
                weight_rollout_margin,
            state.settings.bounds.resync_deadline - startup_resync_margin,
            monotonic_clock::now());
    }
    return query;
}

result_code refusal_code(
    const shared_state& state, const accepted_request& request,
    const serving::choice& selection)
{
    return std::visit(
        overloaded{
            [](const serving::chosen_upstream&) { return result_code::ok; },
            [](const serving::all_overloaded&)
            { return result_code::queue_full; },
            [&](const serving::all_restricted& restricted)
            {
                return restriction_code(
                    state.statements.first_end(restricted.upstreams).reason);
            },
            [&](const serving::none_available&)
            {
                return request.data_centres ? result_code::no_upstream_in_region
                                            : result_code::no_upstream;
            }},
        selection);
}

planned_dispatch plan_dispatch(
    shared_state& state, const accepted_request& request,
    const serving::chosen_upstream& target, const std::string& resume_after)
{
    planned_dispatch planned;
    platform::dispatch_metadata metadata{
        .upstream = target.entry.id,
        .time_left = request.time_left(),
        .workspace = request.workspace != nullptr ? request.workspace->id
                                                  : workspace_id{},
        .resume_after = resume_after};
    if (request.call.prompt)
    {
        const std::uint32_t priority =
            request.workspace != nullptr
                ? request.workspace->priority.value_or(request.route->priority)
                : request.route->priority;
        metadata.urgency = std::min(priority, max_urgency);
        planned.summary.target_weights =
            state.newest_weights(request.call.prompt->model);
        planned.summary.weights = target.running_version
                                      ? target.running_version
                                      : planned.summary.target_weights;
        metadata.weights = planned.summary.weights;
        metadata.cache =
            plan_cache(state, request, target, planned.summary.weights);
        planned.prefill_time =
            estimate_prefill_time(metadata.cache->prefill_tokens);
        planned.main_cache_source =
            find_main_cache_source(*request.call.prompt, *metadata.cache);
        for (const auto& part : metadata.cache->parts)
        {
            planned.summary.fetched_parts += part.fetch_from ? 1U : 0U;
            planned.summary.saved_parts += part.save_to ? 1U : 0U;
        }
    }
    planned.message = platform::encode_dispatch(request.call, metadata);
    return planned;
}

} // namespace wagtailseam::gateway
