// The story of one request, told from the log lines of many processes.
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

struct report_entry
{
    /// The collector's seconds, or the process's clock.
    std::string timestamp;
    std::string source;
    std::string text;
};

struct request_report
{
    /// How the request ended, in one sentence.
    std::string outcome;
    /// Lines that name the request, in time order.
    std::vector<report_entry> timeline;
    /// What its processes believed then: the last line of each kind before
    /// the request's end, on its gateways and on its upstreams.
    std::vector<report_entry> context;
    /// What the logs do not tell.
    std::vector<std::string> missing;
};

struct trace_options
{
    /// Lines about beliefs that are kept at most; the oldest go first.
    std::size_t max_context_lines = 500'000;
    /// Other requests' attempts at the same upstream count when they ended
    /// this close to one of the request's, in seconds.
    double concurrency_window_s = 2.0;
};

/// Collects lines and tells the story. Lines may come in any order between
/// processes; those of one process keep theirs.
class request_trace
{
public:
    explicit request_trace(
        request_id request, const trace_options& options = {});

    /// Takes one line of any log. Complexity: amortised constant.
    void add(log_line line);

    /// Complexity: linear in the lines kept, n log n in the request's own.
    [[nodiscard]] request_report report() const;

private:
    /// Upstreams and processes that had to do with the request.
    struct cast
    {
        std::set<std::string> sources;
        std::set<std::string> upstreams;
    };

    [[nodiscard]] cast cast_of(const std::vector<log_line>& own) const;
    [[nodiscard]] std::vector<report_entry> background(
        const std::vector<log_line>& own, const cast& in) const;
    [[nodiscard]] std::vector<report_entry> neighbours(
        const std::vector<log_line>& own) const;
    [[nodiscard]] std::vector<report_entry> newer_elsewhere(
        const log_line& end) const;
    [[nodiscard]] std::vector<std::string> missing(
        const std::vector<log_line>& own) const;

    request_id request_;
    trace_options options_;
    /// Lines that name the request.
    std::vector<log_line> own_;
    /// Lines that tell what a process believes, and ends of other requests'
    /// attempts; at most max_context_lines.
    std::deque<log_line> beliefs_;
    std::size_t beliefs_forgotten_ = 0;
};

} // namespace wagtailseam::log_story

#endif
