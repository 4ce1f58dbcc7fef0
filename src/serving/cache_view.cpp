// Change feeds of the stores, and the plan of fetches and saves of a prompt.
#include "serving/cache_view.hpp"

#include "routing/rendezvous.hpp"
#include "serving/cache_timing.hpp"

#include <algorithm>
#include <cmath>

namespace wagtailseam::serving
{
namespace
{

/// Number of recorded saves from which old ones are evicted.
constexpr std::size_t max_recorded_saves = 4096;
/// Number of parts with counted uses from which old ones are evicted.
constexpr std::size_t max_counted_parts = 4096;

std::int64_t to_ms(mono_time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               time.time_since_epoch())
        .count();
}

/// Weighted rendezvous hashing: each store receives a share of the parts that
/// is proportional to its weight.
double rendezvous_score(
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
        const auto found = std::find_if(
            stores_.begin(), stores_.end(),
            [&](const store_state& old)
            {
                return old.store.service == store.service &&
                       old.store.address == store.address;
            });
        store_state state;
        if (found != stores_.end())
        {
            state = std::move(*found);
        }
        state.store = store;
        next.push_back(std::move(state));
    }
    stores_ = std::move(next);
}

namespace
{

auto find_store(auto& stores, const service_id& service)
{
    return std::find_if(
        stores.begin(), stores.end(),
        [&](const auto& state) { return state.store.service == service; });
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
        state->clear_content();
        state->epoch.reset();
        state->next_cursor = 0;
        if (answer.after > 0 && !answer.gap)
        {
            return resync_action::poll_changes;
        }
    }
    else if (answer.after > state->next_cursor)
    {
        record_answer(*state, answer, now);
        return resync_action::poll_changes;
    }
    state->epoch = answer.epoch;
    record_answer(*state, answer, now);
    for (const auto& change : answer.changes)
    {
        if (change.number > state->next_cursor)
        {
            set_held_tokens(*state, change.key, change.tokens);
        }
    }
    state->next_cursor = std::max(state->next_cursor, answer.next_cursor);
    return answer.gap ? resync_action::read_content : resync_action::none;
}

void cache_view::record_answer(
    store_state& state, const cache_changes& answer, mono_time now)
{
    duration delay{};
    if (answer.clock_ms)
    {
        // An answer that was delayed in the network, or in this process's
        // socket buffer while the process was suspended, shows a smaller offset
        // than earlier ones. The greatest offset decays slowly, so that a
        // clock that was set back is eventually accepted.
        const auto offset = *answer.clock_ms - to_ms(now);
        const auto max_offset =
            std::max(offset, state.max_clock_offset_ms.value_or(offset));
        delay = std::chrono::milliseconds(max_offset - offset);
        state.max_clock_offset_ms = max_offset - (max_offset > offset ? 1 : 0);
        clock_offset_ms_ = state.max_clock_offset_ms;
    }
    state.last_answer = std::max(state.last_answer, now - delay);
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
    state->last_answer = now;
    state->clear_content();
    for (const auto& part : answer.complete)
    {
        set_held_tokens(*state, part.key, part.tokens);
    }
}

void cache_view::set_held_tokens(
    store_state& state, const part_key& part, token_count tokens)
{
    const auto found = state.held.find(part);
    if (found != state.held.end())
    {
        state.used -= found->second;
        state.held.erase(found);
    }
    if (tokens > token_count{})
    {
        state.used += tokens;
        state.held.emplace(part, tokens);
    }
}

void cache_view::mark_unreachable(const service_id& store)
{
    const auto state = find_store(stores_, store);
    if (state != stores_.end())
    {
        state->last_answer = mono_time{};
    }
}

std::uint64_t cache_view::poll_cursor(const service_id& store) const
{
    const auto state = find_store(stores_, store);
    return state == stores_.end() ? 0 : state->next_cursor;
}

bool cache_view::is_current(const store_state& state, mono_time now) const
{
    return state.epoch && now - state.last_answer <= options_.max_answer_age;
}

const cache_view::store_state* cache_view::find_holder(
    const part_key& part, token_count tokens,
    const data_centre_id& local_data_centre,
    const allowed_data_centres& allowed, mono_time now) const
{
    const store_state* best = nullptr;
    double best_rate = 0;
    for (const auto& state : stores_)
    {
        const auto held = state.held.find(part);
        if (held == state.held.end() || held->second < tokens ||
            !allows(allowed, state.store.data_centre) ||
            !is_current(state, now))
        {
            continue;
        }
        const double rate = effective_rate(state, local_data_centre);
        if (best == nullptr || rate > best_rate)
        {
            best = &state;
            best_rate = rate;
        }
    }
    return best;
}

double cache_view::effective_rate(
    const store_state& state, const data_centre_id& local_data_centre) const
{
    const double rate = state.store.link_rate.value();
    return state.store.data_centre == local_data_centre
               ? rate
               : rate / options_.remote_transfer_factor;
}

bool cache_view::is_fastest(
    const store_state& state, const allowed_data_centres& allowed) const
{
    return std::none_of(
        stores_.begin(), stores_.end(),
        [&](const store_state& other)
        {
            return allows(allowed, other.store.data_centre) &&
                   other.store.link_rate > state.store.link_rate;
        });
}

const cache_view::store_state* cache_view::home_store(
    const part_key& part, token_count tokens,
    const data_centre_id& local_data_centre,
    const allowed_data_centres& allowed, bool fastest_only, mono_time now) const
{
    const store_state* best = nullptr;
    double best_score = 0;
    for (const auto& state : stores_)
    {
        const auto& store = state.store;
        if (!is_current(state, now) || !allows(allowed, store.data_centre) ||
            state.used + tokens > store.capacity ||
            (fastest_only && !is_fastest(state, allowed)))
        {
            continue;
        }
        const double local_factor = store.data_centre == local_data_centre
                                        ? options_.local_store_weight_factor
                                        : 1.0;
        // All fetches share the links, so faster stores get more parts.
        const double score = rendezvous_score(
            part, store,
            static_cast<double>(store.capacity.value()) *
                store.link_rate.value() * local_factor);
        if (best == nullptr || score > best_score)
        {
            best = &state;
            best_score = score;
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
            { return now - entry.second.window_start > options_.hot_window; });
    }
    auto& uses = uses_[part];
    if (now - uses.window_start > options_.hot_window)
    {
        uses.hot = uses.count >= options_.hot_use_threshold;
        uses.window_start = now;
        uses.count = 0;
    }
    ++uses.count;
    uses.hot = uses.hot || uses.count >= options_.hot_use_threshold;
    return uses.hot;
}

std::optional<http::address> cache_view::choose_save_target(
    const part_key& part, token_count tokens,
    const data_centre_id& local_data_centre,
    const allowed_data_centres& allowed, const store_state* holder, bool hot,
    mono_time now)
{
    const bool well_placed =
        holder != nullptr && (!hot || is_fastest(*holder, allowed));
    const auto save = saves_.find(part);
    const bool save_pending =
        save != saves_.end() && now - save->second < options_.save_retry_delay;
    if (well_placed || save_pending)
    {
        return std::nullopt;
    }
    const auto* const target =
        home_store(part, tokens, local_data_centre, allowed, hot, now);
    if (target == nullptr || target == holder)
    {
        return std::nullopt;
    }
    record_save(part, now);
    return target->store.address;
}

void cache_view::record_save(const part_key& part, mono_time now)
{
    if (saves_.size() >= max_recorded_saves)
    {
        std::erase_if(
            saves_, [&](const auto& entry)
            { return now - entry.second > options_.save_retry_delay; });
    }
    saves_.insert_or_assign(part, now);
}

cache_plan cache_view::plan(
    const prompt_metadata& prompt, const cache_salt& salt,
    const data_centre_id& local_data_centre, duration latency_target,
    duration expected_wait, mono_time now, const allowed_data_centres& allowed)
{
    cache_plan result{.salt = salt};
    result.parts.resize(prompt.parts.size());
    bool prefix_available = true;
    bool has_fetches = false;
    // The throttle decides once per store for all parts of this prompt.
    std::map<http::address, bool> admitted;
    const auto may_fetch_from = [&](const http::address& store)
    {
        const auto found = admitted.find(store);
        return found != admitted.end()
                   ? found->second
                   : admitted.emplace(store, throttle_.admit_fetch(store, now))
                         .first->second;
    };
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
    {
        const auto& wanted_part = prompt.parts[i];
        const part_key part{salt, wanted_part.id};
        const auto* const holder = find_holder(
            part, wanted_part.tokens, local_data_centre, allowed, now);
        const bool hot = count_use(wanted_part.id, now);
        result.parts[i].save_to = choose_save_target(
            part, wanted_part.tokens, local_data_centre, allowed, holder, hot,
            now);
        prefix_available = prefix_available && holder != nullptr &&
                           may_fetch_from(holder->store.address);
        if (prefix_available && clock_offset_ms_)
        {
            result.parts[i].fetch_from = holder->store.address;
            has_fetches = true;
        }
        // Every engine has hot parts in its own cache.
        else if (!hot)
        {
            result.prefill_tokens += wanted_part.tokens;
        }
    }
    result.prefill_tokens +=
        prompt.parts.empty() ? token_count{} : prompt.parts.back().tokens;
    if (has_fetches)
    {
        const auto max_fetch_wait = static_cast<duration::rep>(
            static_cast<double>(latency_target.count()) *
            options_.max_fetch_share_of_target);
        result.fetch_deadline_ms =
            to_ms(
                now +
                std::min(
                    max_fetch_time, std::min(expected_wait, latency_target) +
                                        duration(max_fetch_wait))) +
            *clock_offset_ms_;
    }
    return result;
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

} // namespace wagtailseam::serving
