// wagtailctl placement: where a gateway would send a request now.
#include "http/client.hpp"
#include "wagtailctl.hpp"

#include <absl/flags/flag.h>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <fmt/format.h>

ABSL_FLAG(
    std::string, gateway, "127.0.0.1:9464",
    "Metrics address (IP:port) of the gateway to ask.");

namespace wagtailseam::ctl
{
namespace
{

using nlohmann::json;

constexpr std::chrono::seconds answer_timeout{2};
constexpr std::string_view id_header = "Request-Id";

/// Parses NAME:VALUE; nullopt if there is no colon.
std::optional<std::pair<std::string, std::string>> parse_header(
    const std::string& text)
{
    const auto colon = text.find(':');
    if (colon == std::string::npos || colon == 0)
    {
        return std::nullopt;
    }
    const auto begin = text.find_first_not_of(' ', colon + 1);
    return std::pair(
        text.substr(0, colon),
        begin == std::string::npos ? std::string() : text.substr(begin));
}

/// Returns nullopt if an argument is no header field.
std::optional<http::request> make_request(
    const std::vector<std::string>& arguments)
{
    http::request request;
    request.method = "GET";
    request.target = "/placement?" + arguments.front();
    for (auto text = arguments.begin() + 1; text != arguments.end(); ++text)
    {
        auto header = parse_header(*text);
        if (!header)
        {
            print_error(
                result_code::wrong_type, "\"" + *text + "\" is not NAME:VALUE");
            return std::nullopt;
        }
        request.headers.push_back(std::move(*header));
    }
    if (request.header(id_header).empty())
    {
        request.headers.emplace_back(id_header, "placement");
    }
    return request;
}

std::string describe_age(const json& age)
{
    return age.is_null() ? "-" : fmt::format("{:.0f}", age.get<double>());
}

std::string describe_service(const json& service)
{
    const auto& chosen = service.at("chosen");
    std::string text = fmt::format(
        "service {}: {}\n", service.at("service").get<std::string>(),
        chosen.is_null()
            ? "no upstream, " + service.at("code").get<std::string>()
            : "upstream " + chosen.get<std::string>());
    text += fmt::format(
        "  {:<20} {:<16} {:>10} {:>10} {:>8} {:>9} {:>8}  {}\n", "upstream",
        "data centre", "cost ms", "wait ms", "slowness", "failures", "age ms",
        "excluded");
    for (const auto& each : service.at("upstreams"))
    {
        text += fmt::format(
            "  {:<20} {:<16} {:>10.1f} {:>10.1f} {:>8.2f} {:>9.2f} {:>8}  {}\n",
            each.at("upstream").get<std::string>(),
            each.at("data_centre").get<std::string>(),
            each.at("cost_ms").get<double>(),
            each.at("expected_wait_ms").get<double>(),
            each.at("slowness").get<double>(),
            each.at("failure_share").get<double>(),
            describe_age(each.at("load_age_ms")),
            each.at("excluded").get<std::string>());
    }
    return text;
}

std::string describe(const json& placement)
{
    std::string text = fmt::format(
        "{}: {}\nages: operator's table {} ms, list of upstreams {} ms\n",
        placement.at("decision").get<std::string>(),
        placement.at("code").get<std::string>(),
        describe_age(placement.at("operator_table_age_ms")),
        describe_age(placement.at("upstream_list_age_ms")));
    if (!placement.contains("services"))
    {
        return text + placement.at("reason").get<std::string>() + "\n";
    }
    text += fmt::format(
        "route {}, workspace {}, configuration {}\n",
        placement.at("route").get<std::string>(),
        placement.at("workspace").get<std::string>(),
        placement.at("configuration").get<std::uint64_t>());
    for (const auto& service : placement.at("services"))
    {
        text += describe_service(service);
    }
    return text;
}

exit_code explain_placement(const std::vector<std::string>& arguments)
{
    if (arguments.empty())
    {
        return exit_code::usage;
    }
    auto request = make_request(arguments);
    if (!request)
    {
        return exit_code::usage;
    }
    const std::string address = absl::GetFlag(FLAGS_gateway);
    platform_session session;
    http::client client(session.context().get_executor());
    const auto answer = session.wait(client.fetch(
        http::address{address}, std::move(*request), answer_timeout));
    if (!answer)
    {
        print_error(
            answer.error().code, "no answer from the gateway at " + address);
        return exit_code::failure;
    }
    try
    {
        const auto placement = json::parse(answer.value().body);
        print(placement, describe(placement));
    }
    catch (const json::exception& exception)
    {
        print_error(
            result_code::malformed_json,
            "from the gateway at " + address + ": " + exception.what());
        return exit_code::failure;
    }
    return exit_code::success;
}

} // namespace

std::vector<command> placement_commands()
{
    return {
        {"placement", "PATH [NAME:VALUE...]",
         "shows where a gateway would send a request with these headers now, "
         "and why; sends nothing",
         explain_placement}};
}

} // namespace wagtailseam::ctl
