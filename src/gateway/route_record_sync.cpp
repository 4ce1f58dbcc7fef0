// Coroutines that keep the record of routes up to date.
#include "gateway/route_record_sync.hpp"

#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

constexpr std::chrono::milliseconds check_interval{200};
/// Reads after a change are spread over this time per gateway, so that the
/// first of them writes the record for the others.
constexpr std::chrono::milliseconds read_spread{2};
/// Pause after a failed read or write.
constexpr std::chrono::milliseconds retry_delay{1000};

} // namespace

route_record_sync::route_record_sync(
    asio::io_context& context, shared_state& state,
    platform::row_store_client& row_store, std::function<void()> on_read)
    : context_(context), state_(state), row_store_(row_store),
      on_read_(std::move(on_read))
{
}

void route_record_sync::start()
{
    row_store_.on_restored([this] { state_.streams.routes.forget_record(); });
    asio::co_spawn(context_, follow(), asio::detached);
}

asio::awaitable<void> route_record_sync::sleep_for(duration time)
{
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(completion);
}

asio::awaitable<result<void>> route_record_sync::read()
{
    const auto rows = co_await row_store_.read_table(route_record_table);
    if (!rows)
    {
        co_return boost::outcome_v2::failure(rows.error());
    }
    row_version_ = {};
    store_now_ = rows.value().store_now;
    std::optional<stream_origin::route_record> record;
    for (const auto& row : rows.value().rows)
    {
        if (row.key != route_record_key)
        {
            continue;
        }
        row_version_ = row.version;
        auto decoded =
            stream_origin::decode_route_record(row.value.value_or(""));
        if (!decoded)
        {
            telemetry::event("route_record_ignored")
                .with("detail", decoded.error().detail)
                .warning();
            continue;
        }
        record = std::move(decoded).value();
    }
    state_.streams.routes.set_record(
        std::move(record), store_now_, monotonic_clock::now());
    on_read_();
    co_return boost::outcome_v2::success();
}

asio::awaitable<void> route_record_sync::follow()
{
    for (;;)
    {
        if (!state_.streams.routes.needs_read())
        {
            co_await sleep_for(check_interval);
            continue;
        }
        const auto spread = std::chrono::duration_cast<duration>(
            read_spread * static_cast<std::int64_t>(std::max<std::size_t>(
                              1, state_.gateway_count())));
        co_await sleep_for(duration(static_cast<duration::rep>(
            state_.random.below(static_cast<std::uint64_t>(spread.count())))));
        const auto outcome = co_await read();
        if (!outcome)
        {
            state_.metrics.count("wagtail_stream_record_read_failures_total");
            co_await sleep_for(retry_delay);
            continue;
        }
        co_await write_if_due();
    }
}

asio::awaitable<void> route_record_sync::write_if_due()
{
    auto& routes = state_.streams.routes;
    auto due = routes.due_record(store_now_);
    if (!due)
    {
        co_return;
    }
    const platform::row_change change{
        .key = route_record_key, .value = stream_origin::encode(*due)};
    if (change.value->size() > max_route_record_bytes)
    {
        telemetry::event("route_record_too_large")
            .with("bytes", change.value->size())
            .with("limit", max_route_record_bytes)
            .warning();
        co_return;
    }
    const auto written =
        co_await row_store_.write_if(route_record_table, change, row_version_);
    const auto* const position =
        written ? std::get_if<platform::store_position>(&written.value())
                : nullptr;
    telemetry::event("route_record")
        .with("configuration", due->number)
        .with("replaced", due->replaced.size())
        .with(
            "result", position != nullptr ? "written"
                      : written           ? "conflict"
                                          : "failed")
        .with("detail", written ? "" : written.error().detail);
    if (position != nullptr)
    {
        row_version_ = position->version;
        routes.set_record(std::move(due), store_now_, monotonic_clock::now());
        on_read_();
        co_return;
    }
    // Another gateway may have written it.
    routes.forget_record();
    if (!written)
    {
        co_await sleep_for(retry_delay);
    }
}

} // namespace wagtailseam::gateway
