// Coroutines that follow the tables, datagrams and cache stores.
#include "gateway/state_updater.hpp"

#include "cache_relay/store_requests.hpp"
#include "cache_relay/store_update.hpp"
#include "core/overloaded.hpp"
#include "engine_status/listener.hpp"
#include "engine_status/prefill_report.hpp"
#include "engine_status/status.hpp"
#include "platform/documents.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <variant>

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// Maximum duration of a poll. cache_view trusts a store for longer than this.
constexpr std::chrono::milliseconds store_poll_timeout{1000};
/// Limits the rate at which a busy store is polled to a few polls per second.
constexpr std::chrono::milliseconds store_poll_interval{250};
constexpr std::chrono::milliseconds store_request_timeout{1400};
/// A store serves only a few polls concurrently and refuses the others.
constexpr std::chrono::milliseconds store_retry_delay{1000};
/// A store counts as relayed for this time after an update. Agents relay at
/// least one update per second.
constexpr std::chrono::milliseconds relay_timeout{1300};
/// Agents discover a new gateway within this time.
constexpr std::chrono::seconds relay_startup_time{3};
constexpr std::chrono::milliseconds max_resync_delay{100};
/// Agents discard reports that are not renewed within 1.3 s.
constexpr std::chrono::milliseconds prefill_report_interval{400};
/// Multiples of the median of its service from which an upstream is reported
/// as slow, and below which it has recovered.
constexpr double reported_slowness = 1.5;
constexpr double recovered_slowness = 1.25;
/// Handlers that start later than this after they were due are reported.
constexpr std::chrono::milliseconds reported_handler_delay{100};
constexpr std::chrono::milliseconds store_connect_timeout{300};
/// Part of the resync deadline reserved for recovery after an outage: the 1 s
/// timeout of a call on an unresponsive connection, the delay before the retry,
/// and the successful call.
constexpr std::chrono::milliseconds operator_poll_margin{1600};
/// A gateway that has a configuration, but cannot read which other gateways
/// there are, serves after this time.
constexpr std::chrono::seconds max_introduction_time{1};
/// The list of upstreams may be some seconds old, because attempts and agents
/// provide more recent information. Every weight order and relevant
/// heartbeat changes it, so changes are batched.
constexpr std::chrono::seconds upstream_poll_timeout{6};
constexpr std::chrono::milliseconds upstream_batch_delay{400};

using operator_change = std::variant<
    std::shared_ptr<const serving::route_table>, serving::weight_target>;

std::size_t size_of_values(const platform::row_set& rows)
{
    std::size_t size = 0;
    for (const auto& row : rows.rows)
    {
        size += row.value ? row.value->size() : 0;
    }
    return size;
}

std::vector<operator_change> decode_operator_changes(
    const platform::row_set& rows)
{
    std::vector<operator_change> changes;
    for (auto& document : platform::decode_operator_rows(rows))
    {
        std::visit(
            overloaded{
                [](std::monostate) {},
                [&](serving::configuration& next)
                {
                    changes.emplace_back(
                        std::make_shared<const serving::route_table>(
                            std::move(next)));
                },
                [&](serving::weight_target& target)
                { changes.emplace_back(std::move(target)); }},
            document);
    }
    return changes;
}

} // namespace

state_updater::state_updater(
    asio::io_context& context, shared_state& state,
    std::function<void()> on_new_configuration)
    : context_(context), state_(state),
      on_new_configuration_(std::move(on_new_configuration)),
      row_store_(context.get_executor(), state.settings.row_store),
      operator_table_(
          context, row_store_,
          {.table = platform::operator_table,
           .on_rows =
               [this](auto rows, auto scope)
           {
               apply_evacuations(rows, scope);
               configuration_check_.record_delivery();
               asio::co_spawn(
                   context_,
                   apply_operator_rows(
                       std::move(rows), operator_table_.delivered_read_began()),
                   asio::detached);
           },
           .poll_timeout =
               state.settings.bounds.resync_deadline - operator_poll_margin}),
      configuration_check_(context, operator_table_),
      upstream_table_(
          context, row_store_,
          {.table = platform::upstream_table,
           .on_rows = [this](const auto& rows, auto scope)
           { apply_upstream_rows(rows, scope); },
           .poll_timeout = upstream_poll_timeout,
           .batch_delay = upstream_batch_delay}),
      agent_socket_(
          context, asio::ip::udp::endpoint(
                       asio::ip::make_address(state.settings.ip),
                       state.settings.first_internal_port)),
      peers_(
          context, state, row_store_,
          [this](const auto& datagram, const auto& receiver)
          { send_datagram(datagram, receiver); }),
      presence_sync_(context, state, row_store_, peers_),
      quarantine_sync_(context, state, row_store_, peers_),
      statement_sync_(context, state, peers_),
      trial_claims_(context, state, row_store_, peers_),
      stream_origin_sync_(context, state, row_store_),
      origin_note_sync_(context, state, peers_),
      cache_store_client_(
          context.get_executor(),
          {.connect_timeout = store_connect_timeout,
           .max_idle_connections = 1,
           .max_body_bytes = cache_relay::max_response_bytes})
{
}

void state_updater::start()
{
    operator_table_.start();
    upstream_table_.start();
    peers_.start();
    presence_sync_.start();
    quarantine_sync_.start();
    statement_sync_.start();
    trial_claims_.start();
    stream_origin_sync_.start();
    origin_note_sync_.start();
    asio::co_spawn(
        context_,
        engine_status::register_listener(
            row_store_, state_.settings.vm,
            {.address =
                 http::address{
                     state_.settings.ip + ":" +
                     std::to_string(state_.settings.first_internal_port)}}),
        asio::detached);
    asio::co_spawn(context_, receive_datagrams(), asio::detached);
    state_.confirm_configuration = [this]
    { return configuration_check_.confirm(); };
    state_.refresh_upstream_list = [this] { upstream_table_.refresh(); };
    state_.confirm_upstream_list = [this] { (void)upstream_table_.confirm(); };
    state_.on_pending_prefill_changed = [this](const auto& id)
    { send_prefill_report(id); };
    asio::co_spawn(context_, renew_prefill_reports(), asio::detached);
}

asio::awaitable<void> state_updater::receive_datagrams()
{
    std::array<char, engine_status::max_datagram_bytes> bytes{};
    asio::ip::udp::endpoint sender;
    for (;;)
    {
        const auto [ec, size] = co_await agent_socket_.async_receive_from(
            asio::buffer(bytes), sender, completion);
        if (ec == asio::error::operation_aborted)
        {
            co_return;
        }
        const std::string_view datagram(bytes.data(), ec ? 0 : size);
        if (cache_relay::is_store_update(datagram))
        {
            handle_store_update(datagram);
        }
        else if (quarantine::is_crash_report(datagram))
        {
            quarantine_sync_.handle_datagram(datagram);
        }
        else if (engine_status::is_greeting(datagram))
        {
            if (const auto greeter = peers_.handle_greeting(datagram))
            {
                quarantine_sync_.send_records(*greeter);
            }
        }
        else if (quarantine::is_trial_announcement(datagram))
        {
            trial_claims_.handle_datagram(datagram);
        }
        else if (statement_sync::is_report(datagram))
        {
            statement_sync_.handle_datagram(datagram);
        }
        else if (stream_origin::is_origin_answer(datagram))
        {
            origin_note_sync_.handle_answer(datagram, sender);
        }
        else
        {
            handle_status(datagram, sender);
        }
    }
}

void state_updater::handle_status(
    std::string_view datagram, const asio::ip::udp::endpoint& sender)
{
    const auto decoded = engine_status::decode_status(datagram);
    if (!decoded)
    {
        state_.metrics.count("wagtail_agent_datagrams_dropped_total");
        return;
    }
    const auto& status = decoded.value();
    auto& previous = last_status_[status.upstream];
    if (previous.first == status.incarnation &&
        previous.second >= status.sequence_number)
    {
        return;
    }
    previous = {status.incarnation, status.sequence_number};
    agent_endpoints_.insert_or_assign(status.upstream, sender);
    origin_note_sync_.record_agent(status.upstream, sender);
    state_.upstreams.update_load(
        status.upstream,
        {.prompts_waiting = status.prompts_waiting,
         .running = status.running,
         .memory = status.memory,
         .loading_weights = status.loading,
         .weights = status.weights,
         .prefill_of_other_gateways = status.prefill_of_other_gateways,
         .speed = status.speed},
        monotonic_clock::now());
}

void state_updater::send_prefill_report(const upstream_id& id)
{
    const auto agent = agent_endpoints_.find(id);
    if (agent == agent_endpoints_.end())
    {
        return;
    }
    const auto datagram = engine_status::encode(engine_status::prefill_report{
        .gateway = state_.settings.vm,
        .upstream = id,
        .incarnation = incarnation_,
        .sequence_number = ++report_sequence_number_,
        .pending_prefill = state_.upstreams.own_pending_prefill(id),
        .measured = state_.upstreams.measured_times(id)});
    send_datagram(datagram, agent->second);
}

void state_updater::send_datagram(
    const std::string& datagram, const asio::ip::udp::endpoint& receiver)
{
    // All datagrams are repeated, so the next one makes up for one that cannot
    // be sent.
    boost::system::error_code ignored;
    agent_socket_.send_to(asio::buffer(datagram), receiver, 0, ignored);
}

asio::awaitable<void> state_updater::renew_prefill_reports()
{
    for (;;)
    {
        const auto due = monotonic_clock::now() + prefill_report_interval;
        co_await sleep_for(prefill_report_interval);
        record_handler_delay(monotonic_clock::now() - due);
        log_slow_upstreams();
        for (const auto& id : state_.upstreams.upstreams_with_own_prefill())
        {
            send_prefill_report(id);
        }
    }
}

void state_updater::log_slow_upstreams()
{
    std::set<upstream_id> slow;
    for (const auto& [id, slowness] :
         state_.upstreams.uneven_upstreams(monotonic_clock::now()))
    {
        // Between both thresholds an upstream stays what it was.
        const bool was_slow = slow_upstreams_.contains(id);
        if (slowness < (was_slow ? recovered_slowness : reported_slowness))
        {
            continue;
        }
        slow.insert(id);
        if (!was_slow)
        {
            telemetry::event("upstream_slow")
                .with("upstream", id)
                .with("slowness_percent", static_cast<int>(slowness * 100));
        }
    }
    for (const auto& id : slow_upstreams_)
    {
        if (!slow.contains(id))
        {
            telemetry::event("upstream_recovered").with("upstream", id);
        }
    }
    slow_upstreams_ = std::move(slow);
}

void state_updater::record_handler_delay(duration delay)
{
    state_.metrics.observe_duration(
        "wagtail_handler_delay_seconds", "process", "gateway", delay);
    if (delay > reported_handler_delay)
    {
        telemetry::event("handlers_delayed").with("delay_us", delay.count());
    }
}

void state_updater::handle_store_update(std::string_view datagram)
{
    const auto update = cache_relay::decode(datagram);
    if (!update)
    {
        state_.metrics.count("wagtail_agent_datagrams_dropped_total");
        return;
    }
    const auto& store = update.value().store;
    if (update.value().unreachable)
    {
        state_.caches.mark_unreachable(store);
        return;
    }
    const auto now = monotonic_clock::now();
    last_relayed_update_.insert_or_assign(store, now);
    const auto resync = state_.caches.apply(store, update.value().answer, now);
    const auto followed_store = followed_stores_.find(store);
    if (resync != serving::resync_action::none &&
        followed_store != followed_stores_.end() &&
        resyncing_stores_.insert(store).second)
    {
        asio::co_spawn(
            context_, resync_store(followed_store->second), asio::detached);
    }
}

asio::awaitable<void> state_updater::resync_store(serving::cache_store store)
{
    // Other gateways may miss the same changes, so the polls are spread over
    // time. Delayed datagrams may also arrive in the meantime.
    co_await sleep_for(duration(static_cast<duration::rep>(state_.random.below(
        std::uint64_t(duration(max_resync_delay).count())))));
    state_.metrics.count("wagtail_cache_store_catch_ups_total");
    (void)co_await poll_store(store, duration::zero());
    resyncing_stores_.erase(store.service);
}

asio::awaitable<void> state_updater::sleep_for(duration time)
{
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(completion);
}

asio::awaitable<void> state_updater::apply_operator_rows(
    platform::row_set rows, mono_time read_began)
{
    const auto begun = monotonic_clock::now();
    state_.operator_table_read_at = begun;
    const bool at_startup = std::exchange(awaiting_first_operator_read_, false);
    const auto size = size_of_values(rows);
    auto decode = [rows = std::move(rows)]
    { return decode_operator_changes(rows); };
    auto changes =
        co_await row_store_.worker().run_if_large(size, std::move(decode));
    for (auto& change : changes)
    {
        std::visit(
            overloaded{
                [this, begun](std::shared_ptr<const serving::route_table>& next)
                { apply_configuration(std::move(next), begun); },
                [this, at_startup](const serving::weight_target& target)
                { apply_weight_target(target, at_startup); }},
            change);
    }
    configuration_check_.record_application(read_began);
}

void state_updater::apply_evacuations(
    const platform::row_set& rows, platform::row_scope scope)
{
    // A restored table may lack recent rows.
    auto evacuated = scope == platform::row_scope::whole_table
                         ? std::set<data_centre_id>{}
                         : state_.upstreams.evacuated();
    for (const auto& row : rows.rows)
    {
        if (const auto change = platform::decode_evacuation(row))
        {
            if (change->active)
            {
                evacuated.insert(change->data_centre);
            }
            else
            {
                evacuated.erase(change->data_centre);
            }
        }
    }
    const auto log_difference =
        [](const auto& from, const auto& to, const char* name)
    {
        for (const auto& data_centre : to)
        {
            if (!from.contains(data_centre))
            {
                telemetry::event(name).with("data_centre", data_centre);
            }
        }
    };
    const auto& previous = state_.upstreams.evacuated();
    log_difference(previous, evacuated, "data_centre_evacuated");
    log_difference(evacuated, previous, "data_centre_restored");
    state_.upstreams.set_evacuated(std::move(evacuated));
}

void state_updater::apply_cold_start(
    const serving::upstream& entry, platform::row_scope scope)
{
    const auto process = serving::process_of(entry);
    auto cold_left = entry.cold_left;
    if (!cold_left && scope == platform::row_scope::changes &&
        !state_.upstreams.lists(process))
    {
        cold_left = state_.cold_time(entry.service);
    }
    if (!cold_left)
    {
        return;
    }
    if (*cold_left > duration::zero())
    {
        const auto [cold, is_new] = cold_entries_.insert_or_assign(
            entry.id, cold_entry{
                          .process = process,
                          .service = entry.service,
                          .until = monotonic_clock::now() + *cold_left});
        limit_cold(cold->second);
    }
    else if (scope != platform::row_scope::restored_table)
    {
        cold_entries_.erase(entry.id);
        state_.statements.record_warm(process);
    }
}

void state_updater::limit_cold(const cold_entry& entry)
{
    const auto rate = state_.cold_rate(entry.service);
    const duration left = entry.until - monotonic_clock::now();
    if (rate && left > duration::zero())
    {
        state_.statements.record_cold(entry.process, *rate, left);
    }
}

void state_updater::apply_configuration(
    std::shared_ptr<const serving::route_table> received, mono_time received_at)
{
    const auto& config = received->config();
    if (state_.routes && config.number <= state_.routes->config().number)
    {
        return;
    }
    state_.caches.set_stores(config.stores);
    std::erase_if(
        followed_stores_,
        [&](const auto& entry)
        {
            return std::none_of(
                config.stores.begin(), config.stores.end(),
                [&](const auto& store)
                { return store.service == entry.first; });
        });
    for (const auto& store : config.stores)
    {
        const auto [followed_store, is_new] =
            followed_stores_.insert_or_assign(store.service, store);
        if (is_new)
        {
            asio::co_spawn(
                context_, follow_store(store.service), asio::detached);
        }
    }
    if (!state_.routes && state_.introduction_deadline)
    {
        state_.introduction_deadline =
            monotonic_clock::now() + max_introduction_time;
    }
    state_.routes = received;
    std::erase_if(
        cold_entries_, [now = monotonic_clock::now()](const auto& entry)
        { return entry.second.until <= now; });
    for (const auto& [id, entry] : cold_entries_)
    {
        limit_cold(entry);
    }
    state_.upstreams.set_services(config.services);
    stream_origin_sync_.apply_routes(config);
    on_new_configuration_();
    telemetry::event("configuration_in_force")
        .with("number", config.number)
        .with("routes", config.routes.size())
        .with("workspaces", config.workspaces.size())
        .with("stores", config.stores.size())
        .with("idle_limit_us", config.limits.idle_timeout.count())
        .with("took_us", (monotonic_clock::now() - received_at).count());
}

void state_updater::apply_weight_target(
    const serving::weight_target& received, bool at_startup)
{
    const bool is_new = state_.weight_announcements[received.model].add(
        {.version = received.version,
         .received_at = monotonic_clock::now(),
         .at_startup = at_startup});
    if (!is_new)
    {
        return;
    }
    telemetry::event("weights_named")
        .with("model", received.model)
        .with("version", received.version);
}

std::vector<serving::store_outage> state_updater::last_outages(
    mono_time now) const
{
    std::vector<serving::store_outage> outages;
    for (const auto* const table : {&upstream_table_, &operator_table_})
    {
        if (const auto outage = table->last_outage(now))
        {
            outages.push_back(*outage);
        }
    }
    return outages;
}

serving::removal_grace state_updater::make_removal_grace() const
{
    const auto& bounds = state_.settings.bounds;
    return serving::removal_grace(
        {.drain_deadline = bounds.drain_deadline,
         .resync_deadline = bounds.resync_deadline,
         .max_delivery_delay = upstream_batch_delay});
}

void state_updater::apply_upstream_rows(
    const platform::row_set& rows, platform::row_scope scope)
{
    const bool whole_table = scope != platform::row_scope::changes;
    std::vector<serving::upstream> listed;
    for (const auto& row : rows.rows)
    {
        auto entry = platform::decode_upstream_row(row);
        if (entry)
        {
            const auto process = serving::process_of(*entry);
            state_.crashes.record_process_listed(process);
            if (entry->draining)
            {
                state_.crashes.record_process_leaving(process);
            }
            apply_cold_start(*entry, scope);
        }
        if (entry && whole_table)
        {
            listed.push_back(std::move(*entry));
        }
        else if (entry)
        {
            telemetry::event("upstream_listed")
                .with("upstream", entry->id)
                .with("service", entry->service)
                .with("address", entry->address)
                .with("draining", entry->draining ? 1 : 0);
            handle_ended_processes(state_.upstreams.upsert(*entry));
        }
        else if (!row.value)
        {
            remove_upstream(upstream_id{row.key});
        }
        else
        {
            telemetry::event("upstream_row_ignored")
                .with("row", row.key)
                .warning();
        }
    }
    if (whole_table)
    {
        replace_upstreams(
            std::move(listed), scope == platform::row_scope::restored_table);
    }
    state_.upstream_list_read_at = monotonic_clock::now();
}

void state_updater::remove_upstream(const upstream_id& id)
{
    const auto now = monotonic_clock::now();
    const auto outages = last_outages(now);
    const auto grace = make_removal_grace();
    const duration remaining_use = grace.end_of_use(now, outages) - now;
    const bool may_have_lapsed = grace.may_have_lapsed(now, outages);
    telemetry::event("upstream_unlisted")
        .with("upstream", id)
        .with("cause", may_have_lapsed ? "lapsed" : "removed")
        .with("grace_us", remaining_use.count());
    cold_entries_.erase(id);
    const auto removed = state_.upstreams.remove(id, remaining_use, now);
    if (removed && !may_have_lapsed)
    {
        state_.upstreams.confirm_departure(removed->id);
        state_.statements.erase(serving::process_of(*removed));
        state_.processes.erase(removed->id);
        asio::co_spawn(context_, classify_removal(*removed), asio::detached);
    }
}

asio::awaitable<void> state_updater::classify_removal(serving::upstream removed)
{
    // Some upstreams leave without draining, and run for a while after that. A
    // silent crash without a successor shows only here.
    bool leaves = removed.draining;
    if (!leaves)
    {
        leaves = co_await state_.is_running(removed);
    }
    const auto process = serving::process_of(removed);
    if (leaves)
    {
        state_.crashes.record_process_leaving(process);
    }
    else
    {
        state_.crashes.record_process_end(process, "unlisted");
    }
    telemetry::event("upstream_removal_classified")
        .with("upstream", removed.id)
        .with("draining", removed.draining ? 1 : 0)
        .with("cause", leaves ? "leaves" : "ended");
}

void state_updater::replace_upstreams(
    std::vector<serving::upstream> listed, bool restored)
{
    if (restored)
    {
        state_.upstreams.remove_departed(listed);
    }
    telemetry::event("upstreams_read")
        .with("count", listed.size())
        .with("restored", restored ? 1 : 0);
    const auto now = monotonic_clock::now();
    const auto end_of_use =
        make_removal_grace().end_of_use(now, last_outages(now));
    handle_ended_processes(
        state_.upstreams.replace(listed, end_of_use - now, now));
    state_.upstream_list_read = true;
}

void state_updater::handle_ended_processes(
    const std::vector<serving::upstream>& ended)
{
    for (const auto& entry : ended)
    {
        const auto process = serving::process_of(entry);
        if (state_.upstreams.lists_successor(process))
        {
            record_process_end(process);
            continue;
        }
        // Another writer's entry may name the address of an upstream that runs.
        asio::co_spawn(context_, check_superseded(entry), asio::detached);
    }
}

asio::awaitable<void> state_updater::check_superseded(serving::upstream entry)
{
    const auto process = serving::process_of(entry);
    const bool is_running = co_await state_.confirms_process(entry);
    telemetry::event("upstream_superseded")
        .with("upstream", entry.id)
        .with("address", entry.address)
        .with("is_running", is_running ? 1 : 0);
    if (is_running)
    {
        state_.upstreams.record_running(process);
        co_return;
    }
    record_process_end(process);
}

void state_updater::record_process_end(const upstream_process& process)
{
    state_.crashes.record_process_end(process, "list");
    state_.statements.erase(process);
}

bool state_updater::receives_relayed_updates(const service_id& store) const
{
    const auto last_update = last_relayed_update_.find(store);
    const auto relayed_since = last_update == last_relayed_update_.end()
                                   ? started_at_
                                   : last_update->second;
    return monotonic_clock::now() - relayed_since <
           (last_update == last_relayed_update_.end() ? relay_startup_time
                                                      : relay_timeout);
}

asio::awaitable<void> state_updater::follow_store(service_id name)
{
    bool reachable = true;
    while (followed_stores_.contains(name))
    {
        if (receives_relayed_updates(name))
        {
            co_await sleep_for(store_poll_interval);
            continue;
        }
        const auto store = followed_stores_.at(name);
        const bool answered = co_await poll_store(store, store_poll_timeout);
        if (answered != reachable)
        {
            reachable = answered;
            telemetry::event(
                answered ? "cache_store_regained" : "cache_store_lost")
                .with("store", store.service)
                .with("address", store.address);
        }
        co_await sleep_for(answered ? store_poll_interval : store_retry_delay);
    }
}

asio::awaitable<bool> state_updater::poll_store(
    const serving::cache_store& store, duration wait)
{
    const auto after = state_.caches.poll_cursor(store.service);
    const auto response = co_await cache_relay::read_changes(
        cache_store_client_, store, after, wait, store_request_timeout);
    if (!response)
    {
        const auto code = response.error().code;
        if (code != result_code::malformed_json)
        {
            state_.metrics.count("wagtail_cache_store_failures_total");
        }
        if (code != result_code::malformed_json &&
            code != result_code::upstream_refused)
        {
            state_.caches.mark_unreachable(store.service);
        }
        co_return false;
    }
    const auto resync = state_.caches.apply(
        store.service, response.value(), monotonic_clock::now());
    if (resync != serving::resync_action::read_content)
    {
        co_return true;
    }
    co_return co_await read_store_content(store);
}

asio::awaitable<bool> state_updater::read_store_content(
    const serving::cache_store& store)
{
    const auto response = co_await cache_relay::read_content(
        cache_store_client_, store, store_request_timeout);
    if (!response)
    {
        state_.caches.mark_unreachable(store.service);
        co_return false;
    }
    state_.caches.apply(
        store.service, response.value(), monotonic_clock::now());
    telemetry::event("cache_content_read")
        .with("store", store.service)
        .with("parts", response.value().complete.size());
    co_return true;
}

} // namespace wagtailseam::gateway
