// Coroutines that read signs, renew one and follow the time.
#include "gateway/presence_sync.hpp"

#include "presence/presence_sign.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// The rejoin delay exceeds the longest gap between reads by much more.
constexpr std::chrono::seconds update_interval{1};

/// Logs the first of several failures.
void log_failure(
    std::string_view event_name, bool& failing, const error& failure)
{
    if (!std::exchange(failing, true))
    {
        telemetry::event(event_name).with("detail", failure.detail).warning();
    }
}

} // namespace

presence_sync::presence_sync(
    asio::io_context& context, shared_state& state,
    platform::row_store_client& row_store, peer_directory& peers)
    : context_(context), state_(state), row_store_(row_store), peers_(peers)
{
}

void presence_sync::start()
{
    row_store_.on_restored(
        [this]
        {
            peers_.presence().record_restoration();
            peers_.update_position();
        });
    asio::co_spawn(context_, read_signs(), asio::detached);
    asio::co_spawn(context_, follow_time(), asio::detached);
}

std::vector<presence::sign_row> presence_sync::decode(
    const platform::row_set& rows)
{
    std::vector<presence::sign_row> decoded;
    for (const auto& row : rows.rows)
    {
        if (!row.value)
        {
            continue;
        }
        const auto sign = presence::decode_sign(*row.value);
        if (!sign)
        {
            telemetry::event("presence_row_ignored")
                .with("row", row.key)
                .warning();
        }
        decoded.push_back({.vm = vm_id{row.key}, .sign = sign});
    }
    return decoded;
}

duration presence_sync::spread(duration interval)
{
    const auto half = interval / 2;
    return half + duration(static_cast<duration::rep>(state_.random.below(
                      static_cast<std::uint64_t>(half.count()) + 1)));
}

asio::awaitable<void> presence_sync::read_signs()
{
    asio::steady_timer timer(context_);
    bool failing = false;
    for (;;)
    {
        const auto began = monotonic_clock::now();
        const auto rows = co_await row_store_.read_table(presence::sign_table);
        if (rows)
        {
            failing = false;
            const bool is_first = !peers_.presence().has_read();
            peers_.presence().record_read(
                decode(rows.value()), began, monotonic_clock::now(),
                wall_clock::now());
            peers_.update_position();
            if (is_first)
            {
                asio::co_spawn(context_, renew_sign(), asio::detached);
            }
            timer.expires_after(spread(presence::read_interval));
        }
        else
        {
            log_failure("presence_read_failed", failing, rows.error());
            timer.expires_after(spread(presence::retry_delay));
        }
        co_await timer.async_wait(completion);
    }
}

asio::awaitable<void> presence_sync::renew_sign()
{
    asio::steady_timer timer(context_);
    bool failing = false;
    for (;;)
    {
        const auto sent_at = monotonic_clock::now();
        const auto sign =
            peers_.presence().next_sign(sent_at, wall_clock::now());
        const auto written = co_await row_store_.put(
            presence::sign_table, state_.settings.vm.value(),
            presence::encode_sign(sign));
        if (written)
        {
            failing = false;
            peers_.presence().record_renewal(sent_at, monotonic_clock::now());
            peers_.update_position();
            timer.expires_after(spread(presence::renewal_interval));
        }
        else
        {
            log_failure("presence_write_failed", failing, written.error());
            timer.expires_after(spread(presence::retry_delay));
        }
        co_await timer.async_wait(completion);
    }
}

asio::awaitable<void> presence_sync::follow_time()
{
    asio::steady_timer timer(context_);
    for (;;)
    {
        timer.expires_after(update_interval);
        co_await timer.async_wait(completion);
        peers_.update_position();
    }
}

} // namespace wagtailseam::gateway
