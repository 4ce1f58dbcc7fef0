// HTTP requests to cache stores.
#include "cache_relay/store_requests.hpp"

#include "platform/documents.hpp"
#include "platform/request_codec.hpp"
#include "telemetry/event_log.hpp"

#include <string>
#include <utility>

namespace wagtailseam::cache_relay
{
namespace
{

constexpr unsigned status_ok = 200;

} // namespace

boost::asio::awaitable<result<serving::cache_changes>> read_changes(
    http::client& http, const serving::cache_store& store, std::uint64_t after,
    duration wait, duration timeout)
{
    auto request = platform::make_cache_changes_request(after, wait);
    const auto answer =
        co_await http.fetch(store.address, std::move(request), timeout);
    if (!answer)
    {
        co_return boost::outcome_v2::failure(answer.error());
    }
    if (answer.value().status != status_ok)
    {
        co_return fail(
            result_code::upstream_refused,
            "cache store answered with status " +
                std::to_string(answer.value().status));
    }
    auto changes = platform::decode_cache_changes(answer.value().body, after);
    if (!changes)
    {
        telemetry::event("cache_changes_malformed")
            .with("store", store.service)
            .with("detail", changes.error().detail)
            .warning();
    }
    co_return changes;
}

boost::asio::awaitable<result<serving::cache_content>> read_content(
    http::client& http, const serving::cache_store& store, duration timeout)
{
    auto request = platform::make_cache_content_request();
    const auto answer =
        co_await http.fetch(store.address, std::move(request), timeout);
    if (!answer)
    {
        co_return fail(answer.error().code);
    }
    co_return platform::decode_cache_content(answer.value().body);
}

} // namespace wagtailseam::cache_relay
