// Summaries use Boost.Accumulators, histograms use Boost.Histogram.
#include "telemetry/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>

#include <array>
#include <fmt/format.h>
#include <vector>

namespace wagtailseam::telemetry
{
namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantile_probabilities{0.5, 0.95, 0.99};

namespace bh = boost::histogram;

/// Bucket bounds in seconds, finer around the latency targets of 0.3 to 0.5 s.
const std::vector<double> bucket_bounds_s{0,   0.005, 0.01, 0.025, 0.05, 0.1,
                                          0.2, 0.3,   0.4,  0.5,   0.75, 1,
                                          1.5, 2,     4,    8,     15,   30};

using duration_buckets = decltype(bh::make_histogram(
    bh::axis::variable<>(bucket_bounds_s.begin(), bucket_bounds_s.end())));

} // namespace

struct metrics::summary
{
    acc::accumulator_set<
        double,
        acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>
        samples{acc::extended_p_square_probabilities = quantile_probabilities};
};

struct metrics::duration_histogram
{
    duration_buckets buckets = bh::make_histogram(
        bh::axis::variable<>(bucket_bounds_s.begin(), bucket_bounds_s.end()));
    double sum_s = 0;
    std::uint64_t count = 0;
};

metrics::metrics() = default;
metrics::~metrics() = default;

double metrics::estimate_quantile(const summary& samples, double probability)
{
    const auto estimates = acc::extended_p_square(samples.samples);
    auto estimate = estimates.begin();
    for (const double supported : quantile_probabilities)
    {
        if (supported == probability)
        {
            return *estimate;
        }
        ++estimate;
    }
    return 0;
}

void metrics::count(
    std::string_view family, std::string_view label, std::string_view value,
    std::uint64_t amount)
{
    counters_[{std::string(family), std::string(label), std::string(value)}] +=
        amount;
}

void metrics::count_refusal(result_code code)
{
    count("wagtail_refusals_total", "reason", name(code));
}

void metrics::count_retry(result_code code)
{
    count("wagtail_retries_total", "reason", name(code));
}

void metrics::set_gauge(std::string_view family, double value)
{
    gauges_.insert_or_assign(std::string(family), value);
}

void metrics::observe(std::string_view family, double sample)
{
    auto found = summaries_.find(family);
    if (found == summaries_.end())
    {
        found =
            summaries_.emplace(std::string(family), std::make_unique<summary>())
                .first;
    }
    found->second->samples(sample);
}

void metrics::observe_duration(
    std::string_view family, std::string_view label, std::string_view value,
    std::chrono::duration<double> elapsed)
{
    auto& histogram = histograms_[{
        std::string(family), std::string(label), std::string(value)}];
    if (!histogram)
    {
        histogram = std::make_unique<duration_histogram>();
    }
    histogram->buckets(elapsed.count());
    histogram->sum_s += elapsed.count();
    ++histogram->count;
}

std::uint64_t metrics::counter_value(
    std::string_view family, std::string_view value) const
{
    std::uint64_t total = 0;
    for (const auto& [key, amount] : counters_)
    {
        const bool matches =
            key.family == family && (value.empty() || key.value == value);
        total += matches ? amount : 0;
    }
    return total;
}

double metrics::quantile(std::string_view family, double probability) const
{
    const auto found = summaries_.find(family);
    if (found == summaries_.end())
    {
        return 0;
    }
    return estimate_quantile(*found->second, probability);
}

std::string metrics::prometheus_text() const
{
    std::string text;
    const auto out = std::back_inserter(text);
    for (const auto& [key, amount] : counters_)
    {
        if (key.label.empty())
        {
            fmt::format_to(out, "{} {}\n", key.family, amount);
            continue;
        }
        fmt::format_to(
            out, "{}{{{}=\"{}\"}} {}\n", key.family, key.label, key.value,
            amount);
    }
    for (const auto& [family, value] : gauges_)
    {
        fmt::format_to(out, "{} {}\n", family, value);
    }
    for (const auto& [family, aggregate] : summaries_)
    {
        const auto& samples = aggregate->samples;
        for (const double probability : quantile_probabilities)
        {
            fmt::format_to(
                out, "{}{{quantile=\"{}\"}} {}\n", family, probability,
                estimate_quantile(*aggregate, probability));
        }
        fmt::format_to(out, "{}_sum {}\n", family, acc::sum(samples));
        fmt::format_to(out, "{}_count {}\n", family, acc::count(samples));
    }
    for (const auto& [key, histogram] : histograms_)
    {
        // Prometheus buckets are cumulative.
        double cumulative_count = 0;
        for (int i = 0; i + 1 < std::ssize(bucket_bounds_s); ++i)
        {
            cumulative_count += histogram->buckets.at(i);
            fmt::format_to(
                out, "{}_bucket{{{}=\"{}\",le=\"{}\"}} {}\n", key.family,
                key.label, key.value, bucket_bounds_s[std::size_t(i) + 1],
                cumulative_count);
        }
        fmt::format_to(
            out,
            "{0}_bucket{{{1}=\"{2}\",le=\"+Inf\"}} {3}\n"
            "{0}_count{{{1}=\"{2}\"}} {3}\n{0}_sum{{{1}=\"{2}\"}} {4}\n",
            key.family, key.label, key.value, histogram->count,
            histogram->sum_s);
    }
    return text;
}

} // namespace wagtailseam::telemetry
