// The shells of entries and sidecars in virtual time, and the oracle.
#include "filing/test/history_world.hpp"

#include "core/overloaded.hpp"

#include <algorithm>

namespace wagtailseam::filing::test
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration dispatch_validity = seconds(3);
constexpr duration table_timeout = milliseconds(400);
constexpr duration probe_age = milliseconds(500);
constexpr duration history_end = seconds(60);
constexpr duration last_calls_end = seconds(400);

constexpr std::array<std::string_view, 9> kind_names{
    "call",           "crash_entry", "crash_sidecar",
    "crash_upstream", "pause_entry", "pause_sidecar",
    "drain_sidecar",  "table_fault", "network_fault"};

digest body_digest(std::uint8_t body)
{
    return sha256("body " + std::to_string(body));
}

} // namespace

std::ostream& operator<<(std::ostream& out, const action& a)
{
    return out << kind_names.at(static_cast<std::size_t>(a.kind)) << "(at "
               << a.at_ms << " ms, for " << a.length_ms << " ms, who "
               << int{a.who} << ", key " << int{a.key} << ", flavour "
               << int{a.flavour} << ")";
}

std::ostream& operator<<(std::ostream& out, const history& h)
{
    out << "seed " << h.seed << ":";
    for (const action& a : h.actions)
    {
        out << "\n  " << a;
    }
    return out;
}

history_world::history_world(const history& played)
    : history_(played), random_(played.seed)
{
    constexpr std::uint64_t small_share = 8;
    small_memory_ = random_.below(small_share) == 0;
    for (std::size_t e = 0; e < entry_count; ++e)
    {
        start_entry(e);
    }
    for (std::size_t s = 0; s < sidecar_count; ++s)
    {
        start_sidecar(s);
    }
}

// Time and scheduling.

void history_world::after(duration delay, step what)
{
    queue_.push({now_ + delay, ++sequence_, std::move(what)});
}

template <class Process>
void history_world::at_process(Process& process, duration delay, step what)
{
    after(
        delay,
        [this, &process, life = process.life, what = std::move(what)]
        {
            if (process.life != life)
            {
                return;
            }
            if (now_ < process.paused_until)
            {
                at_process(process, process.paused_until - now_, what);
                return;
            }
            what();
        });
}

void history_world::drain_queue(mono_time until)
{
    while (!queue_.empty() && queue_.top().at <= until)
    {
        const queued next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.what();
    }
    now_ = until;
}

bool history_world::chance(unsigned percent)
{
    constexpr std::uint64_t hundred = 100;
    return random_.below(hundred) < percent;
}

duration history_world::some_delay(unsigned max_ms)
{
    return milliseconds(random_.below(max_ms) + 1);
}

duration history_world::network_delay()
{
    if (network_fault_ == network_fault::late && chance(60))
    {
        return some_delay(8000);
    }
    if (network_fault_ == network_fault::crossed)
    {
        return some_delay(300);
    }
    return some_delay(3);
}

bool history_world::lost(network_fault kind)
{
    return network_fault_ == kind && chance(60);
}

attempt::sidecar_time history_world::clock_of(const sidecar& s) const
{
    return attempt::sidecar_time(now_.time_since_epoch() + s.clock_offset);
}

// The steps of a history.

std::vector<std::string> history_world::play()
{
    for (const action& a : history_.actions)
    {
        after(milliseconds(a.at_ms), [this, a] { schedule(a); });
    }
    drain_queue(mono_time(history_end));
    table_fault_ = table_fault::none;
    network_fault_ = network_fault::none;
    healed_ = true;
    for (std::size_t key = 0; key < key_count; ++key)
    {
        const auto ran = runs_.find(key);
        const std::uint8_t body =
            ran == runs_.end() ? std::uint8_t{0}
                               : requests_.at(ran->second[0].request).second;
        begin_call(key % entry_count, key, body, true);
    }
    drain_queue(mono_time(last_calls_end));
    for (const entry& e : entries_)
    {
        for (const auto& [id, asked] : e.calls)
        {
            if (!asked.core->answered())
            {
                broken_.push_back("call without an answer: " + asked.request);
            }
        }
    }
    return broken_;
}

void history_world::schedule(const action& a)
{
    const std::size_t e = a.who % entry_count;
    const std::size_t s = a.who % sidecar_count;
    const duration length = milliseconds(a.length_ms);
    switch (a.kind)
    {
    case action_kind::call:
        begin_call(e, a.key % key_count, a.flavour == 0 ? 1 : 0, false);
        return;
    case action_kind::crash_entry:
        start_entry(e);
        return;
    case action_kind::crash_sidecar:
        sidecar_restarted_ = true;
        start_sidecar(s);
        return;
    case action_kind::crash_upstream:
        crash_upstream(s);
        return;
    case action_kind::pause_entry:
        entries_.at(e).paused_until = now_ + length;
        return;
    case action_kind::pause_sidecar:
        sidecars_.at(s).paused_until = now_ + length;
        return;
    case action_kind::drain_sidecar:
        sidecar_drained_ = true;
        (void)sidecars_.at(s).gate->handle(
            attempt::drain_started{}, clock_of(sidecars_.at(s)));
        return;
    case action_kind::table_fault:
        table_fault_ = static_cast<table_fault>(a.flavour % 8);
        after(length, [this] { table_fault_ = table_fault::none; });
        return;
    case action_kind::network_fault:
        network_fault_ = static_cast<network_fault>(a.flavour % 6);
        after(length, [this] { network_fault_ = network_fault::none; });
        return;
    }
}

void history_world::start_entry(std::size_t e)
{
    entry& started = entries_.at(e);
    ++started.life;
    started.paused_until = now_;
    started.calls.clear();
    started.tickets.clear();
    started.batcher = std::make_unique<claim_batcher>(claim_batcher_options{});
}

void history_world::start_sidecar(std::size_t s)
{
    sidecar& started = sidecars_.at(s);
    ++started.life;
    started.paused_until = now_;
    started.listeners.clear();
    started.outcomes.clear();
    started.running.clear();
    started.clock_offset = some_delay(100'000);
    if (sidecar_restarted_)
    {
        started.restarted_at = now_;
    }
    attempt::dispatch_admission_options options{
        .sidecar_incarnation = incarnation{started.life},
        .dispatch_validity = dispatch_validity};
    if (small_memory_)
    {
        options.begun_record_retention = seconds(5);
        options.max_begun_records = 4;
        options.max_tombstones = 2;
        options.max_outcome_bytes = 16;
    }
    started.gate = std::make_unique<attempt::dispatch_admission>(options);
}

void history_world::crash_upstream(std::size_t s)
{
    sidecar& beside = sidecars_.at(s);
    for (auto& [key, runs] : runs_)
    {
        for (run& one : runs)
        {
            const bool here =
                one.sidecar == s && one.sidecar_life == beside.life;
            const auto running = std::find_if(
                beside.running.begin(), beside.running.end(),
                [&one](const auto& id)
                { return id.request.value() == one.request; });
            one.lost |= here && running != beside.running.end();
        }
    }
    for (const attempt::attempt_id& id : std::exchange(beside.running, {}))
    {
        (void)beside.gate->handle(attempt::run_lost{id}, clock_of(beside));
        for (const step& listener : beside.listeners[id])
        {
            listener();
        }
    }
}

void history_world::begin_call(
    std::size_t e, std::size_t key, std::uint8_t body, bool last)
{
    const std::size_t id = ++last_call_;
    call& made = entries_.at(e).calls[id];
    made.key = key;
    made.body = body;
    made.last = last;
    made.request = "request-" + std::to_string(id);
    requests_[made.request] = {key, body};
    made.core = std::make_unique<filing_core>(
        filing_options{},
        filing_request{
            .at = filing_row(
                workspace_id{"w"}, idempotency_key{std::to_string(key)}),
            .request_digest = body_digest(body),
            .nonce = claim_nonce{"nonce-" + std::to_string(id)},
            .entry = entry_id{std::to_string(e)},
            .request = request_id{made.request},
            .config = config_number{1},
            .deadline = now_ + seconds(15)},
        random_);
    at_process(
        entries_.at(e), duration{0},
        [this, e, id] { feed(e, id, filing_begun{}); });
}

// The entry's shell.

void history_world::feed(
    std::size_t e, std::size_t id, const filing_event& event)
{
    auto& calls = entries_.at(e).calls;
    const auto found = calls.find(id);
    if (found == calls.end())
    {
        return;
    }
    const moment now{now_, wall_time(now_.time_since_epoch())};
    for (const filing_command& command : found->second.core->handle(event, now))
    {
        obey(e, id, command);
    }
}

void history_world::obey(
    std::size_t e, std::size_t id, const filing_command& command)
{
    entry& here = entries_.at(e);
    std::visit(
        overloaded{
            [&](const ask_plan& asked) { plan(e, id, asked); },
            [&](const write_row& asked)
            {
                const write_ticket ticket{++sequence_};
                here.tickets[ticket.value()] = {id, asked.operation};
                batch(e, write_wanted{ticket, asked.write, asked.urgent});
            },
            [&](const read_row& asked) { read(e, id, asked); },
            [&](const ask_sidecar& asked)
            {
                send_tombstone(
                    e, asked.attempt, asked.target,
                    [this, e, id, operation = asked.operation](const auto& said)
                    {
                        feed(e, id, sidecar_answered{operation, said});
                    });
            },
            [&](const run_filing& asked) { start_run(e, id, asked); },
            [&](const answer_caller& answer)
            { check_answer(here.calls.at(id), answer); },
            [&](const set_filing_timer& timer)
            {
                const auto number = ++here.calls.at(id).timer;
                at_process(
                    here, std::max(timer.at - now_, duration{0}),
                    [this, e, id, number]
                    {
                        const auto& calls = entries_.at(e).calls;
                        const auto found = calls.find(id);
                        if (found != calls.end() &&
                            found->second.timer == number)
                        {
                            feed(e, id, filing_timer_due{});
                        }
                    });
            },
            [&](const count_note& counted)
            { ++seen_[std::string(name(counted.note))]; },
            [&](const filing_over&) { here.calls.erase(id); }},
        command);
}

void history_world::plan(std::size_t e, std::size_t id, const ask_plan& asked)
{
    std::size_t chosen = random_.below(sidecar_count);
    for (std::size_t i = 0; i < sidecar_count; ++i)
    {
        const upstream_id name{std::to_string(chosen)};
        const bool avoided =
            std::find(asked.avoid.begin(), asked.avoid.end(), name) !=
            asked.avoid.end();
        if (!avoided && !sidecars_.at(chosen).gate->draining())
        {
            break;
        }
        chosen = (chosen + 1) % sidecar_count;
    }
    const sidecar& s = sidecars_.at(chosen);
    const bool stale = now_ < s.restarted_at + probe_age;
    const attempt::dispatch_target target{
        .upstream = upstream_id{std::to_string(chosen)},
        .sidecar_incarnation = incarnation{stale ? s.life - 1 : s.life},
        .valid_until = clock_of(s) - some_delay(500) + dispatch_validity};
    const bool none =
        sidecars_[0].gate->draining() && sidecars_[1].gate->draining();
    at_process(
        entries_.at(e), some_delay(2),
        [this, e, id, target, none] {
            none ? feed(e, id, plan_refused{}) : feed(e, id, plan_made{target});
        });
}

void history_world::batch(std::size_t e, const batcher_event& event)
{
    entry& here = entries_.at(e);
    for (const batcher_command& command : here.batcher->handle(event, now_))
    {
        std::visit(
            overloaded{
                [&](const send_transaction& asked) { transact(e, asked); },
                [&](const write_answered& answer)
                {
                    const auto [id, operation] =
                        here.tickets.extract(answer.ticket.value()).mapped();
                    at_process(
                        here, duration{0},
                        [this, e, id = id, operation = operation,
                         said = answer.answer] {
                            feed(e, id, row_written{operation, said});
                        });
                },
                [&](const set_batch_timer& timer)
                {
                    const auto number = ++here.batch_timer;
                    at_process(
                        here, std::max(timer.at - now_, duration{0}),
                        [this, e, number]
                        {
                            if (entries_.at(e).batch_timer == number)
                            {
                                batch(e, batch_timer_due{});
                            }
                        });
                }},
            command);
    }
}

void history_world::transact(std::size_t e, const send_transaction& asked)
{
    entry& here = entries_.at(e);
    const table_fault fault = chance(70) ? table_fault_ : table_fault::none;
    const auto open = std::make_shared<bool>(true);
    const auto answer =
        [this, e, open, number = asked.number](
            duration delay, const table_service::transaction_result& said)
    {
        at_process(
            entries_.at(e), delay,
            [this, e, open, number, said]
            {
                if (std::exchange(*open, false))
                {
                    batch(e, transaction_answered{number, said});
                }
            });
    };
    answer(table_timeout, table_service::outcome_unknown{});
    if (fault == table_fault::refused)
    {
        answer(some_delay(5), table_service::rejected{});
        return;
    }
    if (fault == table_fault::requests_lost)
    {
        return;
    }
    const unsigned slowest = fault == table_fault::late   ? 6000
                             : fault == table_fault::slow ? 900
                                                          : 4;
    after(
        some_delay(slowest),
        [this, life = here.life, e, answer, fault,
         transaction = asked.transaction]
        {
            const auto said = table_.apply(transaction);
            if (fault != table_fault::answers_lost &&
                entries_.at(e).life == life)
            {
                answer(some_delay(4), said);
            }
        });
    if (fault == table_fault::duplicated)
    {
        after(
            some_delay(6000), [this, transaction = asked.transaction]
            { (void)table_.apply(transaction); });
    }
}

void history_world::read(std::size_t e, std::size_t id, const read_row& asked)
{
    const bool failed = table_fault_ == table_fault::reads_fail ||
                        (table_fault_ != table_fault::none && chance(40));
    const auto reply =
        [this, e, id, operation = asked.operation](
            duration delay, const table_service::read_result& said)
    {
        at_process(
            entries_.at(e), delay,
            [this, e, id, operation, said] {
                feed(e, id, row_read{operation, said});
            });
    };
    if (failed)
    {
        reply(table_timeout, table_service::read_failed{});
        return;
    }
    at_process(
        entries_.at(e), some_delay(3),
        [this, reply, at = asked.at]
        { reply(some_delay(3), table_.read(at)); });
}

void history_world::start_run(
    std::size_t e, std::size_t id, const run_filing& asked)
{
    call& made = entries_.at(e).calls.at(id);
    made.running = std::make_unique<attempt::attempt_state_machine>(
        attempt::attempt_options{
            .id = asked.attempt,
            .target = asked.target,
            .deadline = now_ + seconds(6),
            .idempotent = false});
    feed_attempt(e, id, asked.attempt, attempt::start{});
}

void history_world::feed_attempt(
    std::size_t e, std::size_t id, const attempt::attempt_id& attempt,
    const attempt::attempt_event& event)
{
    auto& calls = entries_.at(e).calls;
    const auto found = calls.find(id);
    if (found == calls.end() || !found->second.running ||
        found->second.running->options().id != attempt)
    {
        return;
    }
    for (const auto& command : found->second.running->handle(event, now_))
    {
        obey_attempt(e, id, command);
    }
}

void history_world::obey_attempt(
    std::size_t e, std::size_t id, const attempt::attempt_command& command)
{
    call& made = entries_.at(e).calls.at(id);
    const attempt::attempt_options& options = made.running->options();
    std::visit(
        overloaded{
            [&](const attempt::send_dispatch&) { dispatch(e, id); },
            [&](const attempt::send_tombstone&)
            {
                send_tombstone(
                    e, options.id, options.target,
                    [this, e, id, attempt = options.id](const auto& said) {
                        feed_attempt(
                            e, id, attempt, attempt::tombstone_replied{said});
                    });
            },
            [&](const attempt::resume_stream&) { resume(e, id); },
            [&](const attempt::set_timer& timer)
            {
                const auto number = ++made.attempt_timer;
                at_process(
                    entries_.at(e), std::max(timer.at - now_, duration{0}),
                    [this, e, id, number, attempt = options.id]
                    {
                        const auto& calls = entries_.at(e).calls;
                        const auto found = calls.find(id);
                        if (found != calls.end() &&
                            found->second.attempt_timer == number)
                        {
                            feed_attempt(
                                e, id, attempt, attempt::timer_expired{});
                        }
                    });
            },
            [&](const attempt::report_result& end)
            {
                at_process(
                    entries_.at(e), duration{0},
                    [this, e, id, verdict = end.result]
                    { feed(e, id, run_judged{verdict}); });
            },
            [](const attempt::deliver&) {}, [](const attempt::cancel_run&) {}},
        command);
}

// Between entry and sidecar.

void history_world::send_tombstone(
    std::size_t e, const attempt::attempt_id& attempt,
    const attempt::dispatch_target& target, tombstone_reply reply)
{
    const std::size_t s = std::stoul(target.upstream.value());
    const unsigned copies = network_fault_ == network_fault::duplicated ? 2 : 1;
    for (unsigned copy = 0; copy < copies; ++copy)
    {
        if (lost(network_fault::requests_lost))
        {
            continue;
        }
        after(
            network_delay(),
            [this, s, e, attempt, target, reply, life = entries_.at(e).life]
            {
                at_process(
                    sidecars_.at(s), duration{0},
                    [this, s, e, attempt, target, reply, life]
                    {
                        sidecar& asked = sidecars_.at(s);
                        const auto command = asked.gate->handle(
                            attempt::tombstone_arrived{
                                attempt, target.sidecar_incarnation,
                                target.valid_until},
                            clock_of(asked));
                        const auto said =
                            std::get<attempt::answer_tombstone>(command).answer;
                        if (!lost(network_fault::replies_lost) &&
                            entries_.at(e).life == life)
                        {
                            at_process(
                                entries_.at(e), network_delay(),
                                [reply, said] { reply(said); });
                        }
                    });
            });
    }
}

std::function<void(attempt::attempt_event)> history_world::connection(
    std::size_t e, std::size_t id, const attempt::attempt_id& attempt)
{
    return [this, e, id, attempt](const attempt::attempt_event& event)
    {
        const bool cut = lost(network_fault::replies_lost);
        if (cut && chance(50))
        {
            // Half-open: the entry hears nothing.
            return;
        }
        const attempt::attempt_event heard =
            cut ? attempt::connection_lost{} : event;
        at_process(
            entries_.at(e), network_delay(),
            [this, e, id, attempt, heard]
            { feed_attempt(e, id, attempt, heard); });
    };
}

void history_world::dispatch(std::size_t e, std::size_t id)
{
    const attempt::attempt_options sent =
        entries_.at(e).calls.at(id).running->options();
    const std::size_t s = std::stoul(sent.target.upstream.value());
    const auto reply = connection(e, id, sent.id);
    if (!healed_ && chance(2))
    {
        at_process(
            entries_.at(e), some_delay(3),
            [this, e, id, attempt = sent.id]
            { feed_attempt(e, id, attempt, attempt::connect_failed{}); });
        return;
    }
    at_process(
        entries_.at(e), duration{0},
        [this, e, id, attempt = sent.id]
        { feed_attempt(e, id, attempt, attempt::dispatch_written{}); });
    if (lost(network_fault::requests_lost))
    {
        reply(attempt::connection_lost{});
        return;
    }
    const duration delay = network_delay();
    const auto arrive = [this, s, sent](const auto& answer)
    {
        at_process(
            sidecars_.at(s), duration{0},
            [this, s, sent, answer] { receive_dispatch(s, sent, answer); });
    };
    after(delay, [arrive, reply] { arrive(reply); });
    if (network_fault_ == network_fault::duplicated)
    {
        // A copy has a connection of its own, which nobody listens to.
        after(
            delay + some_delay(5000),
            [arrive] { arrive([](const attempt::attempt_event&) {}); });
    }
}

void history_world::receive_dispatch(
    std::size_t s, const attempt::attempt_options& sent,
    const std::function<void(attempt::attempt_event)>& reply)
{
    sidecar& here = sidecars_.at(s);
    const auto decided = here.gate->handle(
        attempt::dispatch_arrived{
            .attempt = sent.id,
            .sidecar_incarnation = sent.target.sidecar_incarnation,
            .valid_until = sent.target.valid_until,
            .version = {},
            .config = config_number{1}},
        clock_of(here));
    std::visit(
        overloaded{
            [&](const attempt::begin_run&)
            {
                execute(s, sent.id);
                reply(attempt::dispatch_accepted{});
                serve_stream(s, sent, reply);
            },
            [&](const attempt::replay_response&)
            {
                reply(attempt::dispatch_accepted{});
                serve_stream(s, sent, reply);
            },
            [&](const attempt::refuse_dispatch& refusal)
            { reply(attempt::dispatch_refused{refusal.code}); },
            [](const auto&) {}},
        decided);
}

void history_world::resume(std::size_t e, std::size_t id)
{
    const attempt::attempt_options sent =
        entries_.at(e).calls.at(id).running->options();
    const std::size_t s = std::stoul(sent.target.upstream.value());
    if (lost(network_fault::requests_lost))
    {
        return;
    }
    const auto reply = connection(e, id, sent.id);
    after(
        network_delay(),
        [this, s, sent, reply]
        {
            at_process(
                sidecars_.at(s), duration{0},
                [this, s, sent, reply] { serve_stream(s, sent, reply); });
        });
}

void history_world::serve_stream(
    std::size_t s, const attempt::attempt_options& sent,
    const std::function<void(attempt::attempt_event)>& reply)
{
    sidecar& here = sidecars_.at(s);
    const attempt::attempt_id id = sent.id;
    const auto finish =
        [this, s, id, life = sent.target.sidecar_incarnation, reply]
    {
        const auto& outcomes = sidecars_.at(s).outcomes;
        const auto found = outcomes.find(id);
        if (found == outcomes.end())
        {
            reply(attempt::run_failed{});
            return;
        }
        const attempt::run_outcome& outcome = found->second;
        reply(attempt::frame{id, life, 0, outcome.body});
        reply(attempt::end_frame{
            id, life, 1, sha256(outcome.body), outcome.status});
    };
    if (sent.target.sidecar_incarnation.value() != here.life)
    {
        reply(attempt::resume_refused{});
    }
    else if (here.running.contains(id))
    {
        here.listeners[id].push_back(finish);
    }
    else
    {
        finish();
    }
}

// The upstream, which the oracle watches.

void history_world::execute(std::size_t s, const attempt::attempt_id& attempt)
{
    sidecar& here = sidecars_.at(s);
    const std::string request = attempt.request.value();
    const std::size_t key = requests_.at(request).first;
    auto& runs = runs_[key];
    const attempt::run_outcome outcome{
        200, request + " ran as number " + std::to_string(runs.size())};
    runs.push_back({request, s, here.life, outcome, false});
    ran_.insert(request);
    if (runs.size() > 1)
    {
        broken_.push_back("key " + std::to_string(key) + " executed twice");
    }
    if (told_not_run_.contains(request))
    {
        broken_.push_back(request + " ran after it was told not run");
    }
    here.running.insert(attempt);
    at_process(
        here, chance(15) ? some_delay(4000) : some_delay(100),
        [this, s, attempt, outcome]
        {
            sidecar& at = sidecars_.at(s);
            if (at.running.erase(attempt) == 0)
            {
                return;
            }
            at.outcomes[attempt] = outcome;
            (void)at.gate->handle(
                attempt::run_finished{attempt, outcome}, clock_of(at));
            for (const step& listener : at.listeners[attempt])
            {
                listener();
            }
        });
}

void history_world::check_answer(const call& asked, const answer_caller& answer)
{
    ++seen_[std::string(name(answer.code))];
    if (is_not_run(answer.code))
    {
        told_not_run_.insert(asked.request);
        if (ran_.contains(asked.request))
        {
            broken_.push_back(asked.request + " was told not run, but ran");
        }
    }
    if (answer.code == result_code::ok)
    {
        const auto& runs = runs_[asked.key];
        if (runs.empty() || runs[0].outcome != *answer.outcome)
        {
            broken_.push_back(asked.request + " got an outcome that never was");
        }
        else if (requests_.at(runs[0].request).second != asked.body)
        {
            broken_.push_back(asked.request + " got another body's outcome");
        }
    }
    if (asked.last)
    {
        check_last_answer(asked, answer);
    }
}

void history_world::check_last_answer(
    const call& asked, const answer_caller& answer)
{
    if (small_memory_ || answer.code == result_code::ok)
    {
        return;
    }
    const auto found = runs_.find(asked.key);
    if (found == runs_.end())
    {
        const bool excused = sidecar_restarted_ || sidecar_drained_ ||
                             answer.code == result_code::idempotency_conflict;
        if (!excused)
        {
            broken_.push_back(asked.request + " could not run after recovery");
        }
        return;
    }
    const run& ran = found->second[0];
    if (!ran.lost && sidecars_.at(ran.sidecar).life == ran.sidecar_life)
    {
        broken_.push_back(asked.request + " could not retrieve the outcome");
    }
}

} // namespace wagtailseam::filing::test
