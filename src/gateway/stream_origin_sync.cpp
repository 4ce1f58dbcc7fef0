// Coroutines that read and write the records of streams and the regimes.
#include "gateway/stream_origin_sync.hpp"

#include "routing/rendezvous.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace wagtailseam::gateway
{
namespace
{

using stream_origin::version_regime;

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// The first event of a stream waits for its record at most about this long.
constexpr std::chrono::milliseconds min_write_interval{25};
/// Part of the agreed write rate of the store that the records may use.
constexpr double write_rate_share = 0.5;
/// An event of a stream is late if it is forwarded over 120 ms after it was
/// made.
constexpr std::chrono::milliseconds max_record_wait{80};
/// Pause after a failed write or read of the own record.
constexpr std::chrono::milliseconds record_retry_delay{250};
/// A caller that resumes a stream waits for the records at most this long.
constexpr std::chrono::milliseconds lookup_timeout{400};
constexpr std::chrono::milliseconds regime_check_interval{200};
/// Time after which streams that broke off are looked through again.
constexpr std::chrono::seconds expiry_interval{1};
/// Other gateways may make the regime single again.
constexpr std::chrono::seconds regime_reread_interval{10};
/// Writes of a regime are spread over this time per gateway, so that the
/// first of them spares the others theirs.
constexpr std::chrono::milliseconds regime_write_spread{2};

std::string part_name(std::uint64_t number)
{
    return std::to_string(number);
}

} // namespace

stream_origin_sync::stream_origin_sync(
    asio::io_context& context, shared_state& state,
    platform::row_store_client& row_store)
    : context_(context), state_(state), row_store_(row_store),
      route_record_sync_(
          context, state, row_store, [this] { record_moved_streams(); }),
      record_changed_(context),
      record_written_(context, asio::steady_timer::time_point::max()),
      own_part_(part_name(
          routing::stable_hash(state.settings.vm.value()) %
          stream_record_parts))
{
}

void stream_origin_sync::start()
{
    state_.streams.look_up_records =
        [this](const request_id& stream, const auto& target)
    { return look_up(stream, target); };
    state_.streams.wait_until_recorded = [this](std::uint64_t addition)
    { return wait_until_recorded(addition); };
    row_store_.on_restored(
        [this]
        {
            // The copy may contain a single regime although versions are mixed.
            for (auto& [service, tracker] : state_.streams.regimes)
            {
                set_regime(
                    service, stream_origin::unknown_regime{}, "store_restored");
            }
            rewrite_record();
        });
    route_record_sync_.start();
    asio::co_spawn(context_, write_records(), asio::detached);
    asio::co_spawn(context_, follow_regimes(), asio::detached);
}

void stream_origin_sync::apply_routes(
    const serving::configuration& configuration)
{
    state_.streams.routes.set(
        configuration.number, configuration.routes, monotonic_clock::now());
    record_moved_streams();
}

void stream_origin_sync::record_moved_streams()
{
    const auto now = monotonic_clock::now();
    auto& streams = state_.streams;
    const bool any_new = streams.open.mark_recorded(
        [&](const auto& target, const auto& begun_by)
        { return streams.routes.needs_record(target, begun_by.service, now); });
    if (any_new)
    {
        telemetry::event("stream_record_due").with("cause", "routes");
        rewrite_record();
    }
}

void stream_origin_sync::rewrite_record()
{
    recorded_additions_ = 0;
    record_changed_.cancel();
}

asio::awaitable<void> stream_origin_sync::sleep_for(duration time)
{
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(completion);
}

asio::awaitable<origin_lookup> stream_origin_sync::look_up(
    request_id stream, stream_origin::stream_target target)
{
    const auto read = co_await wait_for_read(stream, target);
    auto found = find_origin(*read, stream, target);
    co_return found;
}

origin_lookup stream_origin_sync::find_origin(
    const pending_read& read, const request_id& stream,
    const stream_origin::stream_target& target) const
{
    const auto find_in =
        [&](const stream_origin::origin_map& origins,
            std::string_view source) -> std::optional<origin_lookup>
    {
        const auto found = origins.find(stream);
        if (found == origins.end())
        {
            return std::nullopt;
        }
        return found->second.version
                   ? origin_lookup(origin_known{found->second, source})
                   : origin_unknown{};
    };
    if (read.rows)
    {
        if (const auto recorded = find_in(read.rows->origins, "record"))
        {
            return *recorded;
        }
    }
    if (read.noted)
    {
        if (const auto noted = find_in(read.noted->known, "agent"))
        {
            return *noted;
        }
    }
    return read.rows ? find_unrecorded_origin(read, target)
                     : origin_lookup_failed{read.failure};
}

origin_lookup stream_origin_sync::find_unrecorded_origin(
    const pending_read& read, const stream_origin::stream_target& target) const
{
    std::optional<origin_known> found;
    for (const auto& service :
         state_.streams.routes.candidates(target, monotonic_clock::now()))
    {
        const auto unrecorded = find_unrecorded_version(read, service);
        if (!unrecorded.version)
        {
            return origin_unknown{.known_in = unrecorded.known_in};
        }
        if (found && found->begun_by.version != unrecorded.version)
        {
            return origin_unknown{};
        }
        found = origin_known{
            .begun_by = {service, unrecorded.version},
            .source = unrecorded.source};
    }
    return found ? origin_lookup(*found) : origin_unknown{};
}

bool stream_origin_sync::covers_unrecorded(
    const snapshot& rows, const stream_origin::stream_target& target) const
{
    const auto services =
        state_.streams.routes.candidates(target, monotonic_clock::now());
    return std::all_of(
        services.begin(), services.end(),
        [&](const auto& service)
        {
            const auto regime = rows.regimes.find(service);
            return regime != rows.regimes.end() &&
                   stream_origin::certain_version(
                       regime->second, rows.store_now);
        });
}

stream_origin_sync::unrecorded_version
stream_origin_sync::find_unrecorded_version(
    const pending_read& read, const serving::service_id& service) const
{
    const auto regime = read.rows->regimes.find(service);
    const auto tracker = state_.streams.regimes.find(service);
    if (regime == read.rows->regimes.end())
    {
        return {};
    }
    if (const auto certain = stream_origin::certain_version(
            regime->second, read.rows->store_now))
    {
        return {.version = certain, .source = "regime"};
    }
    const auto named = stream_origin::named_version(regime->second);
    if (!named || tracker == state_.streams.regimes.end())
    {
        return {};
    }
    // Other versions may have begun streams whose records the store lost. They
    // are listed again soon, and agents know of their streams.
    const auto now = monotonic_clock::now();
    const auto settles_in = tracker->second.settles_in(now);
    if (settles_in != duration::zero())
    {
        if (tracker->second.needs_list(now))
        {
            state_.confirm_upstream_list();
        }
        return {.known_in = settles_in};
    }
    if (!read.noted || read.noted->is_partial)
    {
        return {};
    }
    const auto& recent = read.noted->recent;
    const bool is_contradicted = std::any_of(
        recent.begin(), recent.end(),
        [&](const auto& noted)
        { return noted.service == service && noted.version != named; });
    return is_contradicted
               ? unrecorded_version{}
               : unrecorded_version{.version = named, .source = "list"};
}

asio::awaitable<std::shared_ptr<const stream_origin_sync::pending_read>>
stream_origin_sync::wait_for_read(
    const request_id& stream, const stream_origin::stream_target& target)
{
    const bool is_first = next_read_ == nullptr;
    if (is_first)
    {
        next_read_ = std::make_shared<pending_read>(context_);
        next_read_->done.expires_after(lookup_timeout);
    }
    // The coroutine may take the read before co_spawn() returns.
    const auto pending = next_read_;
    pending->streams.insert_or_assign(stream, target);
    if (is_first && !reading_)
    {
        asio::co_spawn(context_, run_reads(), asio::detached);
    }
    co_await pending->done.async_wait(completion);
    std::shared_ptr<const pending_read> ended = pending;
    co_return ended;
}

asio::awaitable<void> stream_origin_sync::run_reads()
{
    reading_ = true;
    while (next_read_)
    {
        // Lookups from here on wait for the next read.
        const auto current = std::exchange(next_read_, nullptr);
        auto outcome = co_await read_snapshot();
        if (outcome)
        {
            apply_regimes(outcome.value().regimes);
            current->rows = std::move(outcome).value();
        }
        else
        {
            current->failure = outcome.error().detail;
            state_.metrics.count("wagtail_stream_record_read_failures_total");
        }
        co_await ask_agents(*current);
        current->done.cancel();
    }
    reading_ = false;
}

asio::awaitable<void> stream_origin_sync::ask_agents(pending_read& read)
{
    std::vector<request_id> unknown;
    for (const auto& [stream, target] : read.streams)
    {
        const bool is_recorded =
            read.rows && read.rows->origins.contains(stream);
        const bool is_covered =
            read.rows && covers_unrecorded(*read.rows, target);
        if (!is_recorded && !is_covered)
        {
            unknown.push_back(stream);
        }
    }
    if (!unknown.empty())
    {
        auto noted = co_await state_.streams.ask_agents(std::move(unknown));
        read.noted = std::move(noted);
    }
}

asio::awaitable<result<stream_origin_sync::snapshot>>
stream_origin_sync::read_snapshot()
{
    snapshot read;
    for (std::uint64_t part = 0; part < stream_record_parts; ++part)
    {
        const auto rows = co_await row_store_.read_table(
            stream_record_table, part_name(part));
        if (!rows)
        {
            co_return boost::outcome_v2::failure(rows.error());
        }
        for (const auto& row : rows.value().rows)
        {
            auto origins =
                stream_origin::decode_origins(row.value.value_or(""));
            if (!origins)
            {
                telemetry::event("stream_record_ignored")
                    .with("row", row.key)
                    .with("detail", origins.error().detail)
                    .warning();
                continue;
            }
            read.origins.merge(origins.value());
        }
    }
    const auto routes = co_await route_record_sync_.read();
    if (!routes)
    {
        co_return boost::outcome_v2::failure(routes.error());
    }
    const auto regimes = co_await row_store_.read_table(version_regime_table);
    if (!regimes)
    {
        co_return boost::outcome_v2::failure(regimes.error());
    }
    read.regimes = decode_regimes(regimes.value());
    read.store_now = regimes.value().store_now;
    co_return read;
}

stream_origin_sync::regime_map stream_origin_sync::decode_regimes(
    const platform::row_set& rows)
{
    regime_map regimes;
    const auto now = monotonic_clock::now();
    regime_rows_.clear();
    regimes_store_time_ = rows.store_now;
    for (const auto& row : rows.rows)
    {
        const serving::service_id service{row.key};
        const auto regime =
            stream_origin::decode_regime(row.value.value_or(""));
        if (!regime)
        {
            telemetry::event("version_regime_ignored")
                .with("service", service)
                .with("detail", regime.error().detail)
                .warning();
        }
        regime_rows_.emplace(service, row.version);
        // A row that cannot be decoded permits no assumption.
        regimes.emplace(
            service, regime ? stream_origin::regime_in_era(
                                  regime.value(), rows.position.era, now)
                            : version_regime(stream_origin::mixed_versions{}));
    }
    return regimes;
}

void stream_origin_sync::apply_regimes(const regime_map& read)
{
    regimes_read_at_ = monotonic_clock::now();
    for (const auto& [service, tracker] : state_.streams.regimes)
    {
        const auto found = read.find(service);
        set_regime(
            service,
            found == read.end() ? version_regime(stream_origin::absent_regime{})
                                : found->second,
            "read");
    }
}

void stream_origin_sync::set_regime(
    const serving::service_id& service, const version_regime& regime,
    std::string_view cause)
{
    const auto tracker = state_.streams.regimes.find(service);
    if (tracker == state_.streams.regimes.end())
    {
        return;
    }
    const auto previous = tracker->second.regime();
    // Also confirms a regime that has not changed.
    tracker->second.set_regime(regime);
    if (previous == regime)
    {
        return;
    }
    telemetry::event("version_regime")
        .with("service", service)
        .with("from", stream_origin::name(previous))
        .with("to", stream_origin::name(regime))
        .with("cause", cause);
    // Streams without a record began under a single version.
    rewrite_record();
}

duration stream_origin_sync::write_interval() const
{
    const std::chrono::duration<double> by_rate(
        static_cast<double>(state_.gateway_count()) /
        (write_rate_share * state_.settings.row_store_writes_per_second));
    return std::max<duration>(
        min_write_interval, std::chrono::duration_cast<duration>(by_rate));
}

asio::awaitable<void> stream_origin_sync::write_records()
{
    bool adopted = co_await adopt_own_record();
    while (!adopted)
    {
        co_await sleep_for(record_retry_delay);
        adopted = co_await adopt_own_record();
    }
    for (;;)
    {
        auto& open = state_.streams.open;
        open.expire(monotonic_clock::now());
        if (open.additions() == recorded_additions_)
        {
            record_changed_.expires_after(expiry_interval);
            co_await record_changed_.async_wait(completion);
            continue;
        }
        co_await write_record();
        record_written_.cancel();
        co_await sleep_for(
            record_failed_ ? duration(record_retry_delay) : write_interval());
    }
}

asio::awaitable<bool> stream_origin_sync::wait_until_recorded(
    std::uint64_t addition)
{
    record_changed_.cancel();
    const auto deadline = monotonic_clock::now() + max_record_wait;
    while (recorded_additions_ < addition && !record_failed_ &&
           monotonic_clock::now() < deadline)
    {
        asio::steady_timer timeout(context_, deadline - monotonic_clock::now());
        timeout.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    record_written_.cancel();
                }
            });
        co_await record_written_.async_wait(completion);
    }
    const bool recorded = recorded_additions_ >= addition;
    if (!recorded)
    {
        state_.metrics.count("wagtail_streams_not_recorded_total");
    }
    co_return recorded;
}

asio::awaitable<bool> stream_origin_sync::adopt_own_record()
{
    const auto rows =
        co_await row_store_.read_table(stream_record_table, own_part_);
    if (!rows)
    {
        telemetry::event("stream_record_not_adopted")
            .with("detail", rows.error().detail);
        co_return false;
    }
    for (const auto& row : rows.value().rows)
    {
        if (row.key != state_.settings.vm.value())
        {
            continue;
        }
        const auto origins =
            stream_origin::decode_origins(row.value.value_or(""));
        if (origins)
        {
            state_.streams.open.adopt(origins.value(), monotonic_clock::now());
        }
        telemetry::event("stream_record_adopted")
            .with("streams", origins ? origins.value().size() : 0)
            .with("detail", origins ? "" : origins.error().detail);
    }
    co_return true;
}

stream_origin::origin_map stream_origin_sync::streams_to_record() const
{
    return state_.streams.open.origins_to_record(
        [this](const auto& begun_by)
        { return state_.streams.needs_record(begun_by); });
}

asio::awaitable<void> stream_origin_sync::write_record()
{
    const auto additions = state_.streams.open.additions();
    const auto origins = streams_to_record();
    if (origins.empty())
    {
        recorded_additions_ = additions;
        co_return;
    }
    const auto written = co_await row_store_.put(
        stream_record_table, state_.settings.vm.value(),
        stream_origin::encode(origins), own_part_);
    state_.metrics.count(
        "wagtail_stream_record_writes_total", "result",
        written ? "ok" : "failed");
    if (written)
    {
        recorded_additions_ = additions;
    }
    if (written.has_error() != std::exchange(record_failed_, !written))
    {
        telemetry::event(
            written ? "stream_record_writes_regained"
                    : "stream_record_writes_lost")
            .with("streams", origins.size())
            .with("detail", written ? "" : written.error().detail);
    }
}

asio::awaitable<void> stream_origin_sync::follow_regimes()
{
    for (;;)
    {
        update_trackers();
        const auto& regimes = state_.streams.regimes;
        const bool needs_read = std::any_of(
            regimes.begin(), regimes.end(),
            [](const auto& entry) { return entry.second.needs_read(); });
        const bool any_to_reread = std::any_of(
            regimes.begin(), regimes.end(),
            [](const auto& entry)
            {
                const auto& regime = entry.second.regime();
                return std::holds_alternative<stream_origin::mixed_versions>(
                           regime) ||
                       std::holds_alternative<stream_origin::lapsed_version>(
                           regime);
            });
        const bool is_old =
            monotonic_clock::now() - regimes_read_at_ >= regime_reread_interval;
        if (needs_read || (any_to_reread && is_old))
        {
            (void)co_await read_regimes();
        }
        confirm_list_if_lapsed();
        if (!due_regimes().empty())
        {
            co_await write_due_regimes();
        }
        co_await sleep_for(regime_check_interval);
    }
}

void stream_origin_sync::update_trackers()
{
    if (!state_.routes || !state_.upstream_list_read)
    {
        return;
    }
    std::set<serving::service_id> services;
    for (const auto& route : state_.routes->config().routes)
    {
        if (!route.is_resumable_stream())
        {
            continue;
        }
        for (const auto& share : route.services)
        {
            services.insert(share.service);
        }
    }
    auto& regimes = state_.streams.regimes;
    std::erase_if(
        regimes,
        [&](const auto& entry) { return !services.contains(entry.first); });
    const auto now = monotonic_clock::now();
    for (const auto& service : services)
    {
        regimes[service].set_listed(
            state_.upstreams.software_versions(service, now),
            state_.upstream_list_read_at);
    }
}

stream_origin_sync::regime_map stream_origin_sync::due_regimes() const
{
    const auto now = monotonic_clock::now();
    regime_map due;
    for (const auto& [service, tracker] : state_.streams.regimes)
    {
        if (auto wanted = tracker.due_write(now, regimes_store_time_))
        {
            due.emplace(service, std::move(*wanted));
        }
    }
    return due;
}

void stream_origin_sync::confirm_list_if_lapsed()
{
    const auto now = monotonic_clock::now();
    const bool is_needed = std::any_of(
        state_.streams.regimes.begin(), state_.streams.regimes.end(),
        [&](const auto& entry)
        {
            const auto& tracker = entry.second;
            return std::holds_alternative<stream_origin::lapsed_version>(
                       tracker.regime()) &&
                   tracker.needs_list(now);
        });
    if (is_needed)
    {
        state_.confirm_upstream_list();
    }
}

asio::awaitable<bool> stream_origin_sync::read_regimes()
{
    const auto rows = co_await row_store_.read_table(version_regime_table);
    if (!rows)
    {
        state_.metrics.count("wagtail_stream_record_read_failures_total");
        co_return false;
    }
    apply_regimes(decode_regimes(rows.value()));
    co_return true;
}

asio::awaitable<void> stream_origin_sync::write_due_regimes()
{
    const auto spread = regime_write_spread *
                        static_cast<duration::rep>(
                            std::max<std::size_t>(1, state_.gateway_count()));
    co_await sleep_for(duration(static_cast<duration::rep>(
        state_.random.below(static_cast<std::uint64_t>(
            std::chrono::duration_cast<duration>(spread).count())))));
    const bool read = co_await read_regimes();
    if (!read)
    {
        co_return;
    }
    // Another gateway may have written them meanwhile.
    const auto due = due_regimes();
    for (const auto& [service, wanted] : due)
    {
        co_await write_regime(service, wanted);
    }
}

asio::awaitable<void> stream_origin_sync::write_regime(
    serving::service_id service, version_regime wanted)
{
    const auto row = regime_rows_.find(service);
    const auto expected =
        row == regime_rows_.end() ? platform::store_version{0} : row->second;
    const auto era = row_store_.era();
    const platform::row_change change{
        .key = service.value(),
        .value = stream_origin::encode(
            stream_origin::regime_record{.regime = wanted, .era = era})};
    const auto written =
        co_await row_store_.write_if(version_regime_table, change, expected);
    if (!written)
    {
        telemetry::event("version_regime_not_written")
            .with("service", service)
            .with("regime", stream_origin::name(wanted))
            .with("detail", written.error().detail);
        co_return;
    }
    const auto* const position =
        std::get_if<platform::store_position>(&written.value());
    if (position != nullptr && position->era == era)
    {
        regime_rows_.insert_or_assign(service, position->version);
        set_regime(service, wanted, "written");
        co_return;
    }
    // Another gateway wrote the row, or the store returned from a copy before
    // it executed the write.
    (void)co_await read_regimes();
}

} // namespace wagtailseam::gateway
