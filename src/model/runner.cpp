// A model of one runner and its sidecar.
#include "model/runner.hpp"

#include "core/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace wagtailseam::model
{

runner::runner(
    upstream_id id, const profile& from, event_queue& events,
    std::uint64_t seed, observer told)
    : id_(std::move(id)), from_(from), events_(events), random_(seed),
      told_(std::move(told)), engine_(from.engine),
      event_loss_(from.event_loss),
      prefill_rate_({.initial = 4000.0, .half_life = std::chrono::seconds(10)})
{
    reported_.prefill_rate = token_rate{prefill_rate_.value()};
}

void runner::submit(const job& wanted, token_count planned)
{
    since_[wanted.priority] += planned.value();
    engine_.submit(wanted);
    kick();
}

bool runner::import_piece(const request_id& id, const digest& piece)
{
    std::vector<engine_event> happened;
    const bool stored = !lost_ && engine_.import_piece(id, piece, happened);
    if (stored)
    {
        inventory_.insert(piece);
    }
    deliver(std::move(happened));
    return stored;
}

bool runner::prefetch_piece(const digest& piece)
{
    std::vector<engine_event> happened;
    const bool stored = !lost_ && engine_.prefetch_piece(piece, happened);
    if (stored)
    {
        inventory_.insert(piece);
    }
    deliver(std::move(happened));
    return stored;
}

void runner::import_settled(const request_id& id)
{
    engine_.import_settled(id);
    kick();
}

void runner::kick()
{
    if (stepping_ || lost_)
    {
        return;
    }
    if (reloading_ && engine_.idle())
    {
        begin_reload();
        return;
    }
    std::vector<engine_event> happened;
    const auto length = engine_.begin_step(happened);
    if (length)
    {
        stepping_ = true;
        events_.after(*length, [this] { end_step(); });
    }
    deliver(std::move(happened));
}

void runner::end_step()
{
    stepping_ = false;
    if (lost_)
    {
        return;
    }
    std::vector<engine_event> happened;
    engine_.end_step(happened);
    deliver(std::move(happened));
    kick();
}

void runner::deliver(std::vector<engine_event> happened)
{
    for (const auto& one : happened)
    {
        const bool of_cache = std::holds_alternative<pieces_cached>(one) ||
                              std::holds_alternative<pieces_evicted>(one);
        if (of_cache)
        {
            send_cache_event(one);
        }
        else
        {
            told_(one);
        }
    }
}

void runner::send_cache_event(const engine_event& happened)
{
    if (random_.unit() < event_loss_)
    {
        if (!resync_due_)
        {
            resync_due_ = true;
            events_.after(
                from_.event_lag + from_.resync, [this] { resynchronise(); });
        }
        return;
    }
    events_.after(
        from_.event_lag,
        [this, happened]
        {
            if (const auto* cached = std::get_if<pieces_cached>(&happened))
            {
                inventory_.insert(cached->pieces.begin(), cached->pieces.end());
            }
            if (const auto* gone = std::get_if<pieces_evicted>(&happened))
            {
                for (const auto& piece : gone->pieces)
                {
                    inventory_.erase(piece);
                }
            }
        });
}

void runner::resynchronise()
{
    resync_due_ = false;
    const auto pieces = engine_.cache().pieces();
    inventory_ = {pieces.begin(), pieces.end()};
}

void runner::take_load_report()
{
    reported_.queued = engine_.queued();
    reported_at_ = events_.now();
    since_ = {};
    prefill_rate_.record(
        engine_.prefilled_tokens() - seen_tokens_,
        engine_.prefill_time() - seen_time_, events_.now());
    seen_tokens_ = engine_.prefilled_tokens();
    seen_time_ = engine_.prefill_time();
    reported_.prefill_rate = token_rate{prefill_rate_.value()};
}

routing::load_report runner::load_now() const
{
    auto now = reported_;
    auto drained = static_cast<std::uint64_t>(
        link::duration_to_seconds(events_.now() - reported_at_) *
        prefill_rate_.value());
    for (std::size_t level = 0; level < routing::priority_levels; ++level)
    {
        const auto queued = now.queued[level].value();
        const auto gone = std::min(queued, drained);
        drained -= gone;
        now.queued[level] = token_count{queued - gone + since_[level]};
    }
    return now;
}

std::size_t runner::believed_pieces(std::span<const digest> chain) const
{
    std::size_t held = 0;
    while (held < chain.size() && inventory_.contains(chain[held]))
    {
        ++held;
    }
    return held;
}

void runner::record_holder(std::span<const digest> chain, std::size_t holder)
{
    directory_.put(
        chain, static_cast<routing::upstream_slot>(holder), events_.now());
}

std::optional<std::size_t> runner::other_holder(
    std::span<const digest> chain) const
{
    const auto known = directory_.find(chain);
    if (!known || known->pieces <= believed_pieces(chain))
    {
        return std::nullopt;
    }
    return known->slot;
}

std::vector<request_id> runner::lose()
{
    lost_ = true;
    inventory_.clear();
    return engine_.abort_all();
}

void runner::reload(duration load_time, std::function<void()> loaded)
{
    load_time_ = load_time;
    reloading_ = std::move(loaded);
    kick();
}

void runner::begin_reload()
{
    auto loaded = std::exchange(reloading_, nullptr);
    stepping_ = true;
    events_.after(
        load_time_,
        [this, loaded = std::move(loaded)]
        {
            stepping_ = false;
            engine_.clear_cache();
            inventory_.clear();
            loaded();
            kick();
        });
}

} // namespace wagtailseam::model
