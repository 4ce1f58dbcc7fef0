// Selects the log lines that concern a request and describes them in English.
#include "log_story/request_trace.hpp"

#include "core/result_code.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <map>
#include <tuple>
#include <utility>

namespace wagtailseam::log_story
{
namespace
{

/// Events about the state of a process.
constexpr std::array<std::string_view, 14> process_events{
    "started",
    "draining",
    "stopped",
    "settings_reloaded",
    "dependency_lost",
    "dependency_regained",
    "table_history_gone",
    "configuration_in_force",
    "weights_named",
    "cache_store_lost",
    "cache_store_regained",
    "upstreams_read",
    "log_lines_dropped",
    "configuration_ready"};

/// Events about the upstream in the field `upstream`.
constexpr std::array<std::string_view, 12> upstream_events{
    "upstream_listed",        "upstream_unlisted", "engine_life_seen",
    "engine_listed",          "engine_lost",       "engine_regained",
    "engine_runs_weights",    "order_given",       "engine_load",
    "upstream_process_ended", "upstream_limit",    "upstream_limit_unreadable"};

/// Events about the requests with the content in the field `content`.
constexpr std::array<std::string_view, 3> content_events{
    "request_quarantined", "crash_record_cleared", "trial_claim"};

constexpr std::string_view attempt_end_event = "attempt_ended";
constexpr std::string_view request_end_event = "request";

bool contains(const auto& list, std::string_view name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

/// Compares the collector's timestamps if both lines have one, otherwise those
/// of the processes.
bool is_before(const log_line& a, const log_line& b)
{
    if (a.collector_time_s && b.collector_time_s)
    {
        return *a.collector_time_s < *b.collector_time_s;
    }
    return a.time < b.time;
}

std::string timestamp_of(const log_line& line)
{
    return line.collector_time_s ? fmt::format("{:.4f}", *line.collector_time_s)
                                 : line.time;
}

std::string format_ms(const std::optional<std::int64_t>& us)
{
    constexpr double us_per_ms = 1000.0;
    return us ? fmt::format("{:.1f} ms", static_cast<double>(*us) / us_per_ms)
              : std::string("an unknown time");
}

std::string_view value_or_unknown(std::string_view value)
{
    return value.empty() ? "unknown" : value;
}

std::string describe_code(const log_line& line)
{
    const auto code = line.number("code");
    return code && *code >= 0 ? std::string(description(result_code_from_number(
                                    static_cast<std::uint32_t>(*code))))
                              : std::string("unknown result code");
}

std::string describe_attempt(const log_line& line)
{
    const auto time_left_us = line.number("left_us");
    std::string text = fmt::format(
        "attempt {} at {} ended: {}; when selected, it had {} requests of this "
        "gateway in flight and {} % failures; ",
        value_or_unknown(line.field("attempt")),
        value_or_unknown(line.field("upstream")),
        value_or_unknown(line.field("end")),
        value_or_unknown(line.field("in_flight")),
        value_or_unknown(line.field("failure_percent")));
    text += time_left_us && *time_left_us < 0
                ? "its deadline had passed"
                : format_ms(time_left_us) + " until its deadline";
    return text;
}

std::string describe_executions(const log_line& line)
{
    const auto sent = line.number("sent");
    const auto runs = line.number("runs");
    if (sent == 0)
    {
        return "it was not sent to any upstream, so it did not run";
    }
    if (runs == 0)
    {
        return fmt::format(
            "it was sent {} times and always refused, so it did not run",
            value_or_unknown(line.field("sent")));
    }
    return fmt::format(
        "sent {} times, of which {} may have run",
        value_or_unknown(line.field("sent")),
        value_or_unknown(line.field("runs")));
}

std::string describe_request_end(const log_line& line)
{
    return fmt::format(
        "answered {} after {}: {} ({}); {}; last upstream {}; route {}, "
        "workspace {}, configuration {}, weights {} ({} selected); {} cache "
        "parts fetched",
        value_or_unknown(line.field("status")),
        format_ms(line.number("took_us")),
        value_or_unknown(line.field("result")), describe_code(line),
        describe_executions(line), value_or_unknown(line.field("upstream")),
        value_or_unknown(line.field("route")),
        value_or_unknown(line.field("workspace")),
        value_or_unknown(line.field("configuration")),
        value_or_unknown(line.field("weights")),
        value_or_unknown(line.field("weights_named")),
        value_or_unknown(line.field("fetched_parts")));
}

std::string describe_generic(const log_line& line)
{
    std::string text = line.event;
    std::replace(text.begin(), text.end(), '_', ' ');
    for (const auto& [key, value] : line.fields)
    {
        if (key != "request" && key != "level" && key != "program")
        {
            text += fmt::format(", {} {}", key, value);
        }
    }
    return text;
}

report_entry make_entry(const log_line& line)
{
    std::string text;
    if (line.event == attempt_end_event)
    {
        text = describe_attempt(line);
    }
    else if (line.event == request_end_event)
    {
        text = describe_request_end(line);
    }
    else
    {
        text = describe_generic(line);
    }
    if (line.truncated)
    {
        text += " (the log line is truncated)";
    }
    return {timestamp_of(line), line.source, std::move(text)};
}

const log_line* find_request_end(const std::vector<log_line>& request_lines)
{
    const auto found = std::find_if(
        request_lines.rbegin(), request_lines.rend(),
        [](const log_line& line) { return line.event == request_end_event; });
    return found == request_lines.rend() ? nullptr : &*found;
}

} // namespace

request_trace::request_trace(request_id request, const trace_options& options)
    : request_(std::move(request)), options_(options)
{
}

void request_trace::add(log_line line)
{
    if (line.field("request") == request_.value())
    {
        request_lines_.push_back(std::move(line));
        return;
    }
    const bool is_context = contains(process_events, line.event) ||
                            contains(upstream_events, line.event) ||
                            contains(content_events, line.event) ||
                            line.event == attempt_end_event;
    if (!is_context)
    {
        return;
    }
    context_lines_.push_back(std::move(line));
    if (context_lines_.size() > options_.max_context_lines)
    {
        context_lines_.pop_front();
        ++evicted_context_lines_;
    }
}

request_report request_trace::report() const
{
    request_report report;
    std::vector<log_line> request_lines = request_lines_;
    std::stable_sort(request_lines.begin(), request_lines.end(), is_before);
    for (const auto& line : request_lines)
    {
        report.timeline.push_back(make_entry(line));
    }
    report.missing = list_missing(request_lines);
    const auto* const end = find_request_end(request_lines);
    if (request_lines.empty())
    {
        report.outcome = "no log line contains the request ID";
        return report;
    }
    report.outcome = end == nullptr
                         ? "the logs do not contain the end of the request"
                         : describe_request_end(*end);
    report.context =
        collect_context(request_lines, find_participants(request_lines));
    for (const auto& entries :
         {count_similar_attempts(request_lines),
          find_newer_configuration(request_lines.back())})
    {
        report.context.insert(
            report.context.end(), entries.begin(), entries.end());
    }
    return report;
}

request_trace::participants request_trace::find_participants(
    const std::vector<log_line>& request_lines) const
{
    participants involved;
    for (const auto& line : request_lines)
    {
        involved.sources.insert(line.source);
        const auto upstream = line.field("upstream");
        if (!upstream.empty() && upstream != "none")
        {
            involved.upstreams.emplace(upstream);
        }
        if (const auto content = line.field("content"); !content.empty())
        {
            involved.contents.emplace(content);
        }
    }
    return involved;
}

std::vector<report_entry> request_trace::collect_context(
    const std::vector<log_line>& request_lines,
    const participants& involved) const
{
    // The last line for each source, event and subject is reported.
    using line_kind = std::tuple<std::string, std::string, std::string>;
    std::map<line_kind, const log_line*> last_lines;
    for (const auto& line : context_lines_)
    {
        const bool is_about_process = contains(process_events, line.event) &&
                                      involved.sources.contains(line.source);
        const std::string upstream(line.field("upstream"));
        const bool is_about_upstream = contains(upstream_events, line.event) &&
                                       involved.upstreams.contains(upstream);
        const std::string content(line.field("content"));
        const bool is_about_content = contains(content_events, line.event) &&
                                      involved.contents.contains(content);
        if ((!is_about_process && !is_about_upstream && !is_about_content) ||
            is_before(request_lines.back(), line))
        {
            continue;
        }
        const std::string subject = is_about_process
                                        ? std::string(line.field("table")) +
                                              std::string(line.field("store"))
                                        : upstream + content;
        auto& last_line =
            last_lines[line_kind{line.source, line.event, subject}];
        if (last_line == nullptr || !is_before(line, *last_line))
        {
            last_line = &line;
        }
    }
    std::vector<const log_line*> ordered;
    ordered.reserve(last_lines.size());
    for (const auto& [kind, line] : last_lines)
    {
        ordered.push_back(line);
    }
    std::stable_sort(
        ordered.begin(), ordered.end(),
        [](const log_line* a, const log_line* b) { return is_before(*a, *b); });
    std::vector<report_entry> entries;
    entries.reserve(ordered.size());
    for (const auto* const line : ordered)
    {
        entries.push_back(make_entry(*line));
    }
    return entries;
}

std::vector<report_entry> request_trace::count_similar_attempts(
    const std::vector<log_line>& request_lines) const
{
    std::vector<report_entry> entries;
    for (const auto& attempt : request_lines)
    {
        if (attempt.event != attempt_end_event || !attempt.collector_time_s)
        {
            continue;
        }
        const auto similar = std::count_if(
            context_lines_.begin(), context_lines_.end(),
            [&](const log_line& other)
            {
                return other.event == attempt_end_event &&
                       other.collector_time_s &&
                       other.field("upstream") == attempt.field("upstream") &&
                       other.field("end") == attempt.field("end") &&
                       std::abs(
                           *other.collector_time_s -
                           *attempt.collector_time_s) <=
                           options_.concurrency_window_s;
            });
        entries.push_back(
            {timestamp_of(attempt), attempt.source,
             fmt::format(
                 "{} attempts of other requests at {} ended the same way "
                 "within {} s",
                 similar, value_or_unknown(attempt.field("upstream")),
                 options_.concurrency_window_s)});
    }
    return entries;
}

std::vector<report_entry> request_trace::find_newer_configuration(
    const log_line& last_line) const
{
    const auto used = last_line.number("configuration");
    if (!used)
    {
        return {};
    }
    const log_line* first = nullptr;
    for (const auto& line : context_lines_)
    {
        const auto number = line.number("number");
        if (line.event == "configuration_in_force" && number &&
            *number > *used && !is_before(last_line, line) &&
            (first == nullptr || is_before(line, *first)))
        {
            first = &line;
        }
    }
    if (first == nullptr)
    {
        return {};
    }
    return {
        {timestamp_of(*first), first->source,
         fmt::format(
             "configuration {} was already in force here; the request used "
             "configuration {}",
             first->field("number"), *used)}};
}

std::vector<std::string> request_trace::list_missing(
    const std::vector<log_line>& request_lines) const
{
    std::vector<std::string> missing;
    const auto* const end = find_request_end(request_lines);
    if (end == nullptr)
    {
        missing.emplace_back(
            "the line of its end: the request is still running, its process "
            "ended, the line was dropped or suppressed, or the logs end too "
            "early");
    }
    else
    {
        const auto attempts = std::count_if(
            request_lines.begin(), request_lines.end(),
            [](const log_line& line)
            { return line.event == attempt_end_event; });
        const auto sent = end->number("sent").value_or(0);
        // The last attempt is not logged if it was answered or its caller
        // disconnected.
        const bool last_is_unlogged = end->field("last_end") == "answered" ||
                                      end->field("last_end") == "abandoned";
        const auto expected = sent - (last_is_unlogged ? 1 : 0);
        if (attempts < expected)
        {
            missing.push_back(fmt::format(
                "lines of {} of {} attempts", expected - attempts, sent));
        }
    }
    for (const auto& line : context_lines_)
    {
        if (line.event == "log_lines_dropped")
        {
            missing.push_back(fmt::format(
                "{} lines dropped by {}", line.field("count"),
                line.source.empty() ? "a process" : line.source));
        }
    }
    if (evicted_context_lines_ > 0)
    {
        missing.push_back(fmt::format(
            "{} older lines, evicted at the limit of {} lines",
            evicted_context_lines_, options_.max_context_lines));
    }
    return missing;
}

} // namespace wagtailseam::log_story
