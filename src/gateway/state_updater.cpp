// The loops that follow the platform.
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

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// Polls of cache stores; the trust of cache_view covers one of them.
constexpr std::chrono::milliseconds cache_wait{1000};
/// Gathers changes, so that a busy store is polled a few times a second.
constexpr std::chrono::milliseconds cache_pause{250};
constexpr std::chrono::milliseconds cache_timeout{1400};
/// A store answers few polls at once; the others are refused.
constexpr std::chrono::milliseconds cache_retry_pause{1000};
/// Agents pass on what a store says at least once a second.
constexpr std::chrono::milliseconds relay_trust{1300};
/// Agents learn of a new gateway within this time.
constexpr std::chrono::seconds relay_start{3};
constexpr std::chrono::milliseconds catch_up_spread{100};
/// Agents forget a claim that is not repeated within 1.3 s.
constexpr std::chrono::milliseconds claim_interval{400};
constexpr std::chrono::milliseconds cache_connect_timeout{300};
/// The list forgets live upstreams while the store is away, and has them back
/// this long after its return.
constexpr std::chrono::milliseconds relisting_time{2500};
constexpr std::chrono::seconds unstable_time{3};
/// Of the time after a disturbance: the second after which a call on a silent
/// connection is given up, the pause after it, and the call that succeeds.
constexpr std::chrono::milliseconds poll_margin{1600};
/// The list of upstreams may be some seconds old: attempts and agents tell more
/// and earlier. It changes with every order and heartbeat that matters, so
/// changes are gathered.
constexpr std::chrono::seconds upstream_poll{6};
constexpr std::chrono::milliseconds upstream_gather{400};
/// Kept below the agreed time: a change waits for the gathering, and requests
/// already under way arrive later.
constexpr auto drain_margin = upstream_gather + std::chrono::milliseconds(300);

} // namespace

feeds::feeds(
    asio::io_context& context, shared_state& known,
    std::function<void()> configured)
    : context_(context), known_(known), configured_(std::move(configured)),
      store_(context.get_executor(), known.settings.row_store),
      operator_table_(
          context, store_,
          {.table = platform::operator_table,
           .on_rows = [this](const auto& rows, bool)
           { take_operator_rows(rows); },
           .poll_timeout =
               known.settings.bounds.resync_deadline - poll_margin}),
      upstream_table_(
          context, store_,
          {.table = platform::upstream_table,
           .on_rows = [this](const auto& rows, bool whole)
           { take_upstream_rows(rows, whole); },
           .poll_timeout = upstream_poll,
           .batch_delay = upstream_gather}),
      agents_(
          context, asio::ip::udp::endpoint(
                       asio::ip::make_address(known.settings.ip),
                       known.settings.first_internal_port)),
      caches_(
          context.get_executor(),
          {.connect_timeout = cache_connect_timeout, .max_idle = 1})
{
}

void feeds::start()
{
    operator_table_.start();
    upstream_table_.start();
    asio::co_spawn(
        context_,
        engine_status::register_listener(
            store_, known_.settings.vm,
            {.address =
                 http::address{
                     known_.settings.ip + ":" +
                     std::to_string(known_.settings.first_internal_port)}}),
        asio::detached);
    asio::co_spawn(context_, hear_agents(), asio::detached);
    known_.unread_changed = [this](const auto& id) { claim_unread(id); };
    asio::co_spawn(context_, repeat_claims(), asio::detached);
}

asio::awaitable<void> feeds::hear_agents()
{
    std::array<char, engine_status::max_datagram_bytes> bytes{};
    asio::ip::udp::endpoint from;
    for (;;)
    {
        const auto [failed, size] = co_await agents_.async_receive_from(
            asio::buffer(bytes), from, completion);
        if (failed == asio::error::operation_aborted)
        {
            co_return;
        }
        const std::string_view datagram(bytes.data(), failed ? 0 : size);
        if (cache_relay::is_store_update(datagram))
        {
            take_notice(datagram);
        }
        else
        {
            take_status(datagram, from);
        }
    }
}

void feeds::take_status(
    std::string_view datagram, const asio::ip::udp::endpoint& from)
{
    const auto said = engine_status::decode_status(datagram);
    if (!said)
    {
        known_.metrics.count("wagtail_agent_datagrams_dropped_total");
        return;
    }
    const auto& word = said.value();
    auto& last = last_words_[word.upstream];
    if (last.first == word.incarnation && last.second >= word.sequence_number)
    {
        return;
    }
    last = {word.incarnation, word.sequence_number};
    agent_of_.insert_or_assign(word.upstream, from);
    known_.upstreams.update_load(
        word.upstream,
        {.prompts_waiting = word.prompts_waiting,
         .running = word.running,
         .loading_weights = word.loading,
         .weights = word.weights,
         .prefill_of_other_gateways = word.prefill_of_other_gateways},
        monotonic_clock::now());
}

void feeds::claim_unread(const upstream_id& id)
{
    const auto agent = agent_of_.find(id);
    if (agent == agent_of_.end())
    {
        return;
    }
    const auto datagram = engine_status::encode(engine_status::prefill_report{
        .gateway = known_.settings.vm,
        .upstream = id,
        .incarnation = life_,
        .sequence_number = ++claims_,
        .pending_prefill = known_.upstreams.own_pending_prefill(id)});
    // A claim that cannot be sent is made up by the next one.
    boost::system::error_code ignored;
    agents_.send_to(asio::buffer(datagram), agent->second, 0, ignored);
}

asio::awaitable<void> feeds::repeat_claims()
{
    for (;;)
    {
        co_await pause(claim_interval);
        for (const auto& id : known_.upstreams.upstreams_with_own_prefill())
        {
            claim_unread(id);
        }
    }
}

void feeds::take_notice(std::string_view datagram)
{
    const auto news = cache_relay::decode(datagram);
    if (!news)
    {
        known_.metrics.count("wagtail_agent_datagrams_dropped_total");
        return;
    }
    const auto& store = news.value().store;
    if (news.value().unreachable)
    {
        known_.caches.mark_unreachable(store);
        return;
    }
    const auto now = monotonic_clock::now();
    relayed_.insert_or_assign(store, now);
    const auto lack = known_.caches.apply(store, news.value().answer, now);
    const auto followed = followed_.find(store);
    if (lack != serving::resync_action::none && followed != followed_.end() &&
        catching_up_.insert(store).second)
    {
        asio::co_spawn(context_, catch_up(followed->second), asio::detached);
    }
}

asio::awaitable<void> feeds::catch_up(serving::cache_store store)
{
    // Other gateways may lack the same, and datagrams may cross.
    co_await pause(duration(static_cast<duration::rep>(known_.random.below(
        std::uint64_t(duration(catch_up_spread).count())))));
    known_.metrics.count("wagtail_cache_store_catch_ups_total");
    (void)co_await poll_cache(store, duration::zero());
    catching_up_.erase(store.service);
}

asio::awaitable<void> feeds::pause(duration time)
{
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(completion);
}

void feeds::take_operator_rows(const platform::row_set& rows)
{
    known_.operator_heard = monotonic_clock::now();
    for (auto& document : platform::decode_operator_rows(rows))
    {
        std::visit(
            overloaded{
                [](std::monostate) {},
                [this](serving::configuration& next)
                { take_configuration(std::move(next)); },
                [this](serving::weight_target& target)
                { take_weight_target(target); }},
            document);
    }
    first_operator_read_ = false;
}

void feeds::take_configuration(serving::configuration read)
{
    if (known_.routes && read.number <= known_.routes->config().number)
    {
        return;
    }
    telemetry::event("configuration_in_force")
        .with("number", read.number)
        .with("routes", read.routes.size())
        .with("workspaces", read.workspaces.size())
        .with("stores", read.stores.size());
    known_.caches.set_stores(read.stores);
    std::erase_if(
        followed_,
        [&](const auto& entry)
        {
            return std::none_of(
                read.stores.begin(), read.stores.end(),
                [&](const auto& store)
                { return store.service == entry.first; });
        });
    for (const auto& store : read.stores)
    {
        const auto [followed, is_new] =
            followed_.insert_or_assign(store.service, store);
        if (is_new)
        {
            asio::co_spawn(
                context_, follow_cache(store.service), asio::detached);
        }
    }
    known_.routes =
        std::make_shared<const serving::route_table>(std::move(read));
    configured_();
}

void feeds::take_weight_target(const serving::weight_target& read)
{
    const auto known = known_.weight_targets.find(read.model);
    if (known != known_.weight_targets.end() &&
        known->second.version >= read.version)
    {
        return;
    }
    known_.weight_targets.insert_or_assign(
        read.model, known_target{
                        .version = read.version,
                        .learned = monotonic_clock::now(),
                        .at_start = first_operator_read_});
    telemetry::event("weights_named")
        .with("model", read.model)
        .with("version", read.version);
}

duration feeds::missing_grace() const
{
    const bool unstable =
        monotonic_clock::now() - upstream_table_.last_failure() < unstable_time;
    const duration usual = known_.settings.bounds.drain_deadline - drain_margin;
    return unstable ? std::max<duration>(usual, relisting_time) : usual;
}

void feeds::take_upstream_rows(const platform::row_set& rows, bool whole_table)
{
    const mono_time now = monotonic_clock::now();
    std::vector<serving::upstream> listed;
    for (const auto& row : rows.rows)
    {
        auto entry = platform::decode_upstream_row(row);
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
            known_.upstreams.upsert(*entry);
        }
        else if (!row.value)
        {
            telemetry::event("upstream_unlisted")
                .with("upstream", row.key)
                .with("grace_us", missing_grace().count());
            known_.upstreams.remove(upstream_id{row.key}, missing_grace(), now);
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
        telemetry::event("upstreams_read").with("count", listed.size());
        known_.upstreams.replace(listed, missing_grace(), now);
        known_.upstreams_listed = true;
    }
}

bool feeds::is_relayed(const service_id& store) const
{
    const auto heard = relayed_.find(store);
    const auto since = heard == relayed_.end() ? begun_ : heard->second;
    return monotonic_clock::now() - since <
           (heard == relayed_.end() ? relay_start : relay_trust);
}

asio::awaitable<void> feeds::follow_cache(service_id name)
{
    bool reachable = true;
    while (followed_.contains(name))
    {
        if (is_relayed(name))
        {
            co_await pause(cache_pause);
            continue;
        }
        const auto store = followed_.at(name);
        const bool answered = co_await poll_cache(store, cache_wait);
        if (answered != reachable)
        {
            reachable = answered;
            telemetry::event(
                answered ? "cache_store_regained" : "cache_store_lost")
                .with("store", store.service)
                .with("address", store.address);
        }
        co_await pause(answered ? cache_pause : cache_retry_pause);
    }
}

asio::awaitable<bool> feeds::poll_cache(
    const serving::cache_store& store, duration wait)
{
    const auto after = known_.caches.poll_cursor(store.service);
    const auto read = co_await cache_relay::read_changes(
        caches_, store, after, wait, cache_timeout);
    if (!read)
    {
        const auto code = read.error().code;
        if (code != result_code::malformed_json)
        {
            known_.metrics.count("wagtail_cache_store_failures_total");
        }
        if (code != result_code::malformed_json &&
            code != result_code::upstream_refused)
        {
            known_.caches.mark_unreachable(store.service);
        }
        co_return false;
    }
    const auto lack = known_.caches.apply(
        store.service, read.value(), monotonic_clock::now());
    if (lack != serving::resync_action::read_content)
    {
        co_return true;
    }
    co_return co_await list_cache(store);
}

asio::awaitable<bool> feeds::list_cache(const serving::cache_store& store)
{
    const auto read =
        co_await cache_relay::read_content(caches_, store, cache_timeout);
    if (!read)
    {
        known_.caches.mark_unreachable(store.service);
        co_return false;
    }
    known_.caches.apply(store.service, read.value(), monotonic_clock::now());
    telemetry::event("cache_content_read")
        .with("store", store.service)
        .with("parts", read.value().complete.size());
    co_return true;
}

} // namespace wagtailseam::gateway
