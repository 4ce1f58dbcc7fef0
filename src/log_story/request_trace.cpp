// Which lines belong to a request, and what they say in plain words.
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

/// Events about one process as a whole.
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

/// Events about one upstream, named in the field `upstream`.
constexpr std::array<std::string_view, 9> upstream_events{
    "upstream_listed",     "upstream_unlisted", "engine_life_seen",
    "engine_listed",       "engine_lost",       "engine_regained",
    "engine_runs_weights", "order_given",       "engine_load"};

constexpr std::string_view attempt_event = "attempt_ended";
constexpr std::string_view end_event = "request";

bool among(const auto& list, std::string_view name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

/// Lines of one collector are compared by its clock, others by their own.
bool before(const log_line& a, const log_line& b)
{
    if (a.collected_s && b.collected_s)
    {
        return *a.collected_s < *b.collected_s;
    }
    return a.time < b.time;
}

std::string when(const log_line& line)
{
    return line.collected_s ? fmt::format("{:.4f}", *line.collected_s)
                            : line.time;
}

std::string in_ms(const std::optional<std::int64_t>& us)
{
    constexpr double us_in_ms = 1000.0;
    return us ? fmt::format("{:.1f} ms", static_cast<double>(*us) / us_in_ms)
              : std::string("an unknown time");
}

std::string_view or_unknown(std::string_view value)
{
    return value.empty() ? "unknown" : value;
}

std::string meaning_of(const log_line& line)
{
    const auto code = line.number("code");
    return code && *code >= 0
               ? std::string(
                     meaning(result_code_of(static_cast<std::uint32_t>(*code))))
               : std::string("meaning unknown");
}

std::string tell_attempt(const log_line& line)
{
    const auto left = line.number("left_us");
    std::string text = fmt::format(
        "attempt {} at {} ended: {}; chosen with {} requests of this gateway "
        "there and {} % failures; ",
        or_unknown(line.field("attempt")), or_unknown(line.field("upstream")),
        or_unknown(line.field("end")), or_unknown(line.field("in_flight")),
        or_unknown(line.field("failure_percent")));
    text += left && *left < 0 ? "its time had passed"
                              : in_ms(left) + " of its time left";
    return text;
}

std::string tell_runs(const log_line& line)
{
    const auto sent = line.number("sent");
    const auto runs = line.number("runs");
    if (sent == 0)
    {
        return "it was sent to no upstream, so it did not run";
    }
    if (runs == 0)
    {
        return fmt::format(
            "{} upstreams were asked and refused, so it did not run",
            or_unknown(line.field("sent")));
    }
    return fmt::format(
        "sent {} times, of which {} may have run",
        or_unknown(line.field("sent")), or_unknown(line.field("runs")));
}

std::string tell_end(const log_line& line)
{
    return fmt::format(
        "answered {} after {}: {} ({}); {}; last upstream {}; route {}, "
        "workspace {}, configuration {}, weights {} ({} named); {} parts "
        "fetched",
        or_unknown(line.field("status")), in_ms(line.number("took_us")),
        or_unknown(line.field("result")), meaning_of(line), tell_runs(line),
        or_unknown(line.field("upstream")), or_unknown(line.field("route")),
        or_unknown(line.field("workspace")),
        or_unknown(line.field("configuration")),
        or_unknown(line.field("weights")),
        or_unknown(line.field("weights_named")),
        or_unknown(line.field("fetched_parts")));
}

std::string tell_plainly(const log_line& line)
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

report_entry tell_line(const log_line& line)
{
    std::string text;
    if (line.event == attempt_event)
    {
        text = tell_attempt(line);
    }
    else if (line.event == end_event)
    {
        text = tell_end(line);
    }
    else
    {
        text = tell_plainly(line);
    }
    if (line.cut)
    {
        text += " (the line is cut)";
    }
    return {when(line), line.source, std::move(text)};
}

const log_line* last_end(const std::vector<log_line>& own)
{
    const auto found = std::find_if(
        own.rbegin(), own.rend(),
        [](const log_line& line) { return line.event == end_event; });
    return found == own.rend() ? nullptr : &*found;
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
        own_.push_back(std::move(line));
        return;
    }
    const bool belief = among(process_events, line.event) ||
                        among(upstream_events, line.event) ||
                        line.event == attempt_event;
    if (!belief)
    {
        return;
    }
    beliefs_.push_back(std::move(line));
    if (beliefs_.size() > options_.max_context_lines)
    {
        beliefs_.pop_front();
        ++beliefs_forgotten_;
    }
}

request_report request_trace::report() const
{
    request_report told;
    std::vector<log_line> own = own_;
    std::stable_sort(own.begin(), own.end(), before);
    for (const auto& line : own)
    {
        told.timeline.push_back(tell_line(line));
    }
    told.missing = missing(own);
    const auto* const end = last_end(own);
    if (own.empty())
    {
        told.outcome = "no line names the request";
        return told;
    }
    told.outcome =
        end == nullptr ? "its end is not in the logs" : tell_end(*end);
    told.context = background(own, cast_of(own));
    for (const auto& more : {neighbours(own), newer_elsewhere(own.back())})
    {
        told.context.insert(told.context.end(), more.begin(), more.end());
    }
    return told;
}

request_trace::cast request_trace::cast_of(
    const std::vector<log_line>& own) const
{
    cast in;
    for (const auto& line : own)
    {
        in.sources.insert(line.source);
        const auto upstream = line.field("upstream");
        if (!upstream.empty() && upstream != "none")
        {
            in.upstreams.emplace(upstream);
        }
    }
    return in;
}

std::vector<report_entry> request_trace::background(
    const std::vector<log_line>& own, const cast& in) const
{
    // Source, event and what it is about: the last line of each counts.
    using kind = std::tuple<std::string, std::string, std::string>;
    std::map<kind, const log_line*> last;
    for (const auto& line : beliefs_)
    {
        const bool about_process = among(process_events, line.event) &&
                                   in.sources.contains(line.source);
        const std::string upstream(line.field("upstream"));
        const bool about_upstream = among(upstream_events, line.event) &&
                                    in.upstreams.contains(upstream);
        if ((!about_process && !about_upstream) || before(own.back(), line))
        {
            continue;
        }
        const std::string subject = about_process
                                        ? std::string(line.field("table")) +
                                              std::string(line.field("store"))
                                        : upstream;
        auto& kept = last[kind{line.source, line.event, subject}];
        if (kept == nullptr || !before(line, *kept))
        {
            kept = &line;
        }
    }
    std::vector<const log_line*> ordered;
    ordered.reserve(last.size());
    for (const auto& [of, line] : last)
    {
        ordered.push_back(line);
    }
    std::stable_sort(
        ordered.begin(), ordered.end(),
        [](const log_line* a, const log_line* b) { return before(*a, *b); });
    std::vector<report_entry> told;
    told.reserve(ordered.size());
    for (const auto* const line : ordered)
    {
        told.push_back(tell_line(*line));
    }
    return told;
}

std::vector<report_entry> request_trace::neighbours(
    const std::vector<log_line>& own) const
{
    std::vector<report_entry> told;
    for (const auto& attempt : own)
    {
        if (attempt.event != attempt_event || !attempt.collected_s)
        {
            continue;
        }
        const auto alike = std::count_if(
            beliefs_.begin(), beliefs_.end(),
            [&](const log_line& other)
            {
                return other.event == attempt_event && other.collected_s &&
                       other.field("upstream") == attempt.field("upstream") &&
                       other.field("end") == attempt.field("end") &&
                       std::abs(*other.collected_s - *attempt.collected_s) <=
                           options_.concurrency_window_s;
            });
        told.push_back(
            {when(attempt), attempt.source,
             fmt::format(
                 "{} attempts of other requests at {} ended the same way "
                 "within {} s",
                 alike, or_unknown(attempt.field("upstream")),
                 options_.concurrency_window_s)});
    }
    return told;
}

std::vector<report_entry> request_trace::newer_elsewhere(
    const log_line& end) const
{
    const auto used = end.number("configuration");
    if (!used)
    {
        return {};
    }
    const log_line* first = nullptr;
    for (const auto& line : beliefs_)
    {
        const auto number = line.number("number");
        if (line.event == "configuration_in_force" && number &&
            *number > *used && !before(end, line) &&
            (first == nullptr || before(line, *first)))
        {
            first = &line;
        }
    }
    if (first == nullptr)
    {
        return {};
    }
    return {
        {when(*first), first->source,
         fmt::format(
             "configuration {} was in force here already; the request was "
             "served on {}",
             first->field("number"), *used)}};
}

std::vector<std::string> request_trace::missing(
    const std::vector<log_line>& own) const
{
    std::vector<std::string> lacks;
    const auto* const end = last_end(own);
    if (end == nullptr)
    {
        lacks.emplace_back(
            "its last line: the request is still open, its process ended, the "
            "line was dropped or left out, or the logs do not reach so far");
    }
    else
    {
        const auto attempts = std::count_if(
            own.begin(), own.end(),
            [](const log_line& line) { return line.event == attempt_event; });
        const auto sent = end->number("sent").value_or(0);
        // An attempt that was answered, or left by its caller, has no line.
        const bool quiet_last = end->field("last_end") == "answered" ||
                                end->field("last_end") == "abandoned";
        const auto expected = sent - (quiet_last ? 1 : 0);
        if (attempts < expected)
        {
            lacks.push_back(fmt::format(
                "the lines of {} of {} attempts", expected - attempts, sent));
        }
    }
    for (const auto& line : beliefs_)
    {
        if (line.event == "log_lines_dropped")
        {
            lacks.push_back(fmt::format(
                "{} lines that {} dropped", line.field("count"),
                line.source.empty() ? "a process" : line.source));
        }
    }
    if (beliefs_forgotten_ > 0)
    {
        lacks.push_back(fmt::format(
            "{} older lines beyond the limit of {}", beliefs_forgotten_,
            options_.max_context_lines));
    }
    return lacks;
}

} // namespace wagtailseam::log_story
