// Reconstructs the processing of a request from the logs of several processes.
#ifndef WAGTAILSEAM_LOG_STORY_REQUEST_TRACE_HPP
#define WAGTAILSEAM_LOG_STORY_REQUEST_TRACE_HPP

#include "core/ids.hpp"
#include "log_story/log_line.hpp"

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace wagtailseam::log_story
{

/// One line of a report.
struct report_entry
{
    /// The collector's timestamp in seconds, or else the process's timestamp.
    std::string timestamp;
    std::string source;
    std::string text;
};

/// What the logs show about a request.
struct request_report
{
    /// The outcome of the request in one sentence.
    std::string outcome;
    /// Entries for the log lines of the request, in time order.
    std::vector<report_entry> timeline;
    /// State of the involved processes and upstreams: the last entry of each
    /// kind before the end of the request. Also similar attempts of other
    /// requests, and a newer configuration if one was in force elsewhere.
    std::vector<report_entry> context;
    /// Descriptions of the information that the logs lack.
    std::vector<std::string> missing;
};

/// Limits of a request_trace.
struct trace_options
{
    /// Maximum number of stored lines that do not belong to the request; the
    /// oldest ones are evicted.
    std::size_t max_context_lines = 500'000;
    /// Attempts of other requests at the same upstream are counted if they
    /// ended within this many seconds of an attempt of the request.
    double concurrency_window_s = 2.0;
};

/// Collects log lines and builds the report on one request. Lines of different
/// processes may arrive in any order, lines of one process in their order.
class request_trace
{
public:
    explicit request_trace(
        request_id request, const trace_options& options = {});

    /// Adds a line of any log. Complexity: amortised constant.
    void add(log_line line);

    /// Builds the report from the lines added so far. Complexity: linear in the
    /// stored lines, n log n in those of the request.
    [[nodiscard]] request_report report() const;

private:
    /// Log sources and upstreams that occur in the lines of the request.
    struct participants
    {
        std::set<std::string> sources;
        std::set<std::string> upstreams;
        /// Hashes of the request's content.
        std::set<std::string> contents;
    };

    [[nodiscard]] participants find_participants(
        const std::vector<log_line>& request_lines) const;
    [[nodiscard]] std::vector<report_entry> collect_context(
        const std::vector<log_line>& request_lines,
        const participants& involved) const;
    [[nodiscard]] std::vector<report_entry> count_similar_attempts(
        const std::vector<log_line>& request_lines) const;
    [[nodiscard]] std::vector<report_entry> find_newer_configuration(
        const log_line& last_line) const;
    [[nodiscard]] std::vector<std::string> list_missing(
        const std::vector<log_line>& request_lines) const;

    request_id request_;
    trace_options options_;
    /// Lines that contain the request ID.
    std::vector<log_line> request_lines_;
    /// State changes of processes and upstreams, and ends of other requests'
    /// attempts. Invariant: at most max_context_lines.
    std::deque<log_line> context_lines_;
    std::size_t evicted_context_lines_ = 0;
};

} // namespace wagtailseam::log_story

#endif
