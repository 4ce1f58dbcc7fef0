// Requests for reports, one at a time for each upstream.
#include "gateway/process_check.hpp"

#include "platform/engine_api.hpp"
#include "platform/request_codec.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
/// A report that comes too late for one stream still serves the next ones.
constexpr std::chrono::milliseconds report_timeout{400};
constexpr std::chrono::milliseconds list_check_interval{5};
/// A report names each run of its upstream in some dozen bytes. Reports of many
/// upstreams may be read at once.
constexpr std::size_t max_report_bytes = std::size_t{256} * 1024;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

/// Returns the start time in a report; 0 if the upstream states none.
result<std::uint64_t> decode_start_time(
    const result<http::response>& answer, const upstream_id& expected)
{
    if (!answer)
    {
        return boost::outcome_v2::failure(answer.error());
    }
    const auto instance =
        platform::decode_response_head(answer.value()).instance;
    if (instance && *instance != expected)
    {
        return fail(
            result_code::upstream_refused,
            "report of the upstream " + instance->value());
    }
    if (answer.value().status == status_not_found)
    {
        return std::uint64_t{0};
    }
    if (answer.value().status != status_ok)
    {
        return fail(
            result_code::upstream_refused,
            "status " + std::to_string(answer.value().status));
    }
    const auto report = platform::decode_report(answer.value().body);
    if (!report)
    {
        return boost::outcome_v2::failure(report.error());
    }
    return report.value().started_ms;
}

} // namespace

asio::awaitable<bool> process_check::leads_to_listed_process(
    serving::upstream entry, mono_time connected_at, duration limit)
{
    const auto deadline = monotonic_clock::now() + limit;
    const auto executor = co_await asio::this_coro::executor;
    while (entry.started_ms != 0 &&
           !state_.processes.leads_to(entry, connected_at))
    {
        const auto left = deadline - monotonic_clock::now();
        if (state_.processes.is_replaced(entry) || left <= duration::zero())
        {
            co_return false;
        }
        auto& slot = pending_[entry.address];
        const bool is_first = slot == nullptr;
        if (is_first)
        {
            slot = std::make_shared<pending_report>(executor);
            slot->sent_at = monotonic_clock::now();
        }
        // Other coroutines may replace the element.
        const auto pending = slot;
        if (is_first)
        {
            asio::co_spawn(
                executor, fetch_report(entry, pending), asio::detached);
        }
        asio::steady_timer timeout(executor, left);
        timeout.async_wait(
            [pending](const boost::system::error_code& error)
            {
                if (!error)
                {
                    pending->received.cancel();
                }
            });
        if (!pending->has_ended)
        {
            co_await pending->received.async_wait(completion);
        }
        if (pending->is_unstated)
        {
            co_return true;
        }
        if (pending->has_ended && pending->sent_at >= connected_at)
        {
            break;
        }
    }
    co_return entry.started_ms == 0 ||
        state_.processes.leads_to(entry, connected_at);
}

asio::awaitable<bool> process_check::is_running(serving::upstream entry)
{
    const auto report =
        std::make_shared<pending_report>(co_await asio::this_coro::executor);
    const auto answer = co_await receive_report(entry.address, report);
    const auto started_ms = decode_start_time(answer, entry.id);
    co_return started_ms && (started_ms.value() == 0 || entry.started_ms == 0 ||
                             started_ms.value() == entry.started_ms);
}

asio::awaitable<bool> process_check::confirms_process(serving::upstream entry)
{
    const auto report =
        std::make_shared<pending_report>(co_await asio::this_coro::executor);
    const auto answer = co_await receive_report(entry.address, report);
    const auto started_ms = decode_start_time(answer, entry.id);
    co_return started_ms&& started_ms.value() != 0 &&
        started_ms.value() == entry.started_ms;
}

asio::awaitable<bool> process_check::wait_until_replaced(
    upstream_process process, duration limit)
{
    const auto deadline = monotonic_clock::now() + limit;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!state_.upstreams.lists_successor(process))
    {
        if (monotonic_clock::now() >= deadline)
        {
            co_return false;
        }
        timer.expires_after(list_check_interval);
        co_await timer.async_wait(completion);
    }
    co_return true;
}

asio::awaitable<result<http::response>> process_check::receive_report(
    http::address upstream, std::shared_ptr<pending_report> pending)
{
    const auto deadline = monotonic_clock::now() + report_timeout;
    auto request = platform::make_report_request();
    auto opened = co_await upstream_client_.open(
        std::move(upstream), std::move(request), report_timeout);
    if (!opened)
    {
        co_return boost::outcome_v2::failure(opened.error());
    }
    // The request was written after the connection had been established.
    pending->sent_at =
        std::max(pending->sent_at, opened.value().connected_at());
    co_return co_await http::read_to_end(
        std::move(opened).value(), deadline - monotonic_clock::now(),
        max_report_bytes);
}

asio::awaitable<void> process_check::fetch_report(
    serving::upstream entry, std::shared_ptr<pending_report> pending)
{
    const auto answer = co_await receive_report(entry.address, pending);
    const auto started_ms = decode_start_time(answer, entry.id);
    std::string_view outcome = "failed";
    if (started_ms)
    {
        apply_report(entry, started_ms.value(), *pending);
        outcome = pending->is_unstated ? "unstated" : "stated";
    }
    else
    {
        telemetry::event("process_check_failed")
            .with("upstream", entry.id)
            .with("listed_ms", entry.started_ms)
            .with("detail", started_ms.error().detail);
    }
    state_.metrics.count("wagtail_process_checks_total", "outcome", outcome);
    pending->has_ended = true;
    pending_.erase(entry.address);
    pending->received.cancel();
}

void process_check::apply_report(
    const serving::upstream& entry, std::uint64_t started_ms,
    pending_report& pending)
{
    pending.is_unstated = started_ms == 0;
    if (pending.is_unstated)
    {
        return;
    }
    const bool is_new =
        started_ms > entry.started_ms && !state_.processes.is_replaced(entry);
    state_.processes.confirm(entry, started_ms, pending.sent_at);
    if (started_ms != entry.started_ms)
    {
        telemetry::event("unlisted_process_found")
            .with("upstream", entry.id)
            .with("listed_ms", entry.started_ms)
            .with("started_ms", started_ms);
        if (is_new)
        {
            state_.refresh_upstream_list();
        }
    }
}

} // namespace wagtailseam::gateway
