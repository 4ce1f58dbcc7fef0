// Tombstones as control messages.
#include "entry/tombstone_call.hpp"

#include "peer/signed_http.hpp"

#include <boost/asio/use_awaitable.hpp>

namespace wagtailseam::entry
{
namespace
{

constexpr std::chrono::milliseconds control_timeout{300};

attempt::tombstone_answer to_answer(const messages::tombstone_reply& reply)
{
    switch (reply.state())
    {
    case messages::tombstone_reply::never_begun:
        return attempt::never_begun{};
    case messages::tombstone_reply::still_running:
        return attempt::still_running{};
    case messages::tombstone_reply::has_finished:
    {
        attempt::has_finished ended;
        if (reply.has_outcome())
        {
            ended.outcome = attempt::run_outcome{reply.status(), reply.body()};
        }
        return ended;
    }
    default:
        return attempt::cannot_tell{result_code_from_number(reply.reason())};
    }
}

} // namespace

asio::awaitable<std::optional<attempt::tombstone_answer>> send_tombstone(
    peers& shared, attempt::attempt_id attempt, attempt::dispatch_target target)
{
    const auto* const view = shared.upstreams.find(target.upstream);
    if (view == nullptr)
    {
        co_return std::nullopt;
    }
    messages::control_request asked;
    asked.set_sender(shared.settings.entry.value());
    asked.set_config_number(shared.config_in_force.value());
    auto& tombstone = *asked.mutable_tombstone();
    tombstone.set_request(attempt.request.value());
    tombstone.set_attempt(attempt.number.value());
    tombstone.set_incarnation(target.sidecar_incarnation.value());
    tombstone.set_valid_until_us(target.valid_until.time_since_epoch().count());
    const http::address to =
        peer::control_address(http::address{view->settings.sidecar});
    const auto reply =
        co_await shared.control.ask(to, std::move(asked), control_timeout);
    if (!reply || !reply.value().has_tombstone())
    {
        co_return std::nullopt;
    }
    co_return to_answer(reply.value().tombstone());
}

} // namespace wagtailseam::entry
