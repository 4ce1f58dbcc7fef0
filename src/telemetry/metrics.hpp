// Counters, gauges, summaries and histograms in Prometheus' text format.
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

/// Metrics registry of a process. Not thread-safe: used on one io_context.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Increments the counter `family{label="value"}` by amount.
    /// Complexity: logarithmic in the number of counters.
    void count(
        std::string_view family, std::string_view label = {},
        std::string_view value = {}, std::uint64_t amount = 1);

    /// Increments wagtail_refusals_total with the code's name as reason.
    void count_refusal(result_code code);
    /// Increments wagtail_retries_total with the code's name as reason.
    void count_retry(result_code code);

    /// Sets a gauge.
    void set_gauge(std::string_view family, double value);

    /// Adds a sample to a summary; the family name states the unit.
    void observe(std::string_view family, double sample);

    /// Adds a duration to the histogram `family{label="value"}`. The bucket
    /// upper bounds range from 5 ms to 30 s.
    void observe_duration(
        std::string_view family, std::string_view label, std::string_view value,
        std::chrono::duration<double> elapsed);

    /// Returns the sum of the family's counters, or of those with the given
    /// label value. Unknown counters have the value 0.
    [[nodiscard]] std::uint64_t counter_value(
        std::string_view family, std::string_view value = {}) const;

    /// Returns an estimated quantile of a summary, 0 without samples.
    /// @param probability 0.5, 0.95 or 0.99; any other gives 0
    [[nodiscard]] double quantile(
        std::string_view family, double probability) const;

    /// Returns all metrics in Prometheus' text format.
    [[nodiscard]] std::string prometheus_text() const;

private:
    struct summary;
    [[nodiscard]] static double estimate_quantile(
        const summary& samples, double probability);
    struct series_key
    {
        std::string family;
        std::string label;
        std::string value;
        friend auto operator<=>(const series_key&, const series_key&) = default;
    };
    std::map<series_key, std::uint64_t> counters_;
    std::map<std::string, double, std::less<>> gauges_;
    std::map<std::string, std::unique_ptr<summary>, std::less<>> summaries_;
    struct duration_histogram;
    std::map<series_key, std::unique_ptr<duration_histogram>> histograms_;
};

} // namespace wagtailseam::telemetry

#endif
