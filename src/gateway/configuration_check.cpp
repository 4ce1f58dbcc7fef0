// Reads of the operator's table that requests wait for.
#include "gateway/configuration_check.hpp"

#include "telemetry/event_log.hpp"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// A caller waits at most this long.
constexpr std::chrono::milliseconds check_timeout{400};
/// The platform charges for reads, and callers decide how many requests need
/// one.
constexpr std::chrono::milliseconds min_read_interval{100};

} // namespace

configuration_check::configuration_check(
    asio::io_context& context, platform::table_watcher& operator_table)
    : context_(context), operator_table_(operator_table),
      applied_(context, asio::steady_timer::time_point::max())
{
}

void configuration_check::record_application(mono_time read_began)
{
    --unapplied_deliveries_;
    if (unapplied_deliveries_ == 0)
    {
        applied_read_began_ = std::max(applied_read_began_, read_began);
        applied_.cancel();
    }
}

asio::awaitable<void> configuration_check::confirm()
{
    const auto began_at = monotonic_clock::now();
    const auto deadline = began_at + check_timeout;
    bool is_readable = true;
    auto now = began_at;
    while (applied_read_began_ < began_at && is_readable && now < deadline)
    {
        auto wake_at = deadline;
        // One that was requested after the call, or is about to be, serves all
        // requests that wait.
        if (last_request_ < began_at)
        {
            const auto due = last_request_ + min_read_interval;
            if (now >= due)
            {
                last_request_ = now;
                is_readable = operator_table_.confirm();
                continue;
            }
            wake_at = std::min(deadline, due);
        }
        co_await wait_until(wake_at);
        now = monotonic_clock::now();
    }
    telemetry::event("configuration_check")
        .with("confirmed", applied_read_began_ >= began_at ? 1 : 0)
        .with("took_us", (monotonic_clock::now() - began_at).count());
}

asio::awaitable<void> configuration_check::wait_until(mono_time deadline)
{
    asio::steady_timer timeout(context_, deadline - monotonic_clock::now());
    timeout.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                applied_.cancel();
            }
        });
    co_await applied_.async_wait(completion);
}

} // namespace wagtailseam::gateway
