// Polls GET /v1/load.
#include "sidecar/upstream_monitor.hpp"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace wagtailseam::sidecar
{
namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds poll_timeout{400};
constexpr unsigned status_ok = 200;

std::uint64_t whole(const json& object, const char* field)
{
    const bool present =
        object.contains(field) && object[field].is_number_unsigned();
    return present ? object[field].get<std::uint64_t>() : 0;
}

} // namespace

upstream_monitor::upstream_monitor(http::client& client, http::address upstream)
    : client_(client), upstream_(std::move(upstream))
{
}

asio::awaitable<void> upstream_monitor::poll()
{
    http::request asked;
    asked.target = "/v1/load";
    const auto answer =
        co_await client_.fetch(upstream_, std::move(asked), poll_timeout);
    if (!answer || answer.value().status != status_ok)
    {
        report_.ready = false;
        co_return;
    }
    const json text = json::parse(answer.value().body, nullptr, false);
    if (!text.is_object())
    {
        report_.ready = false;
        co_return;
    }
    report_.ready = true;
    report_.running = static_cast<std::uint32_t>(whole(text, "running"));
    report_.queued = static_cast<std::uint32_t>(whole(text, "queued"));
    report_.queued_tokens = token_count{whole(text, "queued_tokens")};
    report_.prefill_rate =
        token_rate{static_cast<double>(whole(text, "prefill_rate"))};
    report_.model = model_id{text.value("model", std::string())};
    report_.version = weight_version{whole(text, "weight_version")};
    report_.at = monotonic_clock::now();
}

asio::awaitable<void> upstream_monitor::run(
    std::function<void(weight_version)> changed)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;)
    {
        const weight_version before = report_.version;
        co_await poll();
        if (report_.version != before)
        {
            changed(report_.version);
        }
        timer.expires_after(poll_interval);
        co_await timer.async_wait(
            asio::experimental::as_tuple(asio::use_awaitable));
    }
}

} // namespace wagtailseam::sidecar
