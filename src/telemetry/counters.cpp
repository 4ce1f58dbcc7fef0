// Counters by map, distributions by Boost.Accumulators.
#include "telemetry/counters.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <fmt/format.h>

namespace wagtailseam::telemetry
{
namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> probabilities{0.5, 0.95, 0.99};

} // namespace

struct metrics::distribution
{
    acc::accumulator_set<
        double,
        acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>
        samples{acc::extended_p_square_probabilities = probabilities};
};

metrics::metrics() = default;
metrics::~metrics() = default;

double metrics::quantile_of(const distribution& samples, double probability)
{
    const auto quantiles = acc::extended_p_square(samples.samples);
    auto quantile = quantiles.begin();
    for (const double known : probabilities)
    {
        if (known == probability)
        {
            return *quantile;
        }
        ++quantile;
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

void metrics::set(std::string_view family, double value)
{
    gauges_.insert_or_assign(std::string(family), value);
}

void metrics::observe(std::string_view family, double sample)
{
    auto found = distributions_.find(family);
    if (found == distributions_.end())
    {
        found =
            distributions_
                .emplace(std::string(family), std::make_unique<distribution>())
                .first;
    }
    found->second->samples(sample);
}

std::uint64_t metrics::counter(
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
    const auto found = distributions_.find(family);
    if (found == distributions_.end())
    {
        return 0;
    }
    return quantile_of(*found->second, probability);
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
    for (const auto& [family, held] : distributions_)
    {
        const auto& samples = held->samples;
        for (const double probability : probabilities)
        {
            fmt::format_to(
                out, "{}{{quantile=\"{}\"}} {}\n", family, probability,
                quantile_of(*held, probability));
        }
        fmt::format_to(out, "{}_sum {}\n", family, acc::sum(samples));
        fmt::format_to(out, "{}_count {}\n", family, acc::count(samples));
    }
    return text;
}

} // namespace wagtailseam::telemetry
