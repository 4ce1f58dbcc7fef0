// Loops of the agent.
#include "agent/app.hpp"

#include "agent/local_engine.hpp"
#include "agent/store_rank.hpp"
#include "cache_relay/store_calls.hpp"
#include "core/overloaded.hpp"
#include "http/endpoint.hpp"
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

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// Table of this system in which each agent numbers its lives.
constexpr const char* agent_table = "agents";
constexpr std::chrono::milliseconds engine_timeout{600};
constexpr std::chrono::milliseconds connect_timeout{300};
/// Between two looks at the engine, which cost nothing from its own VM.
constexpr std::chrono::milliseconds look_interval{100};
/// A word that says nothing new is sent again after this time; gateways trust
/// it for a second.
constexpr std::chrono::milliseconds repeat_interval{400};
/// Other agents need the weights alone, which they hear of at once.
constexpr std::chrono::milliseconds agents_interval{1000};
/// Claims that come within this time are told together; an engine gets some
/// ten requests a second.
constexpr std::chrono::milliseconds unread_gather{40};
constexpr std::chrono::seconds load_log_interval{1};
/// One may be away. Far below the polls that a store answers at once.
constexpr std::size_t watchers_of_store = 2;
/// Between two reads of the list of upstreams, and after a failed one. It is
/// needed for ranks and for this engine's id alone.
constexpr std::chrono::seconds list_interval{20};
constexpr std::chrono::milliseconds list_retry{1000};
constexpr std::chrono::seconds listener_poll{20};
/// All processes of a deployment announce themselves within seconds.
constexpr std::chrono::seconds listener_gather{2};
/// Half of the time in which all engines must have new weights.
constexpr std::chrono::seconds operator_poll{4};
constexpr std::chrono::milliseconds sweep_interval{500};
constexpr std::chrono::milliseconds store_timeout{1500};
constexpr std::chrono::milliseconds fencing_pause{400};
/// Parts in one call that frees.
constexpr std::size_t max_freed_parts = 400;
constexpr unsigned status_ok = 200;

http::address engine_address(const platform::process_settings& settings)
{
    if (!settings.local_upstream)
    {
        throw std::runtime_error("no engine on this VM");
    }
    return *settings.local_upstream;
}

} // namespace

app::app(asio::io_context& context, platform::process_settings settings)
    : context_(context), settings_(std::move(settings)),
      store_(context.get_executor(), settings_.row_store),
      operator_table_(
          context, store_,
          {.table = platform::operator_table,
           .on_rows = [this](const auto& rows, bool)
           { take_operator_rows(rows); },
           .poll_timeout = operator_poll}),
      listener_table_(
          context, store_,
          {.table = engine_status::listener_table,
           .on_rows = [this](const auto& rows, bool whole)
           { take_listener_rows(rows, whole); },
           .poll_timeout = listener_poll,
           .batch_delay = listener_gather}),
      http_(
          context.get_executor(),
          {.connect_timeout = connect_timeout, .max_idle = 1}),
      words_(
          context, asio::ip::udp::endpoint(
                       asio::ip::make_address(settings_.ip),
                       settings_.first_internal_port)),
      turns_({.bound = settings_.bounds.weight_rollout_deadline}),
      watch_(
          context, [this](const std::string& datagram)
          { send(datagram, engine_status::listener_role::gateway); }),
      unread_timer_(context)
{
    operator_table_.start();
    listener_table_.start();
    word_.incarnation = runtime::random_incarnation();
    asio::co_spawn(context_, take_fencing_number(), asio::detached);
    asio::co_spawn(context_, watch_engine(), asio::detached);
    asio::co_spawn(
        context_,
        engine_status::register_listener(
            store_, settings_.vm,
            {.address = http::address{fmt::format(
                 "{}:{}", settings_.ip, settings_.first_internal_port)},
             .role = engine_status::listener_role::agent}),
        asio::detached);
    asio::co_spawn(context_, hear_agents(), asio::detached);
    asio::co_spawn(context_, sweep_stores(), asio::detached);
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

asio::awaitable<void> app::take_fencing_number()
{
    asio::steady_timer timer(context_);
    while (!fencing_)
    {
        const auto written = co_await store_.put(
            agent_table, settings_.vm.value(), settings_.ip);
        if (written)
        {
            // The store's versions grow, so a later life has a higher number.
            fencing_ = fencing_number{written.value().value()};
            telemetry::event("fencing_number_taken").with("number", *fencing_);
            co_return;
        }
        timer.expires_after(fencing_pause);
        co_await timer.async_wait(completion);
    }
}

void app::take_weight_target(
    const serving::weight_target& target, std::string_view source)
{
    const auto now = monotonic_clock::now();
    // An engine runs only weights that were named, so another engine's are
    // news when the store's did not come through.
    if (!turns_.name(target, now, !operator_read_))
    {
        return;
    }
    sweep_.name(target, now);
    telemetry::event("weights_named")
        .with("model", target.model)
        .with("version", target.version)
        .with("source", source)
        .with("turn_by_us", (turns_.latest_turn(now) - now).count())
        .with("at_once", turns_.engines_at_once());
}

void app::take_operator_rows(const platform::row_set& rows)
{
    for (auto& document : platform::decode_operator_rows(rows))
    {
        std::visit(
            overloaded{
                [](std::monostate) {},
                [this](const serving::configuration& next)
                {
                    if (next.number > configuration_)
                    {
                        configuration_ = next.number;
                        cache_stores_ = next.stores;
                        watch_stores();
                    }
                },
                [this](const serving::weight_target& target)
                { take_weight_target(target, "store"); }},
            document);
    }
    operator_read_ = true;
}

void app::take_listener_rows(const platform::row_set& rows, bool whole_table)
{
    if (whole_table)
    {
        listeners_.clear();
    }
    for (const auto& row : rows.rows)
    {
        if (!row.value)
        {
            listeners_.erase(row.key);
            continue;
        }
        const auto listener = engine_status::decode_listener(*row.value);
        const auto address = listener ? http::parse_endpoint(listener->address)
                                      : result<asio::ip::tcp::endpoint>(fail(
                                            result_code::malformed_message));
        if (!address)
        {
            telemetry::event("listener_row_ignored")
                .with("row", row.key)
                .warning();
            continue;
        }
        listeners_.insert_or_assign(
            row.key,
            known_listener{
                .address = {address.value().address(), address.value().port()},
                .role = listener->role});
    }
}

asio::awaitable<void> app::hear_agents()
{
    std::array<char, engine_status::max_datagram_bytes> bytes{};
    for (;;)
    {
        const auto [failed, size] =
            co_await words_.async_receive(asio::buffer(bytes), completion);
        if (failed == asio::error::operation_aborted)
        {
            co_return;
        }
        if (engine_status::is_prefill_report({bytes.data(), failed ? 0 : size}))
        {
            take_claim({bytes.data(), size});
            continue;
        }
        const auto said = engine_status::decode_status({bytes.data(), size});
        if (said && said.value().upstream != self_)
        {
            turns_.hear(said.value().upstream, said.value().weights);
            for (const auto& [model, version] : said.value().weights)
            {
                take_weight_target({model, version}, "agent");
            }
        }
    }
}

asio::awaitable<void> app::read_engine_list()
{
    const auto now = monotonic_clock::now();
    const auto rows = co_await store_.read_table(platform::upstream_table);
    if (!rows)
    {
        next_list_read_ = now + list_retry;
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
    find_place();
    next_list_read_ =
        now + (self_.value().empty() ? list_retry : list_interval);
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

void app::find_place()
{
    const auto before = std::exchange(
        self_, find_local_engine(
                   engines_, engine_address(settings_), engine_.started_ms));
    if (self_ != before)
    {
        telemetry::event("engine_listed").with("upstream", self_);
    }
    turns_.place(engine_ids(), self_);
    watch_stores();
}

void app::watch_stores()
{
    if (self_.value().empty())
    {
        // Not listed for now: what it watched goes on, others watch as well.
        return;
    }
    const auto ids = engine_ids();
    std::vector<serving::cache_store> mine;
    for (const auto& store : cache_stores_)
    {
        if (rank_for_store(store.service, ids, self_) < watchers_of_store)
        {
            mine.push_back(store);
        }
    }
    watch_.use(mine);
}

asio::awaitable<void> app::watch_engine()
{
    asio::steady_timer timer(context_);
    for (;;)
    {
        if (monotonic_clock::now() >= next_list_read_)
        {
            co_await read_engine_list();
        }
        const bool known = co_await read_engine();
        if (known != engine_known_)
        {
            engine_known_ = known;
            telemetry::event(known ? "engine_regained" : "engine_lost")
                .with("upstream", self_);
        }
        if (known && fencing_ && !self_.value().empty())
        {
            if (auto order = turns_.due(engine_, monotonic_clock::now()))
            {
                co_await give_order(*order);
            }
        }
        order_pending_ = order_pending_ && turns_.behind(engine_);
        if (known && !self_.value().empty())
        {
            tell_others(engine_.busy || order_pending_);
        }
        timer.expires_after(look_interval);
        co_await timer.async_wait(completion);
    }
}

asio::awaitable<bool> app::read_engine()
{
    auto asked = platform::make_report_request();
    const auto answer = co_await http_.fetch(
        engine_address(settings_), std::move(asked), engine_timeout);
    if (!answer || answer.value().status != status_ok)
    {
        co_return false;
    }
    auto read = platform::decode_report(answer.value().body);
    if (!read)
    {
        telemetry::event("report_malformed")
            .with("detail", read.error().detail)
            .warning();
        co_return false;
    }
    if (engine_.weights != read.value().weights)
    {
        for (const auto& [model, version] : read.value().weights)
        {
            telemetry::event("engine_runs_weights")
                .with("upstream", self_)
                .with("model", model)
                .with("version", version);
        }
    }
    if (engine_.started_ms != read.value().started_ms)
    {
        // Another life; its entry may not be in the list yet.
        telemetry::event("engine_life_seen")
            .with("started_ms", read.value().started_ms);
        self_ = upstream_id{};
        order_pending_ = false;
        next_list_read_ = monotonic_clock::now();
    }
    engine_ = engine_state{
        .weights = std::move(read.value().weights),
        .busy = read.value().busy,
        .orders = read.value().accepted_orders,
        .prompts_waiting = read.value().prompts_waiting,
        .running = read.value().running,
        .started_ms = read.value().started_ms};
    co_return true;
}

void app::tell_others(bool loading)
{
    const auto now = monotonic_clock::now();
    auto next = word_;
    next.upstream = self_;
    next.prompts_waiting = engine_.prompts_waiting;
    next.running = engine_.running;
    next.loading = loading;
    next.weights = engine_.weights;
    if (next == word_ && now - word_sent_ < repeat_interval)
    {
        return;
    }
    const bool for_agents = next.weights != word_.weights;
    ++next.sequence_number;
    word_ = std::move(next);
    word_sent_ = now;
    if (now - load_logged_ >= load_log_interval)
    {
        load_logged_ = now;
        telemetry::event("engine_load")
            .with("upstream", self_)
            .with("prompts_waiting", word_.prompts_waiting)
            .with("running", word_.running)
            .with("loading", word_.loading ? 1 : 0)
            .with("listeners", listeners_.size());
    }
    send_to_gateways();
    if (for_agents || now - agents_told_ >= agents_interval)
    {
        agents_told_ = now;
        send(engine_status::encode(word_), engine_status::listener_role::agent);
    }
}

void app::send(const std::string& datagram, engine_status::listener_role to)
{
    for (const auto& [vm, listener] : listeners_)
    {
        if (listener.role == to)
        {
            send(datagram, listener.address);
        }
    }
}

void app::send(
    const std::string& datagram, const asio::ip::udp::endpoint& address)
{
    // A datagram that cannot be sent is made up by the next one.
    boost::system::error_code ignored;
    words_.send_to(asio::buffer(datagram), address, 0, ignored);
}

void app::send_to_gateways()
{
    const auto now = monotonic_clock::now();
    if (!claims_.has_live_reports(now))
    {
        send(
            engine_status::encode(word_),
            engine_status::listener_role::gateway);
        return;
    }
    const auto all = claims_.total(now);
    for (const auto& [vm, listener] : listeners_)
    {
        if (listener.role != engine_status::listener_role::gateway)
        {
            continue;
        }
        const auto own = claims_.from_gateway(vm_id{vm}, now);
        auto word = word_;
        word.prefill_of_other_gateways = serving::unread_work{
            .prompts = all.prompts - own.prompts,
            .reading = all.reading - own.reading};
        send(engine_status::encode(word), listener.address);
    }
}

void app::take_claim(std::string_view datagram)
{
    const auto said = engine_status::decode_prefill_report(datagram);
    if (said && said.value().upstream == self_ &&
        claims_.update(said.value(), monotonic_clock::now()))
    {
        tell_unread_soon();
    }
}

void app::tell_unread_soon()
{
    if (std::exchange(unread_to_tell_, true))
    {
        return;
    }
    unread_timer_.expires_after(unread_gather);
    unread_timer_.async_wait(
        [this](const boost::system::error_code& failed)
        {
            unread_to_tell_ = false;
            if (!failed && !word_.upstream.value().empty())
            {
                ++word_.sequence_number;
                send_to_gateways();
            }
        });
}

asio::awaitable<void> app::give_order(due_order order)
{
    constexpr unsigned status_misdirected = 421;
    // Gateways send elsewhere from now on instead of being refused.
    order_pending_ = true;
    tell_others(true);
    auto call = platform::make_weight_switch_request(
        {.upstream = self_,
         .model = order.model,
         .version = order.version,
         .expected_orders = order.expected_orders,
         .holder = settings_.vm,
         .fencing = *fencing_});
    const auto answer = co_await http_.fetch(
        engine_address(settings_), std::move(call), engine_timeout);
    telemetry::event("order_given")
        .with("upstream", self_)
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
        next_list_read_ = monotonic_clock::now();
    }
}

asio::awaitable<void> app::sweep_stores()
{
    asio::steady_timer timer(context_);
    for (;;)
    {
        timer.expires_after(sweep_interval);
        co_await timer.async_wait(completion);
        const auto due = sweep_.due(
            cache_stores_, engine_ids(), self_, monotonic_clock::now());
        for (const auto& one : due)
        {
            co_await sweep(one);
        }
    }
}

asio::awaitable<void> app::sweep(cache_sweep_scheduler::due_sweep due)
{
    const auto& store = due.store;
    const auto content =
        co_await cache_relay::read_content(http_, store, store_timeout);
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
        .with("held", content.value().held.size())
        .with("unfinished", content.value().unfinished.size())
        .with("freed", parts.size());
    while (!parts.empty())
    {
        const auto size = std::min(parts.size(), max_freed_parts);
        const std::vector<serving::kept_part> batch(
            parts.end() - static_cast<std::ptrdiff_t>(size), parts.end());
        parts.resize(parts.size() - size);
        auto call = platform::make_free_request(batch, content.value().epoch);
        const auto freed =
            co_await http_.fetch(store.address, std::move(call), store_timeout);
        if (!freed || freed.value().status != status_ok)
        {
            telemetry::event("cache_free_failed")
                .with("store", store.service)
                .with(
                    "answer", freed ? std::to_string(freed.value().status)
                                    : freed.error().detail)
                .warning();
            co_return;
        }
    }
}

} // namespace wagtailseam::agent
