// Placement of a request as a JSON document.
#include "gateway/placement_report.hpp"

#include "gateway/dispatch_plan.hpp"
#include "platform/request_codec.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>

namespace wagtailseam::gateway
{
namespace
{

using nlohmann::json;

double to_ms(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Returns null for a time that is not known yet.
json age_ms(std::optional<mono_time> at, mono_time now)
{
    return at ? json(to_ms(now - *at)) : json();
}

void set_decision(json& document, result_code code)
{
    const bool is_sent = code == result_code::ok;
    document["decision"] = is_sent ? "send" : "refuse";
    document["code"] = name(code);
    document["reason"] = is_sent ? "" : description(code);
}

json describe(const serving::assessed_upstream& assessed)
{
    return {
        {"upstream", assessed.entry.id.value()},
        {"data_centre", assessed.entry.data_centre.value()},
        {"excluded", name(assessed.excluded)},
        {"cost_ms", to_ms(assessed.cost)},
        {"expected_wait_ms", to_ms(assessed.expected_wait)},
        {"slowness", assessed.slowness},
        {"preferred", assessed.preferred},
        {"in_flight", assessed.in_flight},
        {"failure_share", assessed.failure_share},
        {"load_age_ms",
         assessed.load_age ? json(to_ms(*assessed.load_age)) : json()}};
}

/// Returns the upstream that costs least; null if all are excluded.
const serving::assessed_upstream* find_best(
    const std::vector<serving::assessed_upstream>& assessed)
{
    const serving::assessed_upstream* best = nullptr;
    for (const auto& each : assessed)
    {
        if (each.excluded == serving::exclusion::none &&
            (best == nullptr || each.cost < best->cost))
        {
            best = &each;
        }
    }
    return best;
}

json explain_service(
    const shared_state& state, accepted_request& request,
    const serving::weighted_service& share, mono_time now)
{
    request.service = share.service;
    auto query = make_upstream_query(state, request, {}, true);
    // A copy, so that the choices of requests stay as they would be.
    random_source random = state.random;
    auto selection = state.upstreams.choose(query, random, now);
    if (query.processes != nullptr &&
        std::holds_alternative<serving::none_available>(selection))
    {
        // As for a new stream.
        query.processes = nullptr;
        selection = state.upstreams.choose(query, random, now);
    }
    const auto assessed = state.upstreams.assess(query, now);
    auto upstreams = json::array();
    for (const auto& each : assessed)
    {
        upstreams.push_back(describe(each));
    }
    const auto* const best = find_best(assessed);
    json document{
        {"service", share.service.value()},
        {"weight", share.weight},
        {"max_wait_ms", query.max_wait ? json(to_ms(*query.max_wait)) : json()},
        {"chosen", best != nullptr ? json(best->entry.id.value()) : json()},
        {"upstreams", std::move(upstreams)}};
    set_decision(document, refusal_code(state, request, selection));
    return document;
}

/// Returns why the request is refused before an upstream is chosen.
result_code check_request(const shared_state& state, accepted_request& request)
{
    request.routes = state.routes;
    if (state.drain.refuses_requests())
    {
        return result_code::draining;
    }
    if (!request.routes || state.is_being_introduced())
    {
        return result_code::not_ready;
    }
    if (const auto found = find_route(state, request); !found)
    {
        return found.error().code;
    }
    const bool is_quarantined = std::holds_alternative<quarantine::quarantined>(
        state.crashes.check(request.content()));
    return is_quarantined ? result_code::quarantined : result_code::ok;
}

void add_services(
    json& document, const shared_state& state, accepted_request& request,
    mono_time now)
{
    document["route"] = request.route->name;
    document["workspace"] =
        request.workspace != nullptr ? request.workspace->id.value() : "";
    document["configuration"] = request.routes->config().number.value();
    set_decision(document, result_code::no_upstream);
    auto services = json::array();
    bool is_sent = false;
    for (const auto& share : request.route->services)
    {
        auto explained = explain_service(state, request, share, now);
        // A service of weight 0 gets no requests.
        if (share.weight > 0 && !is_sent)
        {
            for (const auto* const field : {"decision", "code", "reason"})
            {
                document[field] = explained[field];
            }
            is_sent = explained["decision"] == "send";
        }
        services.push_back(std::move(explained));
    }
    document["services"] = std::move(services);
}

} // namespace

json explain_placement(const shared_state& state, http::request received)
{
    const auto query_begin = received.target.find('?');
    received.target = query_begin == std::string::npos
                          ? "/"
                          : received.target.substr(query_begin + 1);
    const auto now = monotonic_clock::now();
    json document{
        {"operator_table_age_ms",
         age_ms(
             state.routes ? std::optional(state.operator_table_read_at)
                          : std::nullopt,
             now)},
        {"upstream_list_age_ms",
         age_ms(
             state.upstream_list_read
                 ? std::optional(state.upstream_list_read_at)
                 : std::nullopt,
             now)}};
    auto decoded = platform::decode_call(std::move(received));
    if (!decoded)
    {
        set_decision(document, decoded.error().code);
        return document;
    }
    accepted_request request;
    request.received = now;
    request.call = std::move(decoded).value();
    const auto code = check_request(state, request);
    if (code != result_code::ok)
    {
        set_decision(document, code);
        return document;
    }
    add_services(document, state, request, now);
    return document;
}

} // namespace wagtailseam::gateway
