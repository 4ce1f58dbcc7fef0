// wagtailctl check, generate and diff: work on files, change nothing.
#include "configuration/configuration.hpp"
#include "questionnaire/difference.hpp"
#include "questionnaire/generate.hpp"
#include "questionnaire/questionnaire.hpp"
#include "runtime/program.hpp"
#include "wagtailctl.hpp"

#include <iostream>

namespace wagtailseam::ctl
{
namespace
{

using nlohmann::json;

json to_json(const std::vector<settings::fault>& faults)
{
    json list = json::array();
    for (const settings::fault& each : faults)
    {
        list.push_back(
            {{"path", each.path},
             {"line", each.line},
             {"code", static_cast<int>(each.code)},
             {"name", name(each.code)},
             {"detail", each.detail}});
    }
    return {{"faults", std::move(list)}};
}

/// Reads and checks a questionnaire; prints its faults.
std::optional<json> read_questionnaire(const std::string& path)
{
    const auto text = runtime::read_file(path);
    if (!text)
    {
        print_error(text.error().code, path);
        return std::nullopt;
    }
    settings::loaded read = questionnaire::load_questionnaire(text.value());
    if (!read.faults.empty())
    {
        print(to_json(read.faults), settings::describe(path, read.faults));
        return std::nullopt;
    }
    return std::move(read.value);
}

exit_code check(const std::vector<std::string>& arguments)
{
    if (arguments.size() != 1)
    {
        return exit_code::usage;
    }
    if (!read_questionnaire(arguments[0]))
    {
        return exit_code::invalid;
    }
    print(to_json({}), arguments[0] + ": no faults\n");
    return exit_code::success;
}

exit_code generate(const std::vector<std::string>& arguments)
{
    if (arguments.size() != 1)
    {
        return exit_code::usage;
    }
    const auto answers = read_questionnaire(arguments[0]);
    if (!answers)
    {
        return exit_code::invalid;
    }
    std::cout << questionnaire::generate(*answers);
    return exit_code::success;
}

/// Reads a configuration from a file and checks it.
std::optional<json> read_configuration(const std::string& path)
{
    const auto text = runtime::read_file(path);
    if (!text)
    {
        print_error(text.error().code, path);
        return std::nullopt;
    }
    const auto parsed = configuration::parse_configuration(text.value());
    if (!parsed)
    {
        print_error(parsed.error().code, parsed.error().detail);
        return std::nullopt;
    }
    return json::parse(text.value(), nullptr, true, true);
}

exit_code diff(const std::vector<std::string>& arguments)
{
    if (arguments.size() != 2)
    {
        return exit_code::usage;
    }
    const auto before = read_configuration(arguments[0]);
    const auto after = read_configuration(arguments[1]);
    if (!before || !after)
    {
        return exit_code::invalid;
    }
    const auto changes = questionnaire::difference(*before, *after);
    print(questionnaire::to_json(changes), questionnaire::describe(changes));
    return exit_code::success;
}

} // namespace

std::vector<command> questionnaire_commands()
{
    return {
        {"check", "QUESTIONNAIRE",
         "names every fault of a questionnaire with path and line", check},
        {"generate", "QUESTIONNAIRE",
         "writes the configuration that the answers lead to", generate},
        {"diff", "CONFIGURATION CONFIGURATION",
         "tells what changes from the first to the second", diff}};
}

} // namespace wagtailseam::ctl
