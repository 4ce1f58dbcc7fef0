// Counters and distributions of one process, printed as Prometheus text.
#ifndef WAGTAILSEAM_TELEMETRY_METRICS_HPP
#define WAGTAILSEAM_TELEMETRY_METRICS_HPP

#include "core/result_code.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace wagtailseam::telemetry
{

/// The metrics of one process. Not thread-safe: one io_context owns it.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds to the counter `family{label="value"}`.
    /// Complexity: logarithmic in the number of counters.
    void count(
        std::string_view family, std::string_view label = {},
        std::string_view value = {}, std::uint64_t amount = 1);

    /// Adds one to wagtail_refusals_total for the code's name.
    void count_refusal(result_code code);
    /// Adds one to wagtail_retries_total for the code's name.
    void count_retry(result_code code);

    /// Sets a value that goes up and down.
    void set_gauge(std::string_view family, double value);

    /// Adds a sample to a distribution; the unit belongs into the name.
    void observe(std::string_view family, double sample);

    /// Adds a time to the histogram `family{label="value"}`, whose buckets end
    /// at 5 ms to 30 s.
    void observe_duration(
        std::string_view family, std::string_view label, std::string_view value,
        std::chrono::duration<double> time);

    /// Returns a counter's value, 0 when nothing was counted.
    [[nodiscard]] std::uint64_t counter_value(
        std::string_view family, std::string_view value = {}) const;

    /// Returns a distribution's quantile (0.5, 0.95 or 0.99), 0 without
    /// samples.
    [[nodiscard]] double quantile(
        std::string_view family, double probability) const;

    /// Returns all metrics in Prometheus' text format.
    [[nodiscard]] std::string prometheus_text() const;

private:
    struct distribution;
    [[nodiscard]] static double quantile_of(
        const distribution& samples, double probability);
    struct counter_key
    {
        std::string family;
        std::string label;
        std::string value;
        friend auto operator<=>(const counter_key&, const counter_key&) =
            default;
    };
    std::map<counter_key, std::uint64_t> counters_;
    std::map<std::string, double, std::less<>> gauges_;
    std::map<std::string, std::unique_ptr<distribution>, std::less<>>
        distributions_;
    struct time_histogram;
    std::map<counter_key, std::unique_ptr<time_histogram>> histograms_;
};

} // namespace wagtailseam::telemetry

#endif
