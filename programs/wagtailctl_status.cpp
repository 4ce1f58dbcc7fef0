// wagtailctl status: which process has which number.
#include "configuration/rows.hpp"
#include "http/client.hpp"
#include "wagtailctl.hpp"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

ABSL_FLAG(
    std::vector<std::string>, processes, {},
    "Admin addresses (IP:port) of the processes to ask, with commas.");

namespace wagtailseam::ctl
{
namespace
{

using nlohmann::json;

/// The number in force at a process, nothing when it does not answer.
std::optional<std::uint64_t> number_at(
    platform_session& session, http::client& client, const std::string& address)
{
    http::request asked;
    asked.method = "GET";
    asked.target = "/status";
    const auto answer = session.wait(client.fetch(
        http::address{address}, std::move(asked), std::chrono::seconds(1)));
    if (!answer)
    {
        return std::nullopt;
    }
    const json status = json::parse(answer.value().body, nullptr, false);
    if (!status.is_object() || !status.contains("config_number"))
    {
        return std::nullopt;
    }
    return status["config_number"].get<std::uint64_t>();
}

/// The accepted number; nothing while the platform does not answer.
std::optional<std::uint64_t> read_head_number(platform_session& session)
{
    const auto answer =
        session.wait(session.client().read(configuration::head_row()));
    const auto* const found = std::get_if<table_service::optional_row>(&answer);
    if (found == nullptr || !*found)
    {
        return found == nullptr ? std::nullopt
                                : std::optional<std::uint64_t>(0);
    }
    const auto head = configuration::decode_acceptance((*found)->value);
    return head ? std::optional(head.value().number.value()) : std::nullopt;
}

exit_code status(const std::vector<std::string>& arguments)
{
    if (!arguments.empty())
    {
        return exit_code::usage;
    }
    platform_session session;
    http::client client(session.context().get_executor());
    const auto head = read_head_number(session);
    json list = json::array();
    std::string text =
        head ? "accepted: " + std::to_string(*head) + "\n"
             : "accepted: not known, the platform does not answer\n";
    bool all_there = head.has_value();
    for (const std::string& address : absl::GetFlag(FLAGS_processes))
    {
        const auto number = number_at(session, client, address);
        const bool lags = !number || (head && *number < *head);
        all_there = all_there && !lags;
        list.push_back(
            {{"process", address},
             {"number", number ? json(*number) : json()},
             {"lags", lags}});
        text += address + ": " +
                (number ? std::to_string(*number) : "no answer") +
                (lags ? "  lags\n" : "\n");
    }
    print(
        {{"accepted", head ? json(*head) : json()},
         {"processes", std::move(list)}},
        text);
    return all_there ? exit_code::success : exit_code::lagging;
}

} // namespace

std::vector<command> status_commands()
{
    return {
        {"status", "--processes=IP:port,...",
         "tells which process has which number, and who lags", status}};
}

} // namespace wagtailseam::ctl
