// Beliefs about stores, and the plan of one prompt.
#include "serving/cache_view.hpp"

#include "routing/rendezvous.hpp"

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

std::int64_t to_ms(mono_time at)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               at.time_since_epoch())
        .count();
}

/// Weighted rendezvous: a store's share of the parts is that of its capacity.
double home_weight(const kept_part& part, const cache_store& store)
{
    const auto hash = routing::rendezvous_weight(
        routing::stable_hash(part.salt.value() + '/' + part.part.value()),
        routing::stable_hash(store.service.value()));
    constexpr double two_to_64 = 18446744073709551616.0;
    const double uniform = (static_cast<double>(hash) + 0.5) / two_to_64;
    return -static_cast<double>(store.capacity.value()) / std::log(uniform);
}

} // namespace

cache_view::cache_view(const cache_view_options& options) : options_(options)
{
}

void cache_view::use(const std::vector<cache_store>& stores)
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

bool cache_view::take(
    const service_id& store, const cache_changes& answer, mono_time now)
{
    const auto state = find_store(stores_, store);
    if (state == stores_.end())
    {
        return false;
    }
    const bool continues = state->epoch == answer.epoch && !answer.gap;
    if (!continues)
    {
        state->held.clear();
    }
    state->epoch = answer.epoch;
    state->next = answer.next;
    state->heard = now;
    for (const auto& change : answer.changes)
    {
        if (change.tokens > token_count{})
        {
            state->held.insert_or_assign(change.part, change.tokens);
        }
        else
        {
            state->held.erase(change.part);
        }
    }
    if (answer.clock_ms)
    {
        // The answer left the store between the question and now; taking its
        // arrival makes the limit of fetches earlier, never later.
        clock_offset_ms_ = *answer.clock_ms - to_ms(now);
    }
    return answer.gap;
}

void cache_view::take(
    const service_id& store, const cache_content& answer, mono_time now)
{
    const auto state = find_store(stores_, store);
    if (state == stores_.end())
    {
        return;
    }
    state->epoch = answer.epoch;
    state->next = answer.next;
    state->heard = now;
    state->held.clear();
    for (const auto& part : answer.held)
    {
        state->held.insert_or_assign(part.part, part.tokens);
    }
}

void cache_view::lost(const service_id& store)
{
    const auto state = find_store(stores_, store);
    if (state != stores_.end())
    {
        state->epoch.reset();
        state->next = 0;
        state->held.clear();
    }
}

std::uint64_t cache_view::next_change(const service_id& store) const
{
    const auto state = find_store(stores_, store);
    return state == stores_.end() ? 0 : state->next;
}

bool cache_view::trusted(const store_state& of, mono_time now) const
{
    return of.epoch && now - of.heard <= options_.trust;
}

const cache_view::store_state* cache_view::holder(
    const kept_part& part, token_count tokens, const data_centre_id& near,
    mono_time now) const
{
    const store_state* best = nullptr;
    bool best_near = false;
    for (const auto& state : stores_)
    {
        const auto held = state.held.find(part);
        if (held == state.held.end() || held->second < tokens ||
            !trusted(state, now))
        {
            continue;
        }
        const bool is_near = state.store.data_centre == near;
        if (best == nullptr || (is_near && !best_near) ||
            (is_near == best_near &&
             state.store.link_rate > best->store.link_rate))
        {
            best = &state;
            best_near = is_near;
        }
    }
    return best;
}

const cache_view::store_state* cache_view::home(
    const kept_part& part, mono_time now) const
{
    const store_state* best = nullptr;
    double best_weight = 0;
    for (const auto& state : stores_)
    {
        const double weight = home_weight(part, state.store);
        if (trusted(state, now) && (best == nullptr || weight > best_weight))
        {
            best = &state;
            best_weight = weight;
        }
    }
    return best;
}

void cache_view::remember_save(const kept_part& part, mono_time now)
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
    const prompt& wanted, const cache_salt& salt, const data_centre_id& near,
    duration latency_target, duration expected_wait, mono_time now)
{
    cache_plan made{.salt = salt};
    made.parts.resize(wanted.parts.size());
    bool contiguous = true;
    bool fetches = false;
    for (std::size_t at = 0; at + 1 < wanted.parts.size(); ++at)
    {
        const kept_part part{salt, wanted.parts[at].id};
        const auto* const kept_at =
            holder(part, wanted.parts[at].tokens, near, now);
        if (kept_at != nullptr)
        {
            if (contiguous && clock_offset_ms_)
            {
                made.parts[at].fetch_from = kept_at->store.address;
                fetches = true;
            }
            continue;
        }
        contiguous = false;
        const auto saved = saved_.find(part);
        if (saved != saved_.end() && now - saved->second < options_.save_pause)
        {
            continue;
        }
        if (const auto* const keeper = home(part, now))
        {
            made.parts[at].save_to = keeper->store.address;
            remember_save(part, now);
        }
    }
    if (fetches)
    {
        const auto limit = static_cast<duration::rep>(
            static_cast<double>(latency_target.count()) *
            options_.fetch_part_of_target);
        made.fetch_until_ms =
            to_ms(now + std::min(expected_wait, latency_target) +
                  duration(limit)) +
            *clock_offset_ms_;
    }
    return made;
}

std::size_t cache_view::parts_known() const noexcept
{
    std::size_t sum = 0;
    for (const auto& state : stores_)
    {
        sum += state.held.size();
    }
    return sum;
}

cache_salt salt_of(
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

std::optional<model_id> model_of(const cache_salt& salt)
{
    const auto fields = salt_fields(salt);
    return fields.size() < 2 ? std::nullopt
                             : std::optional(model_id{std::string(fields[1])});
}

std::optional<weight_version> version_of(const cache_salt& salt)
{
    const auto fields = salt_fields(salt);
    if (fields.size() < 2)
    {
        return std::nullopt;
    }
    std::uint64_t version = 0;
    const auto* const end = fields[0].data() + fields[0].size();
    const auto [stop, failed] =
        std::from_chars(fields[0].data(), end, version);
    if (failed != std::errc{} || stop != end)
    {
        return std::nullopt;
    }
    return weight_version{version};
}

} // namespace wagtailseam::serving
