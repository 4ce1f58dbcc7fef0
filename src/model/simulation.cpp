// Runs one workload in virtual time: placing prompts and importing pieces.
#include "model/simulation.hpp"

#include "core/overloaded.hpp"
#include "routing/rendezvous.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace wagtailseam::model
{

namespace
{

using link::duration_to_seconds;
using link::seconds_to_duration;

upstream_id numbered(const char* kind, std::size_t number)
{
    return upstream_id{std::string(kind) + "-" + std::to_string(number)};
}

profile scaled(profile from, double load_scale)
{
    from.workload.conversations_per_second *= load_scale;
    return from;
}

} // namespace

simulation::simulation(const profile& from, const run_options& options)
    : from_(scaled(from, options.load_scale)), options_(options),
      arrivals_(draw_workload(from_, options.seed)),
      ttft_ms_(arrivals_.size(), -1.0), recomputed_(arrivals_.size(), 0)
{
    build_runners();
    build_entries();
}

simulation::~simulation() = default;

bool simulation::uses_stores() const noexcept
{
    return options_.how == policy::always_import ||
           options_.how == policy::oracle ||
           options_.how == policy::wagtailseam;
}

void simulation::build_runners()
{
    const auto& kept = from_.stores;
    const auto scaled = [&](byte_rate rate)
    { return byte_rate{rate.value() * options_.link_scale}; };
    for (std::size_t i = 0; i < kept.count; ++i)
    {
        stores_.push_back(std::make_unique<store>(
            store::options{
                .id = numbered("store", i),
                .memory_pieces = kept.memory_pieces,
                .disk_pieces = kept.disk_pieces,
                .memory_link = {.rate = scaled(kept.memory_rate)},
                .disk_link = {.rate = scaled(kept.disk_rate)}},
            events_));
    }
    for (std::size_t i = 0; i < from_.runners; ++i)
    {
        const auto id = numbered("runner", i);
        runner_numbers_.emplace(id, i);
        runner_versions_.push_back(version_);
        runners_.push_back(std::make_unique<runner>(
            id, from_, events_, options_.seed * 1000 + i,
            [this, i](const engine_event& happened)
            {
                if (const auto* out = std::get_if<first_token>(&happened))
                {
                    first_token_out(i, *out);
                }
                if (const auto* wait = std::get_if<import_awaited>(&happened))
                {
                    await_import(wait->id);
                }
            }));
    }
}

routing::router::options simulation::router_options() const
{
    routing::router::options made;
    made.piece = from_.piece;
    made.selection = options_.how == policy::round_robin
                         ? routing::selection_policy::round_robin
                     : options_.how == policy::least_load
                         ? routing::selection_policy::least_load
                         : routing::selection_policy::lowest_cost;
    made.imports = options_.how == policy::always_import
                       ? routing::import_policy::always
                   : uses_stores() ? routing::import_policy::if_cheaper
                                   : routing::import_policy::never;
    return made;
}

void simulation::build_entries()
{
    for (std::size_t i = 0; i < from_.entries; ++i)
    {
        entries_.push_back(std::make_unique<routing::router>(
            router_options(), random_source(options_.seed * 77 + i)));
        for (const auto& one : stores_)
        {
            apply(
                i, entries_[i]->handle(
                       routing::store_joined{one->id()}, events_.now()));
        }
    }
    announced_.resize(runners_.size());
    for (std::size_t i = 0; i < runners_.size(); ++i)
    {
        announce(i, true);
    }
}

void simulation::announce(std::size_t runner, bool joined)
{
    const auto& id = runners_[runner]->id();
    announced_[runner] = joined;
    for (auto& entry : entries_)
    {
        const routing::event news =
            joined ? routing::event(routing::upstream_joined{id, cell_id{0}})
                   : routing::event(routing::upstream_left{id});
        [[maybe_unused]] const auto none = entry->handle(news, events_.now());
    }
}

void simulation::post_arrivals()
{
    for (std::size_t i = 0; i < arrivals_.size(); ++i)
    {
        events_.at(
            arrivals_[i].when + from_.client_one_way,
            [this, i] { receive(i); });
    }
}

void simulation::post_load_reports()
{
    events_.after(
        from_.load_lag,
        [this]
        {
            for (auto& one : runners_)
            {
                if (one->lost())
                {
                    continue;
                }
                one->take_load_report();
                for (auto& entry : entries_)
                {
                    [[maybe_unused]] const auto none = entry->handle(
                        routing::load_reported{
                            one->id(), one->load_now(), 2 * from_.one_way},
                        events_.now());
                }
            }
            post_load_reports();
        });
}

void simulation::receive(std::size_t number)
{
    const request_id id{std::to_string(number)};
    auto& job = jobs_[id];
    job.arrival = number;
    offer(id);
}

void simulation::offer(const request_id& id)
{
    auto& job = jobs_.at(id);
    const auto& wanted = arrivals_[job.arrival];
    ++job.attempt;
    job.version = version_;
    job.chain = chain_of(wanted, from_, version_);
    if (options_.how == policy::oracle)
    {
        place_exactly(id);
        return;
    }
    apply(
        wanted.entry, entries_[wanted.entry]->handle(
                          routing::prompt_received{
                              {.id = id,
                               .chain = job.chain,
                               .tokens = wanted.tokens,
                               .priority = wanted.priority,
                               .weights = from_.objective}},
                          events_.now()));
}

void simulation::apply(
    std::size_t entry, const std::vector<routing::command>& all)
{
    for (const auto& next : all)
    {
        std::visit(
            overloaded{
                [&](const routing::probe_upstream& p) { probe(entry, p); },
                [&](const routing::probe_store& p) { probe(entry, p); },
                [&](const routing::wake_at& wake)
                {
                    events_.at(
                        wake.when,
                        [this, entry, id = wake.id]
                        {
                            apply(
                                entry, entries_[entry]->handle(
                                           routing::probe_deadline_passed{id},
                                           events_.now()));
                        });
                },
                [&](const routing::record_holder& record)
                { tell_home(record); },
                [&](const routing::dispatch_prompt& d)
                { dispatch(d.id, d.plan); },
                [&](const routing::refuse_prompt& refused)
                {
                    ++refused_;
                    jobs_.erase(refused.id);
                }},
            next);
    }
}

void simulation::probe(std::size_t entry, const routing::probe_upstream& wanted)
{
    const auto number = runner_numbers_.at(wanted.upstream);
    events_.after(
        from_.one_way,
        [this, entry, number, wanted]
        {
            const auto job = jobs_.find(wanted.id);
            if (job == jobs_.end() || runners_[number]->lost())
            {
                return;
            }
            const auto& asked = *runners_[number];
            const auto& chain = job->second.chain;
            routing::upstream_answered answer{
                .id = wanted.id,
                .upstream = wanted.upstream,
                .load = asked.load_now(),
                .age = from_.one_way,
                .cached_pieces = asked.believed_pieces(chain)};
            if (const auto other = asked.other_holder(chain))
            {
                answer.last_holder = runners_[*other]->id();
            }
            events_.after(
                from_.one_way,
                [this, entry, answer] {
                    apply(
                        entry, entries_[entry]->handle(answer, events_.now()));
                });
        });
}

void simulation::probe(std::size_t entry, const routing::probe_store& wanted)
{
    const auto number = store_index(wanted.store);
    events_.after(
        from_.one_way,
        [this, entry, number, wanted]
        {
            const auto job = jobs_.find(wanted.id);
            auto& asked = *stores_[number];
            if (job == jobs_.end() || asked.lost())
            {
                return;
            }
            const routing::store_answered answer{
                .id = wanted.id,
                .source = {
                    .store = wanted.store,
                    .tiers = asked.lookup(job->second.chain),
                    .memory = asked.memory_link().view(),
                    .disk = asked.disk_link().view()}};
            events_.after(
                from_.one_way,
                [this, entry, answer] {
                    apply(
                        entry, entries_[entry]->handle(answer, events_.now()));
                });
        });
}

void simulation::tell_home(const routing::record_holder& record)
{
    events_.after(
        from_.one_way,
        [this, record]
        {
            runners_[runner_numbers_.at(record.home)]->record_holder(
                record.chain, runner_numbers_.at(record.holder));
        });
}

routing::upstream_conditions simulation::exact_view(
    std::size_t number, const tracked& job, std::size_t priority) const
{
    const auto& engine = runners_[number]->exact();
    const auto queued = engine.queued();
    std::uint64_t ahead = 0;
    for (std::size_t level = 0; level <= priority; ++level)
    {
        ahead += queued[level].value();
    }
    const auto chunk = static_cast<double>(from_.engine.chunk.value());
    const auto rate = chunk / (chunk / from_.engine.prefill_rate.value() +
                               duration_to_seconds(from_.engine.step_base));
    return {
        .upstream = runners_[number]->id(),
        .queue_wait = seconds_to_duration(static_cast<double>(ahead) / rate),
        .prefill_rate = token_rate{rate},
        .cached_pieces = engine.cache().match(job.chain)};
}

std::vector<routing::import_source> simulation::exact_sources(
    const tracked& job)
{
    constexpr auto urgent = link::transfer_class::first_token;
    std::vector<routing::import_source> sources;
    for (auto& one : stores_)
    {
        if (!one->lost())
        {
            sources.push_back(
                {.store = one->id(),
                 .tiers = one->lookup(job.chain),
                 .memory =
                     {one->memory_link().exact_rate(),
                      one->memory_link().exact_backlog(urgent)},
                 .disk = {
                     one->disk_link().exact_rate(),
                     one->disk_link().exact_backlog(urgent)}});
        }
    }
    return sources;
}

void simulation::place_exactly(const request_id& id)
{
    const auto& job = jobs_.at(id);
    const auto& wanted = arrivals_[job.arrival];
    const auto sources = exact_sources(job);
    const routing::prompt_size shape{
        .tokens = wanted.tokens,
        .pieces = job.chain.size(),
        .piece = from_.piece};
    std::optional<routing::placement_plan> best;
    for (std::size_t i = 0; i < runners_.size(); ++i)
    {
        if (!announced_[i] || runners_[i]->lost())
        {
            continue;
        }
        auto next = routing::lowest_cost_plan(
            shape, exact_view(i, job, wanted.priority), sources,
            from_.objective, routing::import_policy::if_cheaper);
        if (!best || next.cost < best->cost)
        {
            best = std::move(next);
        }
    }
    if (!best)
    {
        ++refused_;
        jobs_.erase(id);
        return;
    }
    dispatch(id, *best);
}

void simulation::dispatch(
    const request_id& id, const routing::placement_plan& plan)
{
    auto& job = jobs_.at(id);
    job.runner = runner_numbers_.at(plan.upstream);
    job.placed = true;
    events_.after(
        from_.one_way,
        [this, id, plan, attempt = job.attempt] { begin(id, plan, attempt); });
}

void simulation::begin(
    const request_id& id, const routing::placement_plan& plan,
    std::uint32_t attempt)
{
    auto& job = jobs_.at(id);
    auto& chosen = *runners_[job.runner];
    if (job.attempt != attempt)
    {
        return;
    }
    if (chosen.lost() || runner_versions_[job.runner] != job.version)
    {
        retry({id});
        return;
    }
    const auto& wanted = arrivals_[job.arrival];
    const auto cached = options_.how == policy::oracle
                            ? chosen.exact().cache().match(job.chain)
                            : chosen.believed_pieces(job.chain);
    const auto end = plan.cached_pieces + plan.imported_pieces;
    const bool imports = plan.imported_pieces > 0 && cached < end;
    job.import = {};
    job.import.requesting = imports;
    chosen.submit(
        {.id = id,
         .chain = job.chain,
         .tokens = wanted.tokens,
         .output = wanted.output,
         .priority = wanted.priority,
         .import_pending = imports},
        plan.computed_tokens);
    if (imports)
    {
        begin_import(id, plan, cached);
    }
}

void simulation::begin_import(
    const request_id& id, const routing::placement_plan& plan,
    std::size_t cached)
{
    auto& job = jobs_.at(id);
    ++imports_;
    job.import.store = store_index(*plan.store);
    job.import.end = plan.cached_pieces + plan.imported_pieces;
    auto& from = *stores_[job.import.store];
    from.touch(job.chain);
    std::optional<mono_time> worth_until;
    if (options_.how != policy::always_import)
    {
        const auto saved = duration_to_seconds(
            plan.time_to_first_token_without_import - plan.queue_wait -
            plan.prefill_time);
        const auto extra = routing::extra_prefill_weight(from_.objective);
        worth_until = events_.now() + plan.time_to_first_token_without_import +
                      seconds_to_duration(saved * extra);
    }
    const auto end = job.import.end;
    for (auto piece = cached; piece < end && piece < job.import.end; ++piece)
    {
        if (!from.contains(job.chain[piece]))
        {
            job.import.end = piece;
            break;
        }
        request_piece(id, piece, worth_until);
    }
    job.import.requesting = false;
    settle_import(id, job);
}

void simulation::request_piece(
    const request_id& id, std::size_t piece,
    std::optional<mono_time> worth_until)
{
    auto& job = jobs_.at(id);
    auto& from = *stores_[job.import.store];
    auto& line = from.link_of(job.chain[piece]);
    const auto expected =
        events_.now() + line.scheduler().estimated_transfer_time(
                            link::transfer_class::first_token,
                            from_.piece.bytes, events_.now());
    job.import.expected = std::max(job.import.expected, expected);
    job.import.rate = line.scheduler().rate().value();
    job.import.open[piece] = {&line, link::transfer_id{0}};
    const auto transfer = line.request(
        job.chain[piece], runners_[job.runner]->id(),
        link::transfer_class::first_token, from_.piece.bytes, worth_until,
        [this, id, piece, attempt = job.attempt](result_code code)
        { piece_done(id, attempt, piece, code); });
    if (const auto open = job.import.open.find(piece);
        open != job.import.open.end())
    {
        open->second.second = transfer;
    }
}

void simulation::piece_done(
    const request_id& id, std::uint32_t attempt, std::size_t piece,
    result_code code)
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end() || known->second.attempt != attempt)
    {
        return;
    }
    auto& job = known->second;
    job.import.open.erase(piece);
    const bool stored =
        code == result_code::ok && piece < job.import.end &&
        runners_[job.runner]->import_piece(id, job.chain[piece]);
    if (stored)
    {
        stores_[job.import.store]->insert(job.chain[piece]);
    }
    else if (piece < job.import.end)
    {
        ++imports_abandoned_;
        give_up_from(job, piece);
    }
    settle_import(id, job);
}

void simulation::give_up_from(tracked& job, std::size_t piece)
{
    job.import.end = std::min(job.import.end, piece);
    while (!job.import.open.empty())
    {
        const auto last = std::prev(job.import.open.end());
        if (last->first < piece)
        {
            return;
        }
        const auto [line, transfer] = last->second;
        job.import.open.erase(last);
        line->cancel(transfer);
    }
}

void simulation::settle_import(const request_id& id, tracked& job)
{
    if (!job.import.requesting && job.import.open.empty())
    {
        runners_[job.runner]->import_settled(id);
    }
}

void simulation::await_import(const request_id& id)
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end() || options_.how == policy::always_import)
    {
        return;
    }
    auto& job = known->second;
    if (job.import.open.empty() || job.import.requesting)
    {
        return;
    }
    const auto& [first, transfer] = *job.import.open.begin();
    const auto pieces = static_cast<double>(job.import.open.size());
    const auto rate = transfer.first->scheduler().rate().value();
    const auto planned =
        std::max(0.0, duration_to_seconds(job.import.expected - events_.now()));
    const auto least =
        pieces * static_cast<double>(from_.piece.bytes.value()) / rate;
    const auto left = std::max(planned * job.import.rate / rate, least);
    const auto recompute =
        pieces * static_cast<double>(from_.piece.tokens.value()) /
        runners_[job.runner]->load_now().prefill_rate.value();
    const auto weight = 1.0 + routing::extra_prefill_weight(from_.objective);
    if (left <= recompute * weight)
    {
        return;
    }
    ++imports_abandoned_;
    events_.after(
        duration::zero(),
        [this, id, first = first, attempt = job.attempt]
        {
            const auto still = jobs_.find(id);
            if (still != jobs_.end() && still->second.attempt == attempt)
            {
                give_up_from(still->second, first);
                settle_import(id, still->second);
            }
        });
}

void simulation::first_token_out(std::size_t number, const first_token& out)
{
    const auto known = jobs_.find(out.id);
    if (known == jobs_.end())
    {
        return;
    }
    auto& job = known->second;
    const auto& wanted = arrivals_[job.arrival];
    const auto fresh = wanted.tokens.value() - wanted.known.value();
    const auto computed = out.computed.value();
    recomputed_[job.arrival] += computed > fresh ? computed - fresh : 0;
    if (ttft_ms_[job.arrival] < 0.0)
    {
        const auto seen = events_.now() + from_.one_way + from_.client_one_way;
        ttft_ms_[job.arrival] =
            duration_to_seconds(seen - wanted.when) * 1000.0;
    }
    if (options_.how != policy::oracle)
    {
        events_.after(
            from_.one_way,
            [this, id = out.id, entry = wanted.entry]
            {
                [[maybe_unused]] const auto none = entries_[entry]->handle(
                    routing::prefill_ended{id}, events_.now());
            });
    }
    if (uses_stores())
    {
        export_pieces(number, job);
    }
    jobs_.erase(known);
}

std::size_t simulation::store_index(const upstream_id& id) const
{
    const auto place = std::find_if(
        stores_.begin(), stores_.end(),
        [&](const auto& one) { return one->id() == id; });
    BOOST_ASSERT(place != stores_.end());
    return static_cast<std::size_t>(place - stores_.begin());
}

std::size_t simulation::home_store(const tracked& job) const
{
    std::vector<upstream_id> alive;
    for (const auto& one : stores_)
    {
        if (!one->lost())
        {
            alive.push_back(one->id());
        }
    }
    constexpr std::size_t home_piece = 4;
    const auto at = std::min(home_piece, job.chain.size()) - 1;
    const auto order = routing::rendezvous_order(job.chain[at], alive, 1);
    return order.empty() ? stores_.size() : store_index(order.front());
}

void simulation::export_pieces(std::size_t number, const tracked& job)
{
    if (job.chain.empty())
    {
        return;
    }
    const auto home = home_store(job);
    if (home == stores_.size())
    {
        return;
    }
    for (const auto& piece : job.chain)
    {
        if (!stores_[home]->contains(piece))
        {
            export_piece(number, home, piece);
        }
    }
}

void simulation::export_piece(
    std::size_t number, std::size_t home, const digest& piece)
{
    auto& kept = *stores_[home];
    kept.memory_link().request(
        piece, kept.id(), link::transfer_class::export_copy, from_.piece.bytes,
        std::nullopt,
        [&kept, piece](result_code code)
        {
            if (code == result_code::ok)
            {
                kept.insert(piece);
            }
        },
        [this, number, piece]
        {
            return !runners_[number]->lost() &&
                   runners_[number]->exact().cache().contains(piece);
        });
}

} // namespace wagtailseam::model
