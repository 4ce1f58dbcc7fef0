// Implements the choice of an upstream for each prompt.
#include "routing/router.hpp"

#include "core/overloaded.hpp"
#include "routing/rendezvous.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <limits>

namespace wagtailseam::routing
{

std::string_view name(candidate_reason reason) noexcept
{
    switch (reason)
    {
    case candidate_reason::home:
        return "home";
    case candidate_reason::last_holder:
        return "last_holder";
    case candidate_reason::probed:
        return "probed";
    case candidate_reason::short_queue:
        return "short_queue";
    case candidate_reason::cell_member:
        return "cell_member";
    }
    return "unlisted";
}

router::router(const options& settings, random_source random)
    : settings_(settings), random_(random), loads_(settings.load),
      index_(settings.index_entries)
{
    BOOST_ASSERT(settings.home_piece > 0);
}

std::vector<command> router::handle(const event& incoming, mono_time now)
{
    std::vector<command> out;
    std::visit(
        overloaded{
            [&](const upstream_joined& joined) { add_upstream(joined); },
            [&](const upstream_left& left) { remove_upstream(left); },
            [&](const store_joined& joined) { stores_.insert(joined.store); },
            [&](const store_left& left) { stores_.erase(left.store); },
            [&](const load_reported& reported)
            {
                if (const auto slot = slot_of(reported.upstream))
                {
                    loads_.store_report(
                        *slot, reported.load, now - reported.age);
                }
            },
            [&](const prompt_received& received)
            { handle_prompt(received.prompt, now, out); },
            [&](const upstream_answered& answer)
            { handle_answer(answer, now, out); },
            [&](const store_answered& answer)
            { handle_answer(answer, now, out); },
            [&](const probe_deadline_passed& passed)
            { decide(passed.id, now, out); },
            [&](const prefill_ended& ended) { end_prefill(ended.id); }},
        incoming);
    return out;
}

void router::add_upstream(const upstream_joined& joined)
{
    if (slots_.contains(joined.upstream))
    {
        return;
    }
    const auto free = std::find_if(
        upstreams_.begin(), upstreams_.end(),
        [](const upstream_state& state) { return !state.present; });
    const auto index = free - upstreams_.begin();
    BOOST_ASSERT(index < std::numeric_limits<upstream_slot>::max());
    const auto slot = static_cast<upstream_slot>(index);
    if (free == upstreams_.end())
    {
        upstreams_.emplace_back();
    }
    upstreams_[slot] = {
        joined.upstream, stable_hash(joined.upstream.value()), joined.cell,
        true};
    slots_.emplace(joined.upstream, slot);
    present_slots_.insert(
        std::lower_bound(present_slots_.begin(), present_slots_.end(), slot),
        slot);
    loads_.add(slot);
}

void router::remove_upstream(const upstream_left& left)
{
    const auto slot = slot_of(left.upstream);
    if (!slot)
    {
        return;
    }
    upstreams_[*slot].present = false;
    slots_.erase(left.upstream);
    std::erase(present_slots_, *slot);
    loads_.remove(*slot);
    std::erase_if(
        dispatched_,
        [&](const auto& item) { return item.second.slot == *slot; });
    for (auto& [id, waiting] : pending_)
    {
        waiting.candidates.erase(*slot);
    }
}

std::optional<upstream_slot> router::slot_of(const upstream_id& id) const
{
    const auto found = slots_.find(id);
    if (found == slots_.end())
    {
        return std::nullopt;
    }
    return found->second;
}

prompt_size router::size_of(const prompt_info& prompt) const
{
    return {
        .tokens = prompt.tokens,
        .pieces = prompt.chain.size(),
        .piece = settings_.piece};
}

void router::handle_prompt(
    const prompt_info& prompt, mono_time now, std::vector<command>& out)
{
    if (present_slots_.empty())
    {
        out.emplace_back(refuse_prompt{
            prompt.id, result_code::no_upstream, std::chrono::seconds(1)});
        return;
    }
    if (settings_.selection != selection_policy::lowest_cost)
    {
        dispatch_by_baseline(prompt, now, out);
        return;
    }
    if (pending_.size() >= settings_.pending_limit)
    {
        out.emplace_back(refuse_prompt{
            prompt.id, result_code::queue_full, std::chrono::seconds(1)});
        return;
    }
    auto& waiting = pending_[prompt.id];
    waiting = pending_prompt{.prompt = prompt};
    add_candidates(waiting, now);
    send_probes(waiting, now, out);
}

std::optional<upstream_slot> router::home_of(const prompt_info& prompt) const
{
    if (prompt.chain.empty() || present_slots_.empty())
    {
        return std::nullopt;
    }
    const auto at = std::min(settings_.home_piece, prompt.chain.size()) - 1;
    const auto key = truncated_digest(prompt.chain[at]);
    return *std::max_element(
        present_slots_.begin(), present_slots_.end(),
        [&](upstream_slot a, upstream_slot b)
        {
            return rendezvous_weight(key, upstreams_[a].hash) <
                   rendezvous_weight(key, upstreams_[b].hash);
        });
}

void router::add_candidate(
    pending_prompt& waiting, upstream_slot slot, candidate_reason reason)
{
    if (upstreams_[slot].present)
    {
        waiting.candidates.try_emplace(slot, candidate{.reason = reason});
    }
}

void router::add_candidates(pending_prompt& waiting, mono_time now)
{
    if (const auto holder = index_.find(waiting.prompt.chain);
        holder && holder->slot < upstreams_.size())
    {
        add_candidate(waiting, holder->slot, candidate_reason::last_holder);
    }
    if (const auto home = home_of(waiting.prompt))
    {
        add_candidate(waiting, *home, candidate_reason::home);
    }
    add_shortest_queues(
        waiting, home_of(waiting.prompt).value_or(present_slots_.front()), now);
    for (std::size_t i = 0; i < settings_.random_probes; ++i)
    {
        add_candidate(
            waiting, present_slots_[random_.below(present_slots_.size())],
            candidate_reason::probed);
    }
}

void router::add_shortest_queues(
    pending_prompt& waiting, upstream_slot home, mono_time now)
{
    const auto level = waiting.prompt.priority;
    std::vector<std::pair<duration, upstream_slot>> queues;
    for (const auto slot : present_slots_)
    {
        if (upstreams_[slot].cell == upstreams_[home].cell)
        {
            queues.emplace_back(loads_.queue_wait(slot, level, now), slot);
        }
    }
    const auto count = std::min(settings_.short_queue_probes, queues.size());
    const auto end = queues.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(queues.begin(), end, queues.end());
    for (auto next = queues.begin(); next != end; ++next)
    {
        add_candidate(waiting, next->second, candidate_reason::short_queue);
    }
}

void router::send_probes(
    const pending_prompt& waiting, mono_time now, std::vector<command>& out)
{
    const auto& prompt = waiting.prompt;
    std::size_t probes = 0;
    for (const auto& [slot, state] : waiting.candidates)
    {
        out.emplace_back(probe_upstream{prompt.id, upstreams_[slot].id});
        ++probes;
    }
    const bool imports = settings_.imports != import_policy::never;
    if (imports && !prompt.chain.empty())
    {
        const auto at = std::min(settings_.home_piece, prompt.chain.size()) - 1;
        const std::vector<upstream_id> stores(stores_.begin(), stores_.end());
        for (auto& store :
             rendezvous_order(prompt.chain[at], stores, settings_.store_probes))
        {
            out.emplace_back(probe_store{prompt.id, std::move(store)});
            ++probes;
        }
    }
    pending_.at(prompt.id).missing_answers = probes;
    out.emplace_back(wake_at{prompt.id, now + settings_.probe_timeout});
}

void router::handle_answer(
    const upstream_answered& answer, mono_time now, std::vector<command>& out)
{
    const auto slot = slot_of(answer.upstream);
    if (slot)
    {
        loads_.store_report(*slot, answer.load, now - answer.age);
    }
    const auto waiting = pending_.find(answer.id);
    if (waiting == pending_.end() || !slot)
    {
        return;
    }
    const auto found = waiting->second.candidates.find(*slot);
    if (found == waiting->second.candidates.end() || found->second.answered)
    {
        return;
    }
    found->second.answered = true;
    found->second.cached_pieces = answer.cached_pieces;
    if (answer.last_holder)
    {
        probe_reported_holder(waiting->second, *answer.last_holder, out);
    }
    if (--waiting->second.missing_answers == 0)
    {
        decide(answer.id, now, out);
    }
}

void router::probe_reported_holder(
    pending_prompt& waiting, const upstream_id& holder,
    std::vector<command>& out)
{
    const auto slot = slot_of(holder);
    if (!slot || waiting.candidates.contains(*slot))
    {
        return;
    }
    add_candidate(waiting, *slot, candidate_reason::last_holder);
    ++waiting.missing_answers;
    out.emplace_back(probe_upstream{waiting.prompt.id, holder});
}

void router::handle_answer(
    const store_answered& answer, mono_time now, std::vector<command>& out)
{
    const auto waiting = pending_.find(answer.id);
    if (waiting == pending_.end() || waiting->second.missing_answers == 0)
    {
        return;
    }
    auto& sources = waiting->second.sources;
    const bool repeated = std::any_of(
        sources.begin(), sources.end(),
        [&](const import_source& source)
        { return source.store == answer.source.store; });
    if (repeated)
    {
        return;
    }
    sources.push_back(answer.source);
    std::sort(
        sources.begin(), sources.end(),
        [](const import_source& a, const import_source& b)
        { return a.store < b.store; });
    if (--waiting->second.missing_answers == 0)
    {
        decide(answer.id, now, out);
    }
}

evaluated_candidate router::evaluate_candidate(
    const pending_prompt& waiting, upstream_slot slot, const candidate& state,
    mono_time now) const
{
    const auto& prompt = waiting.prompt;
    const upstream_conditions conditions{
        .upstream = upstreams_[slot].id,
        .queue_wait = loads_.queue_wait(slot, prompt.priority, now),
        .prefill_rate = loads_.prefill_rate(slot),
        .cached_pieces = state.cached_pieces};
    return {
        .plan = lowest_cost_plan(
            size_of(prompt), conditions, waiting.sources, prompt.weights,
            settings_.imports),
        .reason = state.reason,
        .report_age = loads_.report_age(slot, now),
        .at_outstanding_limit = !loads_.below_outstanding_limit(slot)};
}

decision_explanation router::evaluate(
    const pending_prompt& waiting, mono_time now) const
{
    decision_explanation explanation{
        .id = waiting.prompt.id, .missing_answers = waiting.missing_answers};
    const auto home = home_of(waiting.prompt);
    const auto cell = upstreams_[home.value_or(present_slots_.front())].cell;
    for (const auto slot : present_slots_)
    {
        const auto found = waiting.candidates.find(slot);
        if (found != waiting.candidates.end())
        {
            explanation.candidates.push_back(
                evaluate_candidate(waiting, slot, found->second, now));
        }
        else if (upstreams_[slot].cell == cell)
        {
            const candidate member{.reason = candidate_reason::cell_member};
            explanation.candidates.push_back(
                evaluate_candidate(waiting, slot, member, now));
        }
    }
    return explanation;
}

std::optional<std::size_t> router::best_candidate(
    const decision_explanation& explanation) const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < explanation.candidates.size(); ++i)
    {
        const auto& next = explanation.candidates[i];
        if (!best)
        {
            best = i;
            continue;
        }
        const auto& current = explanation.candidates[*best];
        const bool better =
            next.at_outstanding_limit != current.at_outstanding_limit
                ? current.at_outstanding_limit
                : next.plan.cost < current.plan.cost;
        if (better)
        {
            best = i;
        }
    }
    return best;
}

void router::decide(
    const request_id& id, mono_time now, std::vector<command>& out)
{
    auto node = pending_.extract(id);
    if (node.empty())
    {
        return;
    }
    const auto& waiting = node.mapped();
    if (present_slots_.empty())
    {
        out.emplace_back(refuse_prompt{
            id, result_code::no_upstream, std::chrono::seconds(1)});
        return;
    }
    auto explanation = evaluate(waiting, now);
    const auto best = best_candidate(explanation);
    BOOST_ASSERT(best.has_value());
    const auto plan = explanation.candidates[*best].plan;
    dispatch(waiting.prompt, plan, std::move(explanation), now, out);
}

void router::dispatch(
    const prompt_info& prompt, placement_plan plan,
    decision_explanation explanation, mono_time now, std::vector<command>& out)
{
    if (plan.time_to_first_token > settings_.max_time_to_first_token)
    {
        out.emplace_back(refuse_prompt{
            prompt.id, result_code::queue_full,
            plan.time_to_first_token - settings_.max_time_to_first_token});
        return;
    }
    const auto slot = slots_.at(plan.upstream);
    explanation.chosen = plan.upstream;
    loads_.record_dispatch(slot, plan.computed_tokens, prompt.priority, now);
    index_.put(prompt.chain, slot, now);
    dispatched_[prompt.id] = {slot};
    const auto home = home_of(prompt);
    if (settings_.selection == selection_policy::lowest_cost && home &&
        *home != slot)
    {
        out.emplace_back(
            record_holder{upstreams_[*home].id, prompt.chain, plan.upstream});
    }
    out.emplace_back(
        dispatch_prompt{prompt.id, std::move(plan), std::move(explanation)});
}

void router::dispatch_by_baseline(
    const prompt_info& prompt, mono_time now, std::vector<command>& out)
{
    const auto slot = settings_.selection == selection_policy::round_robin
                          ? next_round_robin()
                          : least_loaded(prompt.priority, now);
    pending_prompt waiting{.prompt = prompt};
    const auto evaluated = evaluate_candidate(waiting, *slot, candidate{}, now);
    decision_explanation explanation{
        .id = prompt.id, .candidates = {evaluated}};
    dispatch(prompt, evaluated.plan, std::move(explanation), now, out);
}

std::optional<upstream_slot> router::next_round_robin()
{
    round_robin_position_ = (round_robin_position_ + 1) % present_slots_.size();
    return present_slots_[round_robin_position_];
}

std::optional<upstream_slot> router::least_loaded(
    std::size_t priority, mono_time now) const
{
    return *std::min_element(
        present_slots_.begin(), present_slots_.end(),
        [&](upstream_slot a, upstream_slot b)
        {
            return loads_.queue_wait(a, priority, now) <
                   loads_.queue_wait(b, priority, now);
        });
}

void router::end_prefill(const request_id& id)
{
    const auto found = dispatched_.find(id);
    if (found == dispatched_.end())
    {
        return;
    }
    loads_.record_prefill_end(found->second.slot);
    dispatched_.erase(found);
}

std::size_t router::index_bytes() const noexcept
{
    return index_.memory_bytes();
}

} // namespace wagtailseam::routing
