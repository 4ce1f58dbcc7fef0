// Beliefs about stores, and the plan of one prompt.
#include "serving/cache_view.hpp"

#include "routing/rendezvous.hpp"
#include "serving/cache_timing.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace wagtailseam::serving
{
namespace
{

constexpr std::string_view salt_mark = "w";
constexpr char salt_separator = '.';
/// Entries of recent saves beyond which old ones are dropped.
constexpr std::size_t max_recent_saves = 4096;
constexpr std::size_t max_counted_parts = 4096;

std::int64_t to_ms(mono_time at)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               at.time_since_epoch())
        .count();
}

/// Weighted rendezvous: a store's share of the parts is that of its weight.
double home_weight(
    const part_key& part, const cache_store& store, double weight)
{
    const auto hash = routing::rendezvous_weight(
        routing::stable_hash(part.salt.value() + '/' + part.part.value()),
        routing::stable_hash(store.service.value()));
    constexpr double two_to_64 = 18446744073709551616.0;
    const double uniform = (static_cast<double>(hash) + 0.5) / two_to_64;
    return -weight / std::log(uniform);
}

} // namespace

cache_view::cache_view(const cache_view_options& options) : options_(options) {}

void cache_view::set_stores(const std::vector<cache_store>& stores)
{
    std::vector<store_state> next;
    for (const auto& store : stores)
    {
        const auto known = std::find_if(
            stores_.begin(), stores_.end(),
            [&](const store_state& old)
            {
                return old.store.service == store.service &&
                       old.store.address == store.address;
            });
        store_state state;
        if (known != stores_.end())
        {
            state = std::move(*known);
        }
        state.store = store;
        next.push_back(std::move(state));
    }
    stores_ = std::move(next);
}

namespace
{

auto find_store(auto& stores, const service_id& name)
{
    return std::find_if(
        stores.begin(), stores.end(),
        [&](const auto& state) { return state.store.service == name; });
}

} // namespace

resync_action cache_view::apply(
    const service_id& store, const cache_changes& answer, mono_time now)
{
    const auto state = find_store(stores_, store);
    if (state == stores_.end())
    {
        return resync_action::none;
    }
    if (state->epoch != answer.epoch || answer.gap)
    {
        state->forget_content();
        state->epoch.reset();
        state->next_cursor = 0;
        if (answer.after > 0 && !answer.gap)
        {
            return resync_action::poll_changes;
        }
    }
    else if (answer.after > state->next_cursor)
    {
        note_heard(*state, answer, now);
        return resync_action::poll_changes;
    }
    state->epoch = answer.epoch;
    note_heard(*state, answer, now);
    for (const auto& change : answer.changes)
    {
        if (change.number > state->next_cursor)
        {
            set_held(*state, change.key, change.tokens);
        }
    }
    state->next_cursor = std::max(state->next_cursor, answer.next_cursor);
    return answer.gap ? resync_action::read_content : resync_action::none;
}

void cache_view::note_heard(
    store_state& of, const cache_changes& answer, mono_time now)
{
    duration way{};
    if (answer.clock_ms)
    {
        // An answer that was long on its way, or lay in this process's queue
        // while it did not run, shows less of a lead than others did. The lead
        // is given up slowly, so that a clock set back is believed in the end.
        const auto lead = *answer.clock_ms - to_ms(now);
        const auto greatest = std::max(lead, of.clock_lead_ms.value_or(lead));
        way = std::chrono::milliseconds(greatest - lead);
        of.clock_lead_ms = greatest - (greatest > lead ? 1 : 0);
        clock_offset_ms_ = of.clock_lead_ms;
    }
    of.heard = std::max(of.heard, now - way);
}

void cache_view::apply(
    const service_id& store, const cache_content& answer, mono_time now)
{
    const auto state = find_store(stores_, store);
    if (state == stores_.end())
    {
        return;
    }
    state->epoch = answer.epoch;
    state->next_cursor = answer.next_cursor;
    state->heard = now;
    state->forget_content();
    for (const auto& part : answer.complete)
    {
        set_held(*state, part.key, part.tokens);
    }
}

void cache_view::set_held(
    store_state& of, const part_key& part, token_count tokens)
{
    const auto known = of.held.find(part);
    if (known != of.held.end())
    {
        of.used -= known->second;
        of.held.erase(known);
    }
    if (tokens > token_count{})
    {
        of.used += tokens;
        of.held.emplace(part, tokens);
    }
}

void cache_view::mark_unreachable(const service_id& store)
{
    const auto state = find_store(stores_, store);
    if (state != stores_.end())
    {
        state->heard = mono_time{};
    }
}

std::uint64_t cache_view::poll_cursor(const service_id& store) const
{
    const auto state = find_store(stores_, store);
    return state == stores_.end() ? 0 : state->next_cursor;
}

bool cache_view::trusted(const store_state& of, mono_time now) const
{
    return of.epoch && now - of.heard <= options_.trust;
}

const cache_view::store_state* cache_view::holder(
    const part_key& part, token_count tokens, const data_centre_id& near,
    mono_time now) const
{
    const store_state* best = nullptr;
    double best_rate = 0;
    for (const auto& state : stores_)
    {
        const auto held = state.held.find(part);
        if (held == state.held.end() || held->second < tokens ||
            !trusted(state, now))
        {
            continue;
        }
        const double rate = effective_rate(state, near);
        if (best == nullptr || rate > best_rate)
        {
            best = &state;
            best_rate = rate;
        }
    }
    return best;
}

double cache_view::effective_rate(
    const store_state& of, const data_centre_id& near) const
{
    const double rate = of.store.link_rate.value();
    return of.store.data_centre == near ? rate : rate / options_.far_factor;
}

bool cache_view::is_fastest(const store_state& of) const
{
    return std::none_of(
        stores_.begin(), stores_.end(),
        [&](const store_state& other)
        { return other.store.link_rate > of.store.link_rate; });
}

const cache_view::store_state* cache_view::home(
    const part_key& part, token_count tokens, const data_centre_id& near,
    bool fastest_only, mono_time now) const
{
    const store_state* best = nullptr;
    double best_weight = 0;
    for (const auto& state : stores_)
    {
        const auto& store = state.store;
        if (!trusted(state, now) || state.used + tokens > store.capacity ||
            (fastest_only && !is_fastest(state)))
        {
            continue;
        }
        const double near_factor =
            store.data_centre == near ? options_.near_home_factor : 1.0;
        // Links are shared by all fetches: a fast store fills first.
        const double weight = home_weight(
            part, store,
            static_cast<double>(store.capacity.value()) *
                store.link_rate.value() * near_factor);
        if (best == nullptr || weight > best_weight)
        {
            best = &state;
            best_weight = weight;
        }
    }
    return best;
}

bool cache_view::count_use(const part_id& part, mono_time now)
{
    if (uses_.size() >= max_counted_parts)
    {
        std::erase_if(
            uses_, [&](const auto& entry)
            { return now - entry.second.window_began > options_.hot_window; });
    }
    auto& uses = uses_[part];
    if (now - uses.window_began > options_.hot_window)
    {
        uses.hot = uses.count >= options_.hot_uses;
        uses.window_began = now;
        uses.count = 0;
    }
    ++uses.count;
    uses.hot = uses.hot || uses.count >= options_.hot_uses;
    return uses.hot;
}

std::optional<http::address> cache_view::keeper_for(
    const part_key& part, token_count tokens, const data_centre_id& near,
    const store_state* held_at, bool hot, mono_time now)
{
    const bool well_kept = held_at != nullptr && (!hot || is_fastest(*held_at));
    const auto saved = saved_.find(part);
    const bool under_way =
        saved != saved_.end() && now - saved->second < options_.save_pause;
    if (well_kept || under_way)
    {
        return std::nullopt;
    }
    const auto* const keeper = home(part, tokens, near, hot, now);
    if (keeper == nullptr || keeper == held_at)
    {
        return std::nullopt;
    }
    remember_save(part, now);
    return keeper->store.address;
}

void cache_view::remember_save(const part_key& part, mono_time now)
{
    if (saved_.size() >= max_recent_saves)
    {
        std::erase_if(
            saved_, [&](const auto& entry)
            { return now - entry.second > options_.save_pause; });
    }
    saved_.insert_or_assign(part, now);
}

cache_plan cache_view::plan(
    const prompt_metadata& wanted, const cache_salt& salt,
    const data_centre_id& near, duration latency_target, duration expected_wait,
    mono_time now)
{
    cache_plan made{.salt = salt};
    made.parts.resize(wanted.parts.size());
    bool contiguous = true;
    bool fetches = false;
    // One turn of a store covers all parts that this prompt has there.
    std::map<http::address, bool> turns;
    const auto takes_turn = [&](const http::address& store)
    {
        const auto known = turns.find(store);
        return known != turns.end()
                   ? known->second
                   : turns.emplace(store, throttle_.admit_fetch(store, now))
                         .first->second;
    };
    for (std::size_t at = 0; at + 1 < wanted.parts.size(); ++at)
    {
        const auto& asked = wanted.parts[at];
        const part_key part{salt, asked.id};
        const auto* const held_at = holder(part, asked.tokens, near, now);
        const bool hot = count_use(asked.id, now);
        made.parts[at].save_to =
            keeper_for(part, asked.tokens, near, held_at, hot, now);
        contiguous = contiguous && held_at != nullptr &&
                     takes_turn(held_at->store.address);
        if (contiguous && clock_offset_ms_)
        {
            made.parts[at].fetch_from = held_at->store.address;
            fetches = true;
        }
        // Every engine holds what is used all the time.
        else if (!hot)
        {
            made.prefill_tokens += asked.tokens;
        }
    }
    made.prefill_tokens +=
        wanted.parts.empty() ? token_count{} : wanted.parts.back().tokens;
    if (fetches)
    {
        const auto limit = static_cast<duration::rep>(
            static_cast<double>(latency_target.count()) *
            options_.fetch_part_of_target);
        made.fetch_deadline_ms =
            to_ms(
                now +
                std::min(
                    max_fetch_time, std::min(expected_wait, latency_target) +
                                        duration(limit))) +
            *clock_offset_ms_;
    }
    return made;
}

std::size_t cache_view::part_count() const noexcept
{
    std::size_t sum = 0;
    for (const auto& state : stores_)
    {
        sum += state.held.size();
    }
    return sum;
}

cache_salt make_cache_salt(
    const model_id& model, weight_version version, const workspace& of)
{
    std::string text(salt_mark);
    text += std::to_string(version.value());
    text += salt_separator;
    text += model.value();
    if (of.isolated)
    {
        text += salt_separator;
        text += of.id.value();
    }
    return cache_salt{std::move(text)};
}

namespace
{

/// The fields of a salt of this system: mark and version, model, workspace.
std::vector<std::string_view> salt_fields(const cache_salt& salt)
{
    std::vector<std::string_view> fields;
    std::string_view text = salt.value();
    if (!text.starts_with(salt_mark))
    {
        return fields;
    }
    text.remove_prefix(salt_mark.size());
    for (auto at = text.find(salt_separator); at != std::string_view::npos;
         at = text.find(salt_separator))
    {
        fields.push_back(text.substr(0, at));
        text.remove_prefix(at + 1);
    }
    fields.push_back(text);
    return fields;
}

} // namespace

std::optional<model_id> model_from_salt(const cache_salt& salt)
{
    const auto fields = salt_fields(salt);
    return fields.size() < 2 ? std::nullopt
                             : std::optional(model_id{std::string(fields[1])});
}

std::optional<weight_version> version_from_salt(const cache_salt& salt)
{
    const auto fields = salt_fields(salt);
    if (fields.size() < 2)
    {
        return std::nullopt;
    }
    std::uint64_t version = 0;
    const auto* const end = fields[0].data() + fields[0].size();
    const auto [stop, failed] = std::from_chars(fields[0].data(), end, version);
    if (failed != std::errc{} || stop != end)
    {
        return std::nullopt;
    }
    return weight_version{version};
}

} // namespace wagtailseam::serving
