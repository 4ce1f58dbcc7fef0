// Chooses the upstream of each prompt and how its prefix gets there.
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
    : settings_(settings), random_(random), load_(settings.load),
      index_(settings.index_entries)
{
    BOOST_ASSERT(settings.home_piece > 0);
}

std::vector<command> router::handle(const event& incoming, mono_time now)
{
    std::vector<command> out;
    std::visit(
        overloaded{
            [&](const upstream_joined& joined) { join(joined); },
            [&](const upstream_left& left) { leave(left); },
            [&](const store_joined& joined) { stores_.insert(joined.store); },
            [&](const store_left& left) { stores_.erase(left.store); },
            [&](const load_reported& reported)
            {
                if (const auto slot = slot_of(reported.upstream))
                {
                    load_.report(*slot, reported.load, now - reported.age);
                }
            },
            [&](const prompt_received& received)
            { receive(received.prompt, now, out); },
            [&](const upstream_answered& a) { answer(a, now, out); },
            [&](const store_answered& a) { answer(a, now, out); },
            [&](const probe_deadline_passed& passed)
            { decide(passed.id, now, out); },
            [&](const prefill_ended& settled) { settle(settled.id); }},
        incoming);
    return out;
}

void router::join(const upstream_joined& joined)
{
    if (slots_.contains(joined.upstream))
    {
        return;
    }
    const auto free = std::find_if(
        upstreams_.begin(), upstreams_.end(),
        [](const upstream_state& state) { return !state.present; });
    const auto place = free - upstreams_.begin();
    BOOST_ASSERT(place < std::numeric_limits<upstream_slot>::max());
    const auto slot = static_cast<upstream_slot>(place);
    if (free == upstreams_.end())
    {
        upstreams_.emplace_back();
    }
    upstreams_[slot] = {
        joined.upstream, stable_hash(joined.upstream.value()), joined.cell,
        true};
    slots_.emplace(joined.upstream, slot);
    present_.insert(
        std::lower_bound(present_.begin(), present_.end(), slot), slot);
    load_.add(slot);
}

void router::leave(const upstream_left& left)
{
    const auto slot = slot_of(left.upstream);
    if (!slot)
    {
        return;
    }
    upstreams_[*slot].present = false;
    slots_.erase(left.upstream);
    std::erase(present_, *slot);
    load_.remove(*slot);
    std::erase_if(
        placed_, [&](const auto& item) { return item.second.slot == *slot; });
    for (auto& [id, waiting] : pending_)
    {
        waiting.candidates.erase(*slot);
    }
}

std::optional<upstream_slot> router::slot_of(const upstream_id& id) const
{
    const auto known = slots_.find(id);
    if (known == slots_.end())
    {
        return std::nullopt;
    }
    return known->second;
}

prompt_size router::shape_of(const prompt_info& prompt) const
{
    return {
        .tokens = prompt.tokens,
        .pieces = prompt.chain.size(),
        .piece = settings_.piece};
}

void router::receive(
    const prompt_info& prompt, mono_time now, std::vector<command>& out)
{
    if (present_.empty())
    {
        out.emplace_back(refuse_prompt{
            prompt.id, result_code::no_upstream, std::chrono::seconds(1)});
        return;
    }
    if (settings_.selection != selection_policy::lowest_cost)
    {
        place_baseline(prompt, now, out);
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
    choose_probes(waiting, now);
    ask(waiting, now, out);
}

std::optional<upstream_slot> router::home_of(const prompt_info& prompt) const
{
    if (prompt.chain.empty() || present_.empty())
    {
        return std::nullopt;
    }
    const auto at = std::min(settings_.home_piece, prompt.chain.size()) - 1;
    const auto key = short_key(prompt.chain[at]);
    return *std::max_element(
        present_.begin(), present_.end(),
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

void router::choose_probes(pending_prompt& waiting, mono_time now)
{
    if (const auto held = index_.find(waiting.prompt.chain);
        held && held->slot < upstreams_.size())
    {
        add_candidate(waiting, held->slot, candidate_reason::last_holder);
    }
    if (const auto home = home_of(waiting.prompt))
    {
        add_candidate(waiting, *home, candidate_reason::home);
    }
    add_short_queues(
        waiting, home_of(waiting.prompt).value_or(present_.front()), now);
    for (std::size_t i = 0; i < settings_.random_probes; ++i)
    {
        add_candidate(
            waiting, present_[random_.below(present_.size())],
            candidate_reason::probed);
    }
}

void router::add_short_queues(
    pending_prompt& waiting, upstream_slot home, mono_time now)
{
    const auto level = waiting.prompt.priority;
    std::vector<std::pair<duration, upstream_slot>> queues;
    for (const auto slot : present_)
    {
        if (upstreams_[slot].cell == upstreams_[home].cell)
        {
            queues.emplace_back(load_.queue_wait(slot, level, now), slot);
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

void router::ask(
    const pending_prompt& waiting, mono_time now, std::vector<command>& out)
{
    const auto& prompt = waiting.prompt;
    std::size_t asked = 0;
    for (const auto& [slot, held] : waiting.candidates)
    {
        out.emplace_back(probe_upstream{prompt.id, upstreams_[slot].id});
        ++asked;
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
            ++asked;
        }
    }
    pending_.at(prompt.id).missing = asked;
    out.emplace_back(wake_at{prompt.id, now + settings_.probe_timeout});
}

void router::answer(
    const upstream_answered& answered, mono_time now, std::vector<command>& out)
{
    const auto slot = slot_of(answered.upstream);
    if (slot)
    {
        load_.report(*slot, answered.load, now - answered.age);
    }
    const auto waiting = pending_.find(answered.id);
    if (waiting == pending_.end() || !slot)
    {
        return;
    }
    const auto held = waiting->second.candidates.find(*slot);
    if (held == waiting->second.candidates.end() || held->second.answered)
    {
        return;
    }
    held->second.answered = true;
    held->second.cached_pieces = answered.cached_pieces;
    if (answered.last_holder)
    {
        follow_hint(waiting->second, *answered.last_holder, out);
    }
    if (--waiting->second.missing == 0)
    {
        decide(answered.id, now, out);
    }
}

void router::follow_hint(
    pending_prompt& waiting, const upstream_id& holder,
    std::vector<command>& out)
{
    const auto slot = slot_of(holder);
    if (!slot || waiting.candidates.contains(*slot))
    {
        return;
    }
    add_candidate(waiting, *slot, candidate_reason::last_holder);
    ++waiting.missing;
    out.emplace_back(probe_upstream{waiting.prompt.id, holder});
}

void router::answer(
    const store_answered& answered, mono_time now, std::vector<command>& out)
{
    const auto waiting = pending_.find(answered.id);
    if (waiting == pending_.end() || waiting->second.missing == 0)
    {
        return;
    }
    auto& kept = waiting->second.kept;
    const bool repeated = std::any_of(
        kept.begin(), kept.end(),
        [&](const import_source& known)
        { return known.store == answered.source.store; });
    if (repeated)
    {
        return;
    }
    kept.push_back(answered.source);
    std::sort(
        kept.begin(), kept.end(),
        [](const import_source& a, const import_source& b)
        { return a.store < b.store; });
    if (--waiting->second.missing == 0)
    {
        decide(answered.id, now, out);
    }
}

evaluated_candidate router::weigh_one(
    const pending_prompt& waiting, upstream_slot slot, const candidate& held,
    mono_time now) const
{
    const auto& prompt = waiting.prompt;
    const upstream_conditions view{
        .upstream = upstreams_[slot].id,
        .queue_wait = load_.queue_wait(slot, prompt.priority, now),
        .prefill_rate = load_.prefill_rate(slot),
        .cached_pieces = held.cached_pieces};
    return {
        .plan = lowest_cost_plan(
            shape_of(prompt), view, waiting.kept, prompt.weights,
            settings_.imports),
        .reason = held.reason,
        .report_age = load_.report_age(slot, now),
        .over_bound = !load_.has_room(slot)};
}

decision_explanation router::weigh(
    const pending_prompt& waiting, mono_time now) const
{
    decision_explanation explanation{
        .id = waiting.prompt.id, .missing_answers = waiting.missing};
    const auto home = home_of(waiting.prompt);
    const auto cell = upstreams_[home.value_or(present_.front())].cell;
    for (const auto slot : present_)
    {
        const auto known = waiting.candidates.find(slot);
        if (known != waiting.candidates.end())
        {
            explanation.candidates.push_back(
                weigh_one(waiting, slot, known->second, now));
        }
        else if (upstreams_[slot].cell == cell)
        {
            const candidate member{.reason = candidate_reason::cell_member};
            explanation.candidates.push_back(
                weigh_one(waiting, slot, member, now));
        }
    }
    return explanation;
}

std::optional<std::size_t> router::best_of(
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
        const auto& known = explanation.candidates[*best];
        const bool better = next.over_bound != known.over_bound
                                ? known.over_bound
                                : next.plan.cost < known.plan.cost;
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
    if (present_.empty())
    {
        out.emplace_back(refuse_prompt{
            id, result_code::no_upstream, std::chrono::seconds(1)});
        return;
    }
    auto explanation = weigh(waiting, now);
    const auto best = best_of(explanation);
    BOOST_ASSERT(best.has_value());
    const auto plan = explanation.candidates[*best].plan;
    place(waiting.prompt, plan, std::move(explanation), now, out);
}

void router::place(
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
    load_.dispatched(slot, plan.computed_tokens, prompt.priority, now);
    index_.put(prompt.chain, slot, now);
    placed_[prompt.id] = {slot};
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

void router::place_baseline(
    const prompt_info& prompt, mono_time now, std::vector<command>& out)
{
    const auto slot = settings_.selection == selection_policy::round_robin
                          ? next_in_turn()
                          : least_loaded(prompt.priority, now);
    pending_prompt waiting{.prompt = prompt};
    const auto weighed = weigh_one(waiting, *slot, candidate{}, now);
    decision_explanation explanation{.id = prompt.id, .candidates = {weighed}};
    place(prompt, weighed.plan, std::move(explanation), now, out);
}

std::optional<upstream_slot> router::next_in_turn()
{
    turn_ = (turn_ + 1) % present_.size();
    return present_[turn_];
}

std::optional<upstream_slot> router::least_loaded(
    std::size_t priority, mono_time now) const
{
    return *std::min_element(
        present_.begin(), present_.end(),
        [&](upstream_slot a, upstream_slot b)
        {
            return load_.queue_wait(a, priority, now) <
                   load_.queue_wait(b, priority, now);
        });
}

void router::settle(const request_id& id)
{
    const auto known = placed_.find(id);
    if (known == placed_.end())
    {
        return;
    }
    load_.settled(known->second.slot);
    placed_.erase(known);
}

std::size_t router::index_bytes() const noexcept
{
    return index_.memory_bytes();
}

} // namespace wagtailseam::routing
