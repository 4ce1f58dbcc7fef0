// wagtailctl: what operators type.
#include "wagtailctl.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <iostream>
#include <iterator>

ABSL_FLAG(bool, json, false, "Print JSON instead of sentences.");
ABSL_FLAG(bool, yes, false, "Do not ask before a change.");
ABSL_FLAG(std::string, platform, "127.0.0.1:9000", "IP:port of the platform.");

namespace wagtailseam::ctl
{

platform_session::platform_session()
    : client_(
          context_.get_executor(),
          {.platform = http::address{absl::GetFlag(FLAGS_platform)},
           .timeout = std::chrono::seconds(2)})
{
}

void print_error(result_code code, const std::string& detail)
{
    if (absl::GetFlag(FLAGS_json))
    {
        const nlohmann::json value{
            {"code", static_cast<int>(code)},
            {"name", name(code)},
            {"detail", detail}};
        std::cout << value.dump() << "\n";
        return;
    }
    std::cerr << name(code) << ": " << description(code);
    std::cerr << (detail.empty() ? "" : " " + detail) << "\n";
}

void print(const nlohmann::json& value, const std::string& text)
{
    if (absl::GetFlag(FLAGS_json))
    {
        std::cout << value.dump() << "\n";
        return;
    }
    std::cout << text;
}

namespace
{

std::vector<command> all_commands()
{
    std::vector<command> all = questionnaire_commands();
    std::ranges::move(acceptance_commands(), std::back_inserter(all));
    std::ranges::move(status_commands(), std::back_inserter(all));
    std::ranges::move(explain_commands(), std::back_inserter(all));
    std::ranges::move(placement_commands(), std::back_inserter(all));
    return all;
}

std::string usage(const std::vector<command>& commands)
{
    std::string text = "wagtailctl [flags] COMMAND [arguments]\n\n";
    for (const command& each : commands)
    {
        text += "  " + each.name + " " + each.arguments + "\n      " +
                each.summary + "\n";
    }
    return text;
}

exit_code run(int argc, char** argv)
{
    const std::vector<command> commands = all_commands();
    absl::SetProgramUsageMessage(usage(commands));
    const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> arguments(
        words.begin() + std::min<std::ptrdiff_t>(2, std::ssize(words)),
        words.end());
    const std::string wanted = words.size() > 1 ? words[1] : "";
    const auto found = std::ranges::find(commands, wanted, &command::name);
    if (found == commands.end())
    {
        std::cerr << usage(commands);
        return exit_code::usage;
    }
    return found->run(arguments);
}

} // namespace
} // namespace wagtailseam::ctl

int main(int argc, char** argv)
{
    try
    {
        return static_cast<int>(wagtailseam::ctl::run(argc, argv));
    }
    catch (const std::exception& error)
    {
        std::cerr << "failed: " << error.what() << "\n";
        return static_cast<int>(wagtailseam::ctl::exit_code::failure);
    }
}
