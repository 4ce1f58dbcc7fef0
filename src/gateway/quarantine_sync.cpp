// Coroutines that send, repeat, read and write crash records.
#include "gateway/quarantine_sync.hpp"

#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

constexpr std::chrono::milliseconds send_delay{10};
constexpr std::chrono::milliseconds repeat_interval{500};
/// Each gateway receives about this many repeated reports per interval,
/// whatever the number of gateways.
constexpr std::size_t repeat_receivers = 4;
/// As many records as fit into one datagram.
constexpr std::size_t repeated_records = 4;
/// Records that a gateway sends to one that has started. More of them than
/// upstreams can have crashed under during an outage of the store.
constexpr std::size_t introduced_records = 64;
constexpr std::chrono::seconds read_retry_delay{1};
/// Stands between the fingerprint and the VM in the key of a row.
constexpr char row_key_separator = '@';

void log_store_outcome(
    std::string_view event_name, std::size_t rows,
    const result<platform::store_position>& outcome)
{
    telemetry::event(event_name)
        .with("rows", rows)
        .with("outcome", outcome ? "written" : outcome.error().detail);
}

} // namespace

quarantine_sync::quarantine_sync(
    asio::io_context& context, shared_state& state,
    platform::row_store_client& row_store, const peer_directory& peers)
    : context_(context), state_(state), row_store_(row_store), peers_(peers),
      send_timer_(context)
{
}

void quarantine_sync::start()
{
    state_.crashes.on_unsent_records([this] { schedule_send(); });
    row_store_.on_restored([this]
                           { state_.crashes.quarantine().rewrite_all(); });
    asio::co_spawn(context_, read_rows(), asio::detached);
    asio::co_spawn(context_, repeat_records(), asio::detached);
}

void quarantine_sync::handle_datagram(std::string_view datagram)
{
    const auto reports = quarantine::decode_datagram(datagram);
    if (!reports)
    {
        state_.metrics.count("wagtail_crash_reports_dropped_total");
        return;
    }
    for (const auto& report : reports.value())
    {
        state_.crashes.merge(report, "gateway");
    }
}

void quarantine_sync::send_records(const asio::ip::udp::endpoint& receiver)
{
    const auto reports =
        state_.crashes.quarantine().next_repeated(introduced_records);
    for (const auto& datagram : quarantine::encode_datagrams(reports))
    {
        peers_.send(datagram, receiver);
    }
}

void quarantine_sync::schedule_send()
{
    if (std::exchange(send_scheduled_, true))
    {
        return;
    }
    send_timer_.expires_after(send_delay);
    send_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            send_scheduled_ = false;
            if (!error)
            {
                send_to_all(state_.crashes.quarantine().take_unsent());
                start_writing();
            }
        });
}

void quarantine_sync::start_writing()
{
    if (!writing_)
    {
        asio::co_spawn(context_, write_rows(), asio::detached);
    }
}

void quarantine_sync::send_to_all(
    const std::vector<quarantine::crash_report>& reports)
{
    for (const auto& datagram : quarantine::encode_datagrams(reports))
    {
        peers_.send_to_all(datagram);
    }
}

void quarantine_sync::send_to_some(
    const std::vector<quarantine::crash_report>& reports)
{
    const auto receivers = peers_.random_peers(repeat_receivers);
    for (const auto& datagram : quarantine::encode_datagrams(reports))
    {
        for (const auto& receiver : receivers)
        {
            peers_.send(datagram, receiver);
        }
    }
}

asio::awaitable<void> quarantine_sync::repeat_records()
{
    asio::steady_timer timer(context_);
    for (;;)
    {
        timer.expires_after(repeat_interval);
        co_await timer.async_wait(completion);
        auto& quarantine = state_.crashes.quarantine();
        if (!quarantine.has_records())
        {
            continue;
        }
        quarantine.remove_expired(wall_clock::now());
        send_to_all(quarantine.take_unsent());
        send_to_some(quarantine.next_repeated(repeated_records));
        start_writing();
    }
}

asio::awaitable<void> quarantine_sync::read_rows()
{
    asio::steady_timer timer(context_);
    for (;;)
    {
        const auto rows = co_await row_store_.read_table(quarantine_table);
        if (rows)
        {
            auto expired = apply_rows(rows.value());
            telemetry::event("quarantine_read")
                .with("rows", rows.value().rows.size())
                .with("expired", expired.size());
            if (!expired.empty())
            {
                // Rows that remain are removed at a later start.
                const auto count = expired.size();
                const auto removed = co_await row_store_.write(
                    quarantine_table, std::move(expired));
                log_store_outcome("quarantine_rows_removed", count, removed);
            }
            co_return;
        }
        telemetry::event("quarantine_read_failed")
            .with("detail", rows.error().detail)
            .warning();
        timer.expires_after(read_retry_delay);
        co_await timer.async_wait(completion);
    }
}

std::vector<platform::row_change> quarantine_sync::apply_rows(
    const platform::row_set& rows)
{
    std::vector<platform::row_change> expired;
    for (const auto& row : rows.rows)
    {
        const auto record = quarantine::decode(row.value.value_or(""));
        const auto key = digest::from_hex(
            row.key.substr(0, row.key.find(row_key_separator)));
        if (!record || key == digest{})
        {
            telemetry::event("quarantine_row_ignored")
                .with("row", row.key)
                .warning();
            continue;
        }
        if (record.value().expires > wall_clock::now())
        {
            state_.crashes.merge(
                {quarantine::content_fingerprint(key), record.value()},
                "store");
        }
        else if (expired.size() < platform::max_transaction_rows)
        {
            expired.push_back({.key = row.key, .value = std::nullopt});
        }
    }
    return expired;
}

std::string quarantine_sync::make_row_key(
    const quarantine::content_fingerprint& request) const
{
    return request.value().hex() + row_key_separator +
           state_.settings.vm.value();
}

asio::awaitable<void> quarantine_sync::write_rows()
{
    auto& quarantine = state_.crashes.quarantine();
    auto reports = quarantine.take_unwritten();
    if (reports.empty())
    {
        co_return;
    }
    if (reports.size() > platform::max_transaction_rows)
    {
        const auto rest = reports.begin() + platform::max_transaction_rows;
        quarantine.return_unwritten({rest, reports.end()});
        reports.erase(rest, reports.end());
    }
    std::vector<platform::row_change> changes;
    changes.reserve(reports.size());
    for (const auto& [request, record] : reports)
    {
        changes.push_back({make_row_key(request), encode(record)});
    }
    writing_ = true;
    const auto written =
        co_await row_store_.write(quarantine_table, std::move(changes));
    writing_ = false;
    if (!written)
    {
        quarantine.return_unwritten(reports);
    }
    log_store_outcome("quarantine_written", reports.size(), written);
}

} // namespace wagtailseam::gateway
