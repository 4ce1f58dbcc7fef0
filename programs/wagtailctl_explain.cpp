// wagtailctl explain: the story of one request from the processes' logs.
#include "log_story/request_trace.hpp"
#include "wagtailctl.hpp"

#include <fmt/format.h>
#include <fstream>
#include <iostream>

namespace wagtailseam::ctl
{
namespace
{

using nlohmann::json;

void read_lines(std::istream& from, log_story::request_trace& into)
{
    std::string text;
    while (std::getline(from, text))
    {
        auto line = log_story::parse_log_line(text);
        if (line)
        {
            into.add(std::move(*line));
        }
    }
}

json to_json(const std::vector<log_story::report_entry>& lines)
{
    json list = json::array();
    for (const auto& line : lines)
    {
        list.push_back(
            {{"time", line.timestamp},
             {"source", line.source},
             {"text", line.text}});
    }
    return list;
}

std::string to_text(const std::vector<log_story::report_entry>& lines)
{
    std::string text;
    for (const auto& line : lines)
    {
        text += fmt::format(
            "  {}  {}  {}\n", line.timestamp, line.source, line.text);
    }
    return text;
}

exit_code explain(const std::vector<std::string>& arguments)
{
    if (arguments.empty())
    {
        return exit_code::usage;
    }
    log_story::request_trace collected(request_id{arguments.front()});
    for (std::size_t at = 1; at < arguments.size(); ++at)
    {
        std::ifstream file(arguments[at]);
        if (!file)
        {
            print_error(result_code::missing_field, arguments[at]);
            return exit_code::failure;
        }
        read_lines(file, collected);
    }
    if (arguments.size() == 1)
    {
        read_lines(std::cin, collected);
    }
    const auto told = collected.report();
    std::string text = "request " + arguments.front() + ": " + told.outcome +
                       "\n\nwhat happened\n" + to_text(told.timeline) +
                       "\nwhat was known then\n" + to_text(told.context);
    for (const auto& lack : told.missing)
    {
        text += "\nmissing: " + lack;
    }
    print(
        {{"request", arguments.front()},
         {"verdict", told.outcome},
         {"course", to_json(told.timeline)},
         {"background", to_json(told.context)},
         {"missing", told.missing}},
        text + (told.missing.empty() ? "" : "\n"));
    return told.timeline.empty() ? exit_code::failure : exit_code::success;
}

} // namespace

std::vector<command> explain_commands()
{
    return {
        {"explain", "REQUEST [LOG...]",
         "tells a request's story from log lines (files, or standard input)",
         explain}};
}

} // namespace wagtailseam::ctl
