// Streams that are resumed: only upstreams of the software version that began a
// stream may continue it.
#include "core/overloaded.hpp"
#include "gateway/request_handler.hpp"
#include "telemetry/event_log.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace wagtailseam::gateway
{
namespace
{

/// An event of a stream is late if it is forwarded over 120 ms after it was
/// made.
constexpr std::chrono::milliseconds max_begin_check_wait{80};
/// The events of a continuation are discarded if its process is unknown, which
/// costs more than a late event.
constexpr std::chrono::milliseconds max_continuation_check_wait{400};
/// A read of the list takes some milliseconds unless the store is away.
constexpr std::chrono::milliseconds max_list_wait{40};

} // namespace

bool request_handler::is_resumable_stream() const
{
    return request_.route->is_resumable_stream() && is_event_stream_ &&
           event_splitter_.is_resumable();
}

stream_origin::stream_target request_handler::target_of_stream() const
{
    return {
        .host = request_.call.host,
        .path = std::string(request_.call.message.path())};
}

bool request_handler::is_resumption() const
{
    return request_.route->is_resumable_stream() &&
           !request_.call.last_event_id.empty();
}

const request_id& request_handler::stream_id() const
{
    const auto& resumed = request_.call.resumed_request;
    return is_resumption() && !resumed.value().empty() ? resumed
                                                       : request_.call.id;
}

asio::awaitable<bool> request_handler::find_stream_origin()
{
    const auto began_at = monotonic_clock::now();
    const auto own = state_.streams.open.find(stream_id());
    origin_lookup found = origin_unknown{};
    if (own && own->version)
    {
        found = origin_known{*own, "gateway"};
    }
    else if (!own)
    {
        const auto target = target_of_stream();
        auto recorded =
            co_await state_.streams.look_up_records(stream_id(), target);
        found = std::move(recorded);
    }
    const auto* const known = std::get_if<origin_known>(&found);
    const std::string_view outcome = std::visit(
        overloaded{
            [](const origin_known& origin) { return origin.source; },
            [](const origin_unknown&) { return std::string_view("unknown"); },
            [](const origin_lookup_failed&)
            { return std::string_view("failed"); }},
        found);
    const auto* const failed = std::get_if<origin_lookup_failed>(&found);
    telemetry::event("stream_origin")
        .with("request", request_.call.id)
        .with("resumed", stream_id())
        .with("outcome", outcome)
        .with(
            "service", known != nullptr ? known->begun_by.service.value() : "")
        .with(
            "software",
            known != nullptr ? known->begun_by.version->value() : "")
        .with("detail", failed != nullptr ? failed->detail : "")
        .with("took_us", (monotonic_clock::now() - began_at).count());
    state_.metrics.count(
        "wagtail_stream_origin_lookups_total", "outcome", outcome);
    if (known == nullptr)
    {
        record_.code = result_code::stream_origin_unknown;
        if (const auto* const unknown = std::get_if<origin_unknown>(&found))
        {
            origin_known_in_ = unknown->known_in;
        }
        co_return false;
    }
    const bool may_continue =
        co_await choose_continuing_service(known->begun_by);
    co_return may_continue;
}

asio::awaitable<bool> request_handler::choose_continuing_service(
    stream_origin::origin begun_by)
{
    auto service = find_continuing_service(begun_by);
    if (!service)
    {
        // Another gateway may have applied a newer configuration before it
        // began the stream.
        co_await state_.confirm_configuration();
        if (state_.routes != request_.routes)
        {
            request_.routes = state_.routes;
            if (const auto resolved = resolve_route(); !resolved)
            {
                record_.code = resolved.error().code;
                co_return false;
            }
            if (!is_resumption())
            {
                co_return true;
            }
            service = find_continuing_service(begun_by);
        }
    }
    telemetry::event("stream_continuation")
        .with("request", request_.call.id)
        .with("configuration", request_.routes->config().number)
        .with("begun_by", begun_by.service)
        .with("service", service ? service->value() : "none");
    if (!service)
    {
        record_.code = result_code::software_version_gone;
        co_return false;
    }
    stream_origin_ =
        stream_origin::origin{.service = *service, .version = begun_by.version};
    request_.service = *service;
    co_return true;
}

std::optional<serving::service_id> request_handler::find_continuing_service(
    const stream_origin::origin& begun_by) const
{
    const auto routed = stream_origin::services_of(*request_.route);
    if (routed.contains(begun_by.service))
    {
        return begun_by.service;
    }
    const auto same_version = std::find_if(
        routed.begin(), routed.end(),
        [&, now = monotonic_clock::now()](const auto& service) {
            return state_.upstreams.serves_version(
                service, *begun_by.version, now);
        });
    return same_version == routed.end() ? std::nullopt
                                        : std::optional(*same_version);
}

bool request_handler::may_continue_stream() const
{
    return !stream_origin_ || stream_origin_->version;
}

asio::awaitable<bool> request_handler::prepare_stream(
    const serving::chosen_upstream& target, const http::response_stream& stream)
{
    const duration limit =
        stream_origin_ ? max_continuation_check_wait : max_begin_check_wait;
    const bool confirmed = co_await process_check_.leads_to_listed_process(
        target.entry, stream.connected_at(),
        std::min<duration>(limit, request_.time_left()));
    if (confirmed)
    {
        co_return true;
    }
    state_.metrics.count("wagtail_streams_of_unknown_process_total");
    telemetry::event("stream_process_unknown")
        .with("request", request_.call.id)
        .with("upstream", target.entry.id)
        .with("listed_ms", target.entry.started_ms)
        .with("software", target.entry.software);
    if (stream_origin_)
    {
        co_return false;
    }
    const bool begins_again = co_await may_begin_again(target);
    if (begins_again)
    {
        co_return false;
    }
    co_return co_await record_unknown_stream(target);
}

asio::awaitable<bool> request_handler::may_begin_again(
    const serving::chosen_upstream& target)
{
    if (!state_.processes.is_replaced(target.entry) || !may_retry())
    {
        co_return false;
    }
    const bool is_listed = co_await process_check_.wait_until_replaced(
        serving::process_of(target.entry), max_list_wait);
    if (is_listed)
    {
        tried_upstreams_.erase(target.entry.id);
    }
    co_return reserve_next_attempt();
}

asio::awaitable<bool> request_handler::record_unknown_stream(
    const serving::chosen_upstream& target)
{
    auto& streams = state_.streams;
    const stream_origin::origin unknown{.service = target.entry.service};
    (void)streams.begin(
        stream_id(), unknown, target_of_stream(), monotonic_clock::now());
    // Other gateways would take a stream without a record for one of the single
    // version.
    streams.note_origin(stream_id(), unknown, target.entry.id);
    const bool recorded =
        co_await streams.wait_until_recorded(streams.open.additions());
    if (recorded)
    {
        stream_recorded_ = true;
        stream_origin_ = unknown;
        co_return true;
    }
    streams.open.complete(stream_id());
    co_return false;
}

asio::awaitable<void> request_handler::record_stream_begin(
    const serving::chosen_upstream& target)
{
    if (!is_resumable_stream() || stream_recorded_)
    {
        co_return;
    }
    stream_recorded_ = true;
    if (!stream_origin_)
    {
        stream_origin_ = stream_origin::origin{
            .service = target.entry.service, .version = target.entry.software};
    }
    auto& streams = state_.streams;
    const bool needs_record = streams.begin(
        stream_id(), *stream_origin_, target_of_stream(),
        monotonic_clock::now());
    streams.note_origin(stream_id(), *stream_origin_, target.entry.id);
    if (needs_record)
    {
        // A stream whose version is known is not held back while the store does
        // not answer: then another gateway cannot resume it, which costs less.
        (void)co_await streams.wait_until_recorded(streams.open.additions());
    }
}

void request_handler::record_stream_end()
{
    if (!stream_recorded_)
    {
        return;
    }
    // A caller that misses the end takes a stream up, and one without a known
    // version must not be taken for one without a record.
    if (record_.code == result_code::ok && may_continue_stream())
    {
        state_.streams.open.complete(stream_id());
        return;
    }
    state_.streams.open.break_off(stream_id(), monotonic_clock::now());
}

const std::string& request_handler::resume_position() const
{
    const auto& forwarded = event_splitter_.last_id();
    return forwarded.empty() ? request_.call.last_event_id : forwarded;
}

std::optional<serving::software_version> request_handler::required_software()
    const
{
    if (stream_origin_)
    {
        BOOST_ASSERT(stream_origin_->version.has_value());
        return stream_origin_->version;
    }
    if (!request_.route->is_resumable_stream())
    {
        return std::nullopt;
    }
    auto single = state_.streams.begins_at(request_.service);
    const bool serves =
        single && state_.upstreams.serves_version(
                      request_.service, *single, monotonic_clock::now());
    return serves ? single : std::nullopt;
}

} // namespace wagtailseam::gateway
