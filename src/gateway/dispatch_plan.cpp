// Queries, weights and cache plans of attempts.
#include "gateway/dispatch_plan.hpp"

#include "platform/request_codec.hpp"
#include "routing/rendezvous.hpp"
#include "serving/cache_timing.hpp"

#include <algorithm>
#include <map>

namespace wagtailseam::gateway
{
namespace
{

/// Requests keep off older weights this long before the agreed time.
constexpr std::chrono::milliseconds weights_margin{1500};
/// Weights that were named before this process began may have been named long
/// ago: older ones are kept off this long before it counts as in touch.
constexpr std::chrono::milliseconds start_margin{500};
/// Part of the latency target that each prompt waiting before a request may
/// take of it.
constexpr std::chrono::milliseconds prompt_allowance{150};
/// A caller that was refused before goes before new ones by as many prompts.
constexpr std::uint32_t returned_allowance = 3;
constexpr unsigned max_urgency = 9;

/// Of an engine's reading: measured by the operators, some 90, less what
/// running answers take of it.
constexpr double tokens_read_per_ms = 75.0;
/// A step of an engine, which even a cached prompt takes.
constexpr std::chrono::milliseconds least_reading{5};

duration reading_time(token_count unread)
{
    const std::chrono::duration<double, std::milli> time(
        static_cast<double>(unread.value()) / tokens_read_per_ms);
    return least_reading + std::chrono::duration_cast<duration>(time);
}

token_count all_tokens(const serving::prompt_metadata& of)
{
    token_count sum;
    for (const auto& part : of.parts)
    {
        sum += part.tokens;
    }
    return sum;
}

/// The store that most of the fetched tokens come from.
std::optional<http::address> main_source(
    const serving::prompt_metadata& of, const serving::cache_plan& plan)
{
    std::map<http::address, token_count> tokens;
    for (std::size_t at = 0; at < plan.parts.size(); ++at)
    {
        if (const auto& from = plan.parts[at].fetch_from)
        {
            tokens[*from] += of.parts[at].tokens;
        }
    }
    const auto most = std::max_element(
        tokens.begin(), tokens.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    return most == tokens.end() ? std::nullopt : std::optional(most->first);
}

/// The key of the longest part that other requests may share; 0 without one.
std::uint64_t home_key_of(const serving::call& asked)
{
    if (!asked.prompt || asked.prompt->parts.size() < 2)
    {
        return 0;
    }
    const auto& parts = asked.prompt->parts;
    const auto longest = std::max_element(
        parts.begin(), parts.end() - 1,
        [](const auto& a, const auto& b) { return a.tokens < b.tokens; });
    return routing::stable_hash(longest->id.value());
}

/// Prompts that may wait before the request at an engine.
std::uint32_t max_prompts_waiting(const accepted_request& asked)
{
    const auto by_target = static_cast<std::uint32_t>(
        asked.route->latency_target / prompt_allowance);
    // More urgent prompts pass those that wait.
    const std::uint32_t by_rank =
        asked.route->priority == 0 ? by_target * 2 : by_target;
    const bool came_back = asked.call.time_left < asked.route->timeout * 9 / 10;
    return std::max(1U, by_rank) + (came_back ? returned_allowance : 0);
}

/// The operator's word on a model's weights, null without one.
const known_target* named_target(
    const shared_state& known, const model_id& model)
{
    const auto found = known.weight_targets.find(model);
    return found == known.weight_targets.end() ? nullptr : &found->second;
}

/// Whether no cached part under these weights can have been freed.
bool may_fetch(
    const shared_state& known, const known_target* named,
    weight_version weights, mono_time now)
{
    if (now - known.operator_heard >= serving::max_operator_table_age)
    {
        return false;
    }
    return named == nullptr || weights == named->version ||
           (!named->at_start &&
            now - named->learned < serving::old_version_fetch_period);
}

serving::cache_plan plan_cache(
    shared_state& known, const accepted_request& asked,
    const serving::chosen_upstream& target,
    const std::optional<weight_version>& weights)
{
    const auto& prompt = *asked.call.prompt;
    const auto now = monotonic_clock::now();
    if (!weights)
    {
        // Nothing may be shared under weights that are not known.
        return {
            .salt = serving::cache_salt{asked.call.id.value()},
            .prefill_tokens = all_tokens(prompt)};
    }
    const serving::workspace shared;
    auto salt = serving::make_cache_salt(
        prompt.model, *weights,
        asked.workspace != nullptr ? *asked.workspace : shared);
    const auto* const named = named_target(known, prompt.model);
    if (!may_fetch(known, named, *weights, now))
    {
        return {.salt = std::move(salt), .prefill_tokens = all_tokens(prompt)};
    }
    return known.caches.plan(
        prompt, salt, target.entry.data_centre, asked.route->latency_target,
        target.expected_wait, now);
}

} // namespace

serving::upstream_query query_for(
    const shared_state& known, const accepted_request& asked,
    const std::set<upstream_id>& tried, bool may_be_refused)
{
    serving::upstream_query wanted{
        .service = asked.service,
        .local_data_centre = known.settings.data_centre,
        .affinity_key = home_key_of(asked.call),
        .excluded = tried};
    if (!asked.call.prompt)
    {
        return wanted;
    }
    if (may_be_refused)
    {
        wanted.max_prompts_waiting = max_prompts_waiting(asked);
    }
    const auto& model = asked.call.prompt->model;
    wanted.model = model;
    if (const auto* const named = named_target(known, model))
    {
        const duration age = monotonic_clock::now() - named->learned;
        wanted.wanted_version = named->version;
        wanted.require_wanted_version =
            age > known.settings.bounds.weight_rollout_deadline -
                      weights_margin ||
            (named->at_start &&
             age > known.settings.bounds.resync_deadline - start_margin);
    }
    return wanted;
}

planned_dispatch plan_dispatch(
    shared_state& known, const accepted_request& asked,
    const serving::chosen_upstream& target, const std::string& resume_after)
{
    planned_dispatch planned;
    platform::dispatch_metadata notes{
        .upstream = target.entry.id,
        .time_left = asked.time_left(),
        .workspace =
            asked.workspace != nullptr ? asked.workspace->id : workspace_id{},
        .resume_after = resume_after};
    if (asked.call.prompt)
    {
        const std::uint32_t priority =
            asked.workspace != nullptr
                ? asked.workspace->priority.value_or(asked.route->priority)
                : asked.route->priority;
        notes.urgency = std::min(priority, max_urgency);
        if (const auto* const named =
                named_target(known, asked.call.prompt->model))
        {
            planned.facts.named_weights = named->version;
        }
        planned.facts.weights = target.running_version
                                    ? target.running_version
                                    : planned.facts.named_weights;
        notes.weights = planned.facts.weights;
        notes.cache = plan_cache(known, asked, target, planned.facts.weights);
        planned.reading = reading_time(notes.cache->prefill_tokens);
        planned.fetched_from = main_source(*asked.call.prompt, *notes.cache);
        for (const auto& part : notes.cache->parts)
        {
            planned.facts.fetched_parts += part.fetch_from ? 1U : 0U;
            planned.facts.saved_parts += part.save_to ? 1U : 0U;
        }
    }
    planned.message = platform::encode_dispatch(asked.call, notes);
    return planned;
}

} // namespace wagtailseam::gateway
