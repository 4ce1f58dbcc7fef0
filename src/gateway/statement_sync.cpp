// Coroutines that send reports of limits and of leaving.
#include "gateway/statement_sync.hpp"

#include "upstream_statement/leaving_report.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// Limits the datagrams about an upstream that names a limit in some responses
/// only.
constexpr std::chrono::milliseconds repeat_delay{500};

} // namespace

statement_sync::statement_sync(
    asio::io_context& context, shared_state& state, const peer_directory& peers)
    : context_(context), state_(state), peers_(peers)
{
}

void statement_sync::start()
{
    state_.statements.on_limit_change(
        [this](const upstream_id& id)
        {
            if (reporting_limits_.insert(id).second)
            {
                asio::co_spawn(
                    context_, send_limit_reports(id), asio::detached);
            }
        });
    state_.statements.on_leaving(
        [this](const upstream_process& process) {
            asio::co_spawn(
                context_, send_leaving_reports(process), asio::detached);
        });
}

bool statement_sync::is_report(std::string_view datagram) noexcept
{
    return rate_limit::is_limit_report(datagram) ||
           upstream_statement::is_leaving_report(datagram);
}

void statement_sync::handle_datagram(std::string_view datagram)
{
    if (upstream_statement::is_leaving_report(datagram))
    {
        const auto process =
            upstream_statement::decode_leaving_report(datagram);
        if (!process)
        {
            state_.metrics.count("wagtail_statement_reports_dropped_total");
            return;
        }
        state_.statements.merge_leaving(process.value());
        return;
    }
    const auto report = rate_limit::decode_limit_report(datagram);
    if (!report)
    {
        state_.metrics.count("wagtail_statement_reports_dropped_total");
        return;
    }
    state_.statements.merge(report.value());
}

asio::awaitable<void> statement_sync::send_leaving_reports(
    upstream_process process)
{
    const auto report = upstream_statement::encode_leaving_report(process);
    peers_.send_to_all(report);
    asio::steady_timer timer(context_, repeat_delay);
    co_await timer.async_wait(completion);
    peers_.send_to_all(report);
}

asio::awaitable<void> statement_sync::send_limit_reports(upstream_id id)
{
    send_limit_report(id);
    asio::steady_timer timer(context_, repeat_delay);
    co_await timer.async_wait(completion);
    reporting_limits_.erase(id);
    send_limit_report(id);
}

void statement_sync::send_limit_report(const upstream_id& id) const
{
    if (const auto report = state_.statements.find_limit(id))
    {
        peers_.send_to_all(rate_limit::encode(*report));
    }
}

} // namespace wagtailseam::gateway
