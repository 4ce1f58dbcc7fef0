// MessagePack by nlohmann/json; short keys, since these are sent often.
#include "engine_status/status.hpp"

#include <nlohmann/json.hpp>

namespace wagtailseam::engine_status
{

std::string encode(const status& said)
{
    auto weights = nlohmann::json::object();
    for (const auto& [model, version] : said.weights)
    {
        weights[model.value()] = version.value();
    }
    nlohmann::json document{
        {"u", said.upstream.value()}, {"n", said.sequence_number},
        {"l", said.incarnation},      {"p", said.prompts_waiting},
        {"r", said.running},          {"b", said.loading},
        {"w", std::move(weights)}};
    if (said.prefill_of_other_gateways)
    {
        document["o"] = said.prefill_of_other_gateways->prompts;
        document["t"] = said.prefill_of_other_gateways->reading.count();
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
        return fail(result_code::malformed_message, "not a map");
    }
    try
    {
        status said;
        said.upstream = upstream_id{document.at("u").get<std::string>()};
        said.sequence_number = document.at("n").get<std::uint64_t>();
        said.incarnation = document.at("l").get<std::uint64_t>();
        said.prompts_waiting = document.at("p").get<std::uint32_t>();
        said.running = document.at("r").get<std::uint32_t>();
        said.loading = document.at("b").get<bool>();
        for (const auto& [model, version] : document.at("w").items())
        {
            said.weights.insert_or_assign(
                model_id{model}, weight_version{version.get<std::uint64_t>()});
        }
        if (document.contains("o"))
        {
            said.prefill_of_other_gateways = serving::unread_work{
                .prompts = document.at("o").get<std::uint32_t>(),
                .reading = duration(document.at("t").get<duration::rep>())};
        }
        return said;
    }
    catch (const nlohmann::json::exception& raised)
    {
        return fail(result_code::malformed_message, raised.what());
    }
}

} // namespace wagtailseam::engine_status
