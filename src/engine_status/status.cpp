// Encodes engine status as a MessagePack map. The keys are short because the
// datagrams are sent often.
#include "engine_status/status.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace wagtailseam::engine_status
{
namespace
{

/// Older measurements count for nothing.
constexpr std::chrono::hours max_speed_age{1};

} // namespace

std::string encode(const status& value)
{
    auto weights = nlohmann::json::object();
    for (const auto& [model, version] : value.weights)
    {
        weights[model.value()] = version.value();
    }
    nlohmann::json document{
        {"u", value.upstream.value()},
        {"n", value.sequence_number},
        {"l", value.incarnation},
        {"p", value.prompts_waiting},
        {"r", value.running},
        {"b", value.loading},
        {"k", value.memory.used.value()},
        {"m", value.memory.total.value()},
        {"w", std::move(weights)}};
    if (value.prefill_of_other_gateways)
    {
        document["o"] = value.prefill_of_other_gateways->prompts;
        document["t"] = value.prefill_of_other_gateways->prefill_time.count();
        document["s"] = value.prefill_of_other_gateways->tokens.value();
    }
    if (value.speed)
    {
        document["v"] = value.speed->ratio;
        document["a"] = value.speed->age.count();
    }
    std::string datagram;
    nlohmann::json::to_msgpack(document, datagram);
    return datagram;
}

result<status> decode_status(std::string_view datagram)
{
    const auto document = nlohmann::json::from_msgpack(datagram, true, false);
    if (!document.is_object())
    {
        return fail(
            result_code::malformed_message,
            "engine status is not a MessagePack map");
    }
    try
    {
        status value;
        value.upstream = upstream_id{document.at("u").get<std::string>()};
        value.sequence_number = document.at("n").get<std::uint64_t>();
        value.incarnation = document.at("l").get<std::uint64_t>();
        value.prompts_waiting = document.at("p").get<std::uint32_t>();
        value.running = document.at("r").get<std::uint32_t>();
        value.loading = document.at("b").get<bool>();
        // Absent in datagrams of earlier releases.
        value.memory = {
            .used = token_count{document.value("k", std::uint64_t{0})},
            .total = token_count{document.value("m", std::uint64_t{0})}};
        for (const auto& [model, version] : document.at("w").items())
        {
            value.weights.insert_or_assign(
                model_id{model}, weight_version{version.get<std::uint64_t>()});
        }
        if (document.contains("o"))
        {
            value.prefill_of_other_gateways = serving::pending_prefill{
                .prompts = document.at("o").get<std::uint32_t>(),
                .prefill_time = duration(document.at("t").get<duration::rep>()),
                .tokens = token_count{document.value("s", std::uint64_t{0})}};
        }
        if (document.contains("v"))
        {
            value.speed = upstream_speed::measured_speed{
                .ratio = document.at("v").get<double>(),
                .age = std::clamp<duration>(
                    duration(document.value("a", duration::rep{0})),
                    duration::zero(), max_speed_age)};
        }
        return value;
    }
    catch (const nlohmann::json::exception& exception)
    {
        return fail(result_code::malformed_message, exception.what());
    }
}

} // namespace wagtailseam::engine_status
