// A model of one engine with continuous batching.
#include "model/engine.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace wagtailseam::model
{

namespace
{

void report_evicted(std::vector<digest> evicted, std::vector<engine_event>& out)
{
    if (!evicted.empty())
    {
        out.emplace_back(pieces_evicted{std::move(evicted)});
    }
}

} // namespace

modelled_engine::modelled_engine(const options& settings)
    : settings_(settings), cache_(settings.cache_pieces)
{
    BOOST_ASSERT(settings.prefill_rate.value() > 0.0);
    BOOST_ASSERT(settings.chunk.value() > 0);
}

void modelled_engine::insert_sorted(
    job_list& jobs, job_list& from, job_list::iterator one)
{
    const auto place = std::find_if(
        jobs.begin(), jobs.end(),
        [&](const active_job& other)
        {
            return std::pair(other.wanted.priority, other.number) >
                   std::pair(one->wanted.priority, one->number);
        });
    jobs.splice(place, from, one);
}

void modelled_engine::submit(job wanted)
{
    BOOST_ASSERT(
        wanted.chain.size() * settings_.piece.value() <= wanted.tokens.value());
    job_list arrived;
    arrived.push_back({.wanted = std::move(wanted), .number = next_number_++});
    insert_sorted(waiting_, arrived, arrived.begin());
}

void modelled_engine::import_settled(const request_id& id)
{
    for (auto& one : waiting_)
    {
        if (one.wanted.id == id)
        {
            one.wanted.import_pending = false;
        }
    }
}

bool modelled_engine::import_piece(
    const request_id& id, const digest& piece, std::vector<engine_event>& out)
{
    const auto one = std::find_if(
        waiting_.begin(), waiting_.end(),
        [&](const active_job& other) { return other.wanted.id == id; });
    if (one == waiting_.end() || !prefetch_piece(piece, out))
    {
        return false;
    }
    cache_.pin(piece);
    one->pinned.push_back(piece);
    return true;
}

bool modelled_engine::prefetch_piece(
    const digest& piece, std::vector<engine_event>& out)
{
    std::vector<digest> evicted;
    const bool stored = cache_.insert(piece, evicted);
    report_evicted(std::move(evicted), out);
    if (stored)
    {
        out.emplace_back(pieces_cached{{piece}});
    }
    return stored;
}

std::uint64_t modelled_engine::tokens_to_compute(const active_job& one) const
{
    const auto held = cache_.match(one.wanted.chain) * settings_.piece.value();
    // The last token is always computed: its state gives the first output.
    return std::max<std::uint64_t>(1, one.wanted.tokens.value() - held);
}

bool modelled_engine::start(active_job& one, std::vector<engine_event>& out)
{
    const auto held = cache_.match(one.wanted.chain);
    const auto total = (one.wanted.tokens.value() + one.wanted.output.value()) /
                           settings_.piece.value() +
                       1;
    std::vector<digest> pinned(
        one.wanted.chain.begin(),
        one.wanted.chain.begin() + static_cast<std::ptrdiff_t>(held));
    for (const auto& piece : pinned)
    {
        cache_.pin(piece);
    }
    std::vector<digest> evicted;
    const bool room = cache_.reserve(total - held, evicted);
    report_evicted(std::move(evicted), out);
    if (!room)
    {
        for (const auto& piece : pinned)
        {
            cache_.unpin(piece);
        }
        return false;
    }
    cache_.touch(pinned);
    one.reserved = total - held;
    one.prefill_left = tokens_to_compute(one);
    one.computed = one.prefill_left;
    one.pinned.insert(one.pinned.end(), pinned.begin(), pinned.end());
    return true;
}

void modelled_engine::admit(
    std::uint64_t budget, std::vector<engine_event>& out)
{
    std::uint64_t claimed = 0;
    for (const auto& one : running_)
    {
        claimed += one.prefill_left;
    }
    for (auto next = waiting_.begin(); next != waiting_.end();)
    {
        const auto one = next++;
        const bool urgent =
            !running_.empty() &&
            one->wanted.priority < running_.back().wanted.priority;
        if (running_.size() >= settings_.running_limit ||
            (claimed >= budget && !urgent))
        {
            return;
        }
        if (one->wanted.import_pending)
        {
            out.emplace_back(import_awaited{one->wanted.id});
            continue;
        }
        if (!start(*one, out))
        {
            return;
        }
        claimed += one->prefill_left;
        insert_sorted(running_, waiting_, one);
    }
}

std::optional<duration> modelled_engine::begin_step(
    std::vector<engine_event>& out)
{
    auto budget = settings_.chunk.value();
    admit(budget, out);
    std::uint64_t decoding = 0;
    std::uint64_t prefill = 0;
    for (auto& one : running_)
    {
        one.decodes_in_step = one.prefill_left == 0;
        one.in_step = std::min(budget, one.prefill_left);
        budget -= one.in_step;
        prefill += one.in_step;
        decoding += one.decodes_in_step ? 1U : 0U;
    }
    if (prefill == 0 && decoding == 0)
    {
        return std::nullopt;
    }
    const auto compute =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            static_cast<double>(prefill) / settings_.prefill_rate.value()));
    const auto length =
        settings_.step_base + compute +
        settings_.decode_cost * static_cast<duration::rep>(decoding);
    if (prefill > 0)
    {
        prefilled_tokens_ += static_cast<double>(prefill);
        prefill_time_ += length;
    }
    return length;
}

void modelled_engine::finish_prefill(
    active_job& one, std::vector<engine_event>& out)
{
    std::vector<digest> fresh;
    std::vector<digest> evicted;
    for (const auto& piece : one.wanted.chain)
    {
        if (one.reserved > 0 && !cache_.contains(piece))
        {
            cache_.release(1);
            --one.reserved;
            cache_.insert(piece, evicted);
            cache_.pin(piece);
            one.pinned.push_back(piece);
            fresh.push_back(piece);
        }
    }
    report_evicted(std::move(evicted), out);
    if (!fresh.empty())
    {
        out.emplace_back(pieces_cached{std::move(fresh)});
    }
    out.emplace_back(first_token{one.wanted.id, token_count{one.computed}});
    one.output_left = one.wanted.output.value();
}

void modelled_engine::finish(active_job& one, std::vector<engine_event>& out)
{
    cache_.release(one.reserved);
    cache_.touch(one.wanted.chain);
    for (const auto& piece : one.pinned)
    {
        cache_.unpin(piece);
    }
    out.emplace_back(job_finished{one.wanted.id});
}

void modelled_engine::end_step(std::vector<engine_event>& out)
{
    for (auto next = running_.begin(); next != running_.end();)
    {
        const auto one = next++;
        if (one->in_step > 0)
        {
            one->prefill_left -= one->in_step;
            one->in_step = 0;
            if (one->prefill_left == 0)
            {
                finish_prefill(*one, out);
            }
            continue;
        }
        if (!one->decodes_in_step)
        {
            continue;
        }
        one->output_left -= one->output_left > 0 ? 1U : 0U;
        if (one->output_left == 0)
        {
            finish(*one, out);
            running_.erase(one);
        }
    }
}

void modelled_engine::clear_cache()
{
    BOOST_ASSERT(running_.empty());
    cache_.clear();
}

std::vector<request_id> modelled_engine::abort_all()
{
    std::vector<request_id> ids;
    for (auto* jobs : {&running_, &waiting_})
    {
        for (const auto& one : *jobs)
        {
            ids.push_back(one.wanted.id);
        }
        jobs->clear();
    }
    cache_.clear();
    return ids;
}

bool modelled_engine::idle() const noexcept
{
    return running_.empty() && waiting_.empty();
}

std::array<token_count, routing::priority_levels> modelled_engine::queued()
    const
{
    std::array<token_count, routing::priority_levels> tokens{};
    for (const auto& one : running_)
    {
        tokens[one.wanted.priority] += token_count{one.prefill_left};
    }
    for (const auto& one : waiting_)
    {
        tokens[one.wanted.priority] += token_count{tokens_to_compute(one)};
    }
    return tokens;
}

} // namespace wagtailseam::model
