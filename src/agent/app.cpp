// Coroutines of the agent and the messages that they exchange.
#include "agent/app.hpp"

#include "agent/local_engine.hpp"
#include "agent/store_rank.hpp"
#include "cache_relay/store_requests.hpp"
#include "core/overloaded.hpp"
#include "platform/documents.hpp"
#include "platform/engine_api.hpp"
#include "platform/request_codec.hpp"
#include "runtime/program.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <stdexcept>
#include <utility>

namespace wagtailseam::agent
{
namespace
{

constexpr auto completion_token =
    asio::experimental::as_tuple(asio::use_awaitable);

/// Table with one row per agent; each start writes the row, and the position of
/// that write becomes the fencing number.
constexpr const char* agent_table = "agents";
constexpr std::chrono::milliseconds engine_timeout{600};
constexpr std::chrono::milliseconds connect_timeout{300};
/// The engine runs on the same VM, so frequent polls are cheap.
constexpr std::chrono::milliseconds engine_poll_interval{100};
/// An unchanged status is sent again after this time; gateways consider it
/// valid for one second.
constexpr std::chrono::milliseconds status_repeat_interval{400};
/// Other agents use only the weights, and a change of these is sent at once.
constexpr std::chrono::milliseconds agent_repeat_interval{1000};
/// Prefill reports that arrive within this time are forwarded in one update; an
/// engine receives about ten requests per second.
constexpr std::chrono::milliseconds prefill_batch_delay{40};
constexpr std::chrono::seconds load_log_interval{1};
/// Number of agents that poll each store. Two tolerate the failure of one, and
/// a store serves far more concurrent polls.
constexpr std::size_t pollers_per_store = 2;
/// The list of upstreams supplies only the ranks and this engine's id, so a
/// slow refresh is enough.
constexpr std::chrono::seconds list_refresh_interval{20};
constexpr std::chrono::milliseconds list_retry_delay{1000};
constexpr std::chrono::seconds listener_poll_timeout{20};
/// Batches the rows that all processes of a deployment write within seconds.
constexpr std::chrono::seconds listener_batch_delay{2};
/// Half of the default deadline for a weight rollout.
constexpr std::chrono::seconds operator_poll_timeout{4};
constexpr std::chrono::milliseconds sweep_check_interval{500};
constexpr std::chrono::milliseconds cache_store_timeout{1500};
constexpr std::chrono::milliseconds fencing_retry_delay{400};
/// Maximum number of parts freed by one call.
constexpr std::size_t max_parts_per_call = 400;
constexpr unsigned status_ok = 200;

http::address engine_address(const platform::process_settings& settings)
{
    if (!settings.local_upstream)
    {
        throw std::runtime_error("the settings name no engine on this VM");
    }
    return *settings.local_upstream;
}

} // namespace

app::app(asio::io_context& context, platform::process_settings settings)
    : context_(context), settings_(std::move(settings)),
      row_store_(context.get_executor(), settings_.row_store),
      operator_table_(
          context, row_store_,
          {.table = platform::operator_table,
           .on_rows = [this](const auto& rows, auto)
           { apply_operator_rows(rows); },
           .poll_timeout = operator_poll_timeout}),
      listener_table_(
          context, row_store_,
          {.table = engine_status::listener_table,
           .on_rows = [this](const auto& rows, auto scope)
           { listeners_.apply(rows, scope); },
           .poll_timeout = listener_poll_timeout,
           .outage_poll_timeout = engine_status::listener_outage_interval,
           .retry_delay = engine_status::listener_outage_interval,
           .batch_delay = listener_batch_delay}),
      http_(
          context.get_executor(),
          {.connect_timeout = connect_timeout,
           .max_idle_connections = 1,
           .max_body_bytes = cache_relay::max_response_bytes}),
      socket_(
          context, asio::ip::udp::endpoint(
                       asio::ip::make_address(settings_.ip),
                       settings_.first_internal_port)),
      load_scheduler_(
          {.rollout_deadline = settings_.bounds.weight_rollout_deadline}),
      store_poller_(
          context, [this](const std::string& datagram)
          { send(datagram, engine_status::listener_role::gateway); }),
      prefill_update_timer_(context)
{
    operator_table_.start();
    listener_table_.start();
    status_.incarnation = runtime::random_incarnation();
    asio::co_spawn(context_, acquire_fencing_number(), asio::detached);
    asio::co_spawn(context_, poll_engine(), asio::detached);
    asio::co_spawn(
        context_,
        engine_status::register_listener(
            row_store_, settings_.vm,
            {.address = http::address{fmt::format(
                 "{}:{}", settings_.ip, settings_.first_internal_port)},
             .role = engine_status::listener_role::agent}),
        asio::detached);
    asio::co_spawn(context_, receive_datagrams(), asio::detached);
    asio::co_spawn(context_, run_sweeps(), asio::detached);
    telemetry::event("started")
        .with("vm", settings_.vm)
        .with("engine", engine_address(settings_))
        .with("store", settings_.row_store);
}

void app::stop()
{
    telemetry::event("stopped").with("vm", settings_.vm);
    context_.stop();
}

asio::awaitable<void> app::acquire_fencing_number()
{
    asio::steady_timer timer(context_);
    while (!fencing_)
    {
        const auto written = co_await row_store_.put(
            agent_table, settings_.vm.value(), settings_.ip);
        if (written)
        {
            // Positions only grow, so every restart gets a higher number.
            fencing_ = platform::make_fencing_number(written.value());
            telemetry::event("fencing_number_taken").with("number", *fencing_);
            co_return;
        }
        timer.expires_after(fencing_retry_delay);
        co_await timer.async_wait(completion_token);
    }
}

void app::apply_weight_target(
    const serving::weight_target& target, std::string_view source)
{
    const auto now = monotonic_clock::now();
    // Engines run only announced weights, so the weights of another engine
    // reveal a target that this agent could not read from the store.
    if (!load_scheduler_.set_target(target, now, !operator_table_read_))
    {
        return;
    }
    sweep_scheduler_.add_target(target, now);
    telemetry::event("weights_named")
        .with("model", target.model)
        .with("version", target.version)
        .with("source", source)
        .with("turn_by_us", (load_scheduler_.latest_start(now) - now).count())
        .with("at_once", load_scheduler_.max_concurrent_loads());
}

void app::apply_operator_rows(const platform::row_set& rows)
{
    for (auto& document : platform::decode_operator_rows(rows))
    {
        std::visit(
            overloaded{
                [](std::monostate) {},
                [this](const serving::configuration& next)
                {
                    if (next.number > configuration_number_)
                    {
                        configuration_number_ = next.number;
                        cache_stores_ = next.stores;
                        update_polled_stores();
                    }
                },
                [this](const serving::weight_target& target)
                { apply_weight_target(target, "store"); }},
            document);
    }
    operator_table_read_ = true;
}

asio::awaitable<void> app::receive_datagrams()
{
    std::array<char, engine_status::max_datagram_bytes> buffer{};
    asio::ip::udp::endpoint sender;
    for (;;)
    {
        const auto [error, size] = co_await socket_.async_receive_from(
            asio::buffer(buffer), sender, completion_token);
        if (error == asio::error::operation_aborted)
        {
            co_return;
        }
        const std::string_view datagram(buffer.data(), error ? 0 : size);
        if (engine_status::is_prefill_report(datagram))
        {
            handle_prefill_report(datagram);
            continue;
        }
        if (stream_origin::is_origin_note(datagram))
        {
            handle_origin_note(datagram);
            continue;
        }
        if (stream_origin::is_origin_question(datagram))
        {
            answer_origin_question(datagram, sender);
            continue;
        }
        const auto status = engine_status::decode_status(datagram);
        if (status && status.value().upstream != own_id_)
        {
            load_scheduler_.record_weights(
                status.value().upstream, status.value().weights);
            for (const auto& [model, version] : status.value().weights)
            {
                apply_weight_target({model, version}, "agent");
            }
        }
    }
}

asio::awaitable<void> app::refresh_engine_list()
{
    const auto now = monotonic_clock::now();
    const auto rows = co_await row_store_.read_table(platform::upstream_table);
    if (!rows)
    {
        next_list_refresh_ = now + list_retry_delay;
        co_return;
    }
    engines_.clear();
    for (const auto& row : rows.value().rows)
    {
        const auto entry = platform::decode_upstream_row(row);
        if (entry && entry->service == settings_.local_service)
        {
            engines_.insert_or_assign(entry->id, *entry);
        }
    }
    update_own_id();
    next_list_refresh_ =
        now +
        (own_id_.value().empty() ? list_retry_delay : list_refresh_interval);
}

std::vector<upstream_id> app::engine_ids() const
{
    std::vector<upstream_id> ids;
    ids.reserve(engines_.size());
    for (const auto& [id, entry] : engines_)
    {
        ids.push_back(id);
    }
    return ids;
}

void app::update_own_id()
{
    const auto previous_id = std::exchange(
        own_id_, find_local_engine(
                     engines_, engine_address(settings_), engine_.started_ms));
    if (own_id_ != previous_id)
    {
        telemetry::event("engine_listed").with("upstream", own_id_);
    }
    load_scheduler_.set_engines(engine_ids(), own_id_);
    update_polled_stores();
}

void app::update_polled_stores()
{
    if (own_id_.value().empty())
    {
        // Keeps the previous assignment while this engine is not listed; other
        // agents poll the same stores.
        return;
    }
    const auto ids = engine_ids();
    std::vector<serving::cache_store> assigned;
    for (const auto& store : cache_stores_)
    {
        if (rank_for_store(store.service, ids, own_id_) < pollers_per_store)
        {
            assigned.push_back(store);
        }
    }
    store_poller_.set_stores(assigned);
}

asio::awaitable<void> app::poll_engine()
{
    asio::steady_timer timer(context_);
    for (;;)
    {
        if (monotonic_clock::now() >= next_list_refresh_)
        {
            co_await refresh_engine_list();
        }
        const bool reachable = co_await read_engine_report();
        if (reachable != engine_reachable_)
        {
            engine_reachable_ = reachable;
            telemetry::event(reachable ? "engine_regained" : "engine_lost")
                .with("upstream", own_id_);
        }
        if (reachable && fencing_ && !own_id_.value().empty())
        {
            if (auto order =
                    load_scheduler_.next_order(engine_, monotonic_clock::now()))
            {
                co_await send_order(*order);
            }
        }
        order_pending_ = order_pending_ && load_scheduler_.is_outdated(engine_);
        if (reachable && !own_id_.value().empty())
        {
            publish_status(engine_.busy || order_pending_);
        }
        timer.expires_after(engine_poll_interval);
        co_await timer.async_wait(completion_token);
    }
}

asio::awaitable<bool> app::read_engine_report()
{
    auto request = platform::make_report_request();
    const auto answer = co_await http_.fetch(
        engine_address(settings_), std::move(request), engine_timeout);
    if (!answer || answer.value().status != status_ok)
    {
        co_return false;
    }
    auto report = platform::decode_report(answer.value().body);
    if (!report)
    {
        telemetry::event("report_malformed")
            .with("detail", report.error().detail)
            .warning();
        co_return false;
    }
    if (engine_.weights != report.value().weights)
    {
        for (const auto& [model, version] : report.value().weights)
        {
            telemetry::event("engine_runs_weights")
                .with("upstream", own_id_)
                .with("model", model)
                .with("version", version);
        }
    }
    if (engine_.started_ms != report.value().started_ms)
    {
        // The engine restarted; its new entry may not be listed yet.
        telemetry::event("engine_life_seen")
            .with("started_ms", report.value().started_ms);
        own_id_ = upstream_id{};
        order_pending_ = false;
        speed_ = upstream_speed::speed_collector{};
        next_list_refresh_ = monotonic_clock::now();
    }
    engine_ = engine_state{
        .weights = std::move(report.value().weights),
        .busy = report.value().busy,
        .accepted_orders = report.value().accepted_orders,
        .prompts_waiting = report.value().prompts_waiting,
        .running = report.value().running,
        .memory =
            {.used = report.value().memory_used,
             .total = report.value().memory_total},
        .started_ms = report.value().started_ms};
    co_return true;
}

void app::publish_status(bool loading)
{
    const auto now = monotonic_clock::now();
    auto next = status_;
    next.upstream = own_id_;
    next.prompts_waiting = engine_.prompts_waiting;
    next.running = engine_.running;
    next.memory = engine_.memory;
    next.loading = loading;
    next.weights = engine_.weights;
    if (next == status_ && now - status_sent_at_ < status_repeat_interval)
    {
        return;
    }
    const bool weights_changed = next.weights != status_.weights;
    ++next.sequence_number;
    status_ = std::move(next);
    status_sent_at_ = now;
    if (now - load_logged_at_ >= load_log_interval)
    {
        load_logged_at_ = now;
        telemetry::event("engine_load")
            .with("upstream", own_id_)
            .with("prompts_waiting", status_.prompts_waiting)
            .with("running", status_.running)
            .with("memory_used", status_.memory.used.value())
            .with("memory_total", status_.memory.total.value())
            .with("loading", status_.loading ? 1 : 0)
            .with("listeners", listeners_.entries().size());
    }
    send_status_to_gateways();
    if (weights_changed || now - agents_updated_at_ >= agent_repeat_interval)
    {
        agents_updated_at_ = now;
        send(
            engine_status::encode(status_),
            engine_status::listener_role::agent);
    }
}

void app::send(const std::string& datagram, engine_status::listener_role role)
{
    for (const auto& address : listeners_.addresses(role))
    {
        send(datagram, address);
    }
}

void app::send(
    const std::string& datagram, const asio::ip::udp::endpoint& address)
{
    // A failed send is ignored because a later datagram supersedes this one.
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(datagram), address, 0, ignored);
}

void app::send_status_to_gateways()
{
    const auto now = monotonic_clock::now();
    status_.speed = speed_.speed(now);
    if (!prefill_reports_.has_live_reports(now))
    {
        send(
            engine_status::encode(status_),
            engine_status::listener_role::gateway);
        return;
    }
    const auto total = prefill_reports_.total(now);
    for (const auto& [vm, listener] : listeners_.entries())
    {
        if (listener.role != engine_status::listener_role::gateway)
        {
            continue;
        }
        const auto receiver = prefill_reports_.from_gateway(vm, now);
        auto status = status_;
        status.prefill_of_other_gateways = serving::pending_prefill{
            .prompts = total.prompts - receiver.prompts,
            .prefill_time = total.prefill_time - receiver.prefill_time,
            .tokens = total.tokens - receiver.tokens};
        send(engine_status::encode(status), listener.address);
    }
}

void app::handle_prefill_report(std::string_view datagram)
{
    const auto report = engine_status::decode_prefill_report(datagram);
    if (!report || report.value().upstream != own_id_)
    {
        return;
    }
    const auto now = monotonic_clock::now();
    speed_.report(
        report.value().gateway, report.value().incarnation,
        report.value().measured, now);
    if (prefill_reports_.update(report.value(), now))
    {
        schedule_prefill_update();
    }
}

void app::handle_origin_note(std::string_view datagram)
{
    if (const auto note = stream_origin::decode_note(datagram))
    {
        noted_origins_.add(note.value(), monotonic_clock::now());
    }
}

void app::answer_origin_question(
    std::string_view datagram, const asio::ip::udp::endpoint& gateway)
{
    const auto question = stream_origin::decode_question(datagram);
    if (!question)
    {
        return;
    }
    const auto answer =
        noted_origins_.answer(question.value(), monotonic_clock::now());
    telemetry::event("stream_origins_answered")
        .with("gateway", gateway.address().to_string())
        .with("streams", question.value().streams.size())
        .with("known", answer.known.size())
        .with("noted", noted_origins_.size());
    send(stream_origin::encode(answer), gateway);
}

void app::schedule_prefill_update()
{
    if (std::exchange(prefill_update_pending_, true))
    {
        return;
    }
    prefill_update_timer_.expires_after(prefill_batch_delay);
    prefill_update_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            prefill_update_pending_ = false;
            if (!error && !status_.upstream.value().empty())
            {
                ++status_.sequence_number;
                send_status_to_gateways();
            }
        });
}

asio::awaitable<void> app::send_order(due_order order)
{
    constexpr unsigned status_misdirected = 421;
    // Gateways choose other engines from now on, so that this one does not
    // have to refuse their requests.
    order_pending_ = true;
    publish_status(true);
    auto request = platform::make_weight_switch_request(
        {.upstream = own_id_,
         .model = order.model,
         .version = order.version,
         .expected_orders = order.expected_orders,
         .holder = settings_.vm,
         .fencing = *fencing_});
    const auto answer = co_await http_.fetch(
        engine_address(settings_), std::move(request), engine_timeout);
    telemetry::event("order_given")
        .with("upstream", own_id_)
        .with("model", order.model)
        .with("version", order.version)
        .with("expected_orders", order.expected_orders)
        .with("fencing", *fencing_)
        .with(
            "answer", answer ? std::to_string(answer.value().status)
                             : answer.error().detail);
    if (answer && answer.value().status == status_misdirected)
    {
        order_pending_ = false;
        next_list_refresh_ = monotonic_clock::now();
    }
}

asio::awaitable<void> app::run_sweeps()
{
    asio::steady_timer timer(context_);
    for (;;)
    {
        timer.expires_after(sweep_check_interval);
        co_await timer.async_wait(completion_token);
        const auto due = sweep_scheduler_.due_sweeps(
            cache_stores_, engine_ids(), own_id_, monotonic_clock::now());
        for (const auto& sweep : due)
        {
            co_await sweep_store(sweep);
        }
    }
}

asio::awaitable<void> app::sweep_store(cache_sweep_scheduler::due_sweep due)
{
    const auto& store = due.store;
    const auto content =
        co_await cache_relay::read_content(http_, store, cache_store_timeout);
    if (!content)
    {
        telemetry::event("cache_sweep_failed")
            .with("store", store.service)
            .with("result", content.error().code)
            .warning();
        co_return;
    }
    auto parts =
        parts_of_older_weights(content.value(), due.model, due.oldest_kept);
    telemetry::event("cache_sweep")
        .with("store", store.service)
        .with("held", content.value().complete.size())
        .with("unfinished", content.value().incomplete.size())
        .with("freed", parts.size());
    while (!parts.empty())
    {
        const auto batch_size = std::min(parts.size(), max_parts_per_call);
        const std::vector<serving::part_key> batch(
            parts.end() - static_cast<std::ptrdiff_t>(batch_size), parts.end());
        parts.resize(parts.size() - batch_size);
        auto request =
            platform::make_free_request(batch, content.value().epoch);
        const auto answer = co_await http_.fetch(
            store.address, std::move(request), cache_store_timeout);
        if (!answer || answer.value().status != status_ok)
        {
            telemetry::event("cache_free_failed")
                .with("store", store.service)
                .with(
                    "answer", answer ? std::to_string(answer.value().status)
                                     : answer.error().detail)
                .warning();
            co_return;
        }
    }
}

} // namespace wagtailseam::agent
