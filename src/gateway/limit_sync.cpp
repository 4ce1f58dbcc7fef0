// Coroutines that send limit reports.
#include "gateway/limit_sync.hpp"

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

limit_sync::limit_sync(
    asio::io_context& context, shared_state& state, const peer_directory& peers)
    : context_(context), state_(state), peers_(peers)
{
}

void limit_sync::start()
{
    state_.limits.on_change(
        [this](const upstream_id& id)
        {
            if (reporting_.insert(id).second)
            {
                asio::co_spawn(context_, send_reports(id), asio::detached);
            }
        });
}

void limit_sync::handle_datagram(std::string_view datagram)
{
    const auto report = rate_limit::decode_limit_report(datagram);
    if (!report)
    {
        state_.metrics.count("wagtail_limit_reports_dropped_total");
        return;
    }
    state_.limits.merge(report.value());
}

asio::awaitable<void> limit_sync::send_reports(upstream_id id)
{
    send_report(id);
    asio::steady_timer timer(context_, repeat_delay);
    co_await timer.async_wait(completion);
    reporting_.erase(id);
    send_report(id);
}

void limit_sync::send_report(const upstream_id& id) const
{
    if (const auto report = state_.limits.find(id))
    {
        peers_.send_to_all(rate_limit::encode(*report));
    }
}

} // namespace wagtailseam::gateway
