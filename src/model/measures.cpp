// What one run measured.
#include "model/measures.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace wagtailseam::model
{

std::string_view name(policy which) noexcept
{
    switch (which)
    {
    case policy::round_robin:
        return "round_robin";
    case policy::least_load:
        return "least_load";
    case policy::always_import:
        return "always_import";
    case policy::never_import:
        return "never_import";
    case policy::oracle:
        return "oracle";
    case policy::wagtailseam:
        return "wagtailseam";
    }
    return "unlisted";
}

const std::vector<policy>& all_policies()
{
    static const std::vector<policy> all{
        policy::round_robin,  policy::least_load, policy::always_import,
        policy::never_import, policy::oracle,     policy::wagtailseam};
    return all;
}

std::optional<policy> policy_of(std::string_view text) noexcept
{
    for (const auto which : all_policies())
    {
        if (name(which) == text)
        {
            return which;
        }
    }
    return std::nullopt;
}

std::string_view name(fault which) noexcept
{
    switch (which)
    {
    case fault::none:
        return "none";
    case fault::store_lost:
        return "store_lost";
    case fault::link_slow:
        return "link_slow";
    case fault::event_gaps:
        return "event_gaps";
    case fault::runner_lost:
        return "runner_lost";
    case fault::version_swap:
        return "version_swap";
    }
    return "unlisted";
}

const std::vector<fault>& all_faults()
{
    static const std::vector<fault> all{
        fault::store_lost, fault::link_slow, fault::event_gaps,
        fault::runner_lost, fault::version_swap};
    return all;
}

double quantile(std::vector<double> samples, double probability)
{
    if (samples.empty())
    {
        return 0.0;
    }
    const auto rank = static_cast<std::size_t>(
        std::ceil(probability * static_cast<double>(samples.size())));
    const auto at = std::clamp<std::size_t>(rank, 1, samples.size()) - 1;
    const auto place = samples.begin() + static_cast<std::ptrdiff_t>(at);
    std::nth_element(samples.begin(), place, samples.end());
    return *place;
}

std::string rows_to_json(const std::vector<run_row>& rows)
{
    std::string text = "[\n";
    for (const auto& row : rows)
    {
        const nlohmann::ordered_json line{
            {"profile", row.profile},
            {"policy", std::string(name(row.how))},
            {"fault", std::string(name(row.broken))},
            {"seed", row.seed},
            {"link_scale", row.link_scale},
            {"load_scale", row.load_scale},
            {"prompts", row.prompts},
            {"ttft_p50_ms", row.ttft_p50_ms},
            {"ttft_p95_ms", row.ttft_p95_ms},
            {"ttft_p99_ms", row.ttft_p99_ms},
            {"ttft_p95_returning_ms", row.ttft_p95_returning_ms},
            {"ttft_p95_after_fault_ms", row.ttft_p95_after_fault_ms},
            {"recomputed_share", row.recomputed_share},
            {"link_use",
             {{"mean", row.link_use.mean}, {"peak", row.link_use.peak}}},
            {"prefill_use", row.prefill_use},
            {"refused", row.refused},
            {"errors", row.errors},
            {"imports", row.imports},
            {"imports_abandoned", row.imports_abandoned}};
        text += "  " + line.dump() + (&row == &rows.back() ? "\n" : ",\n");
    }
    return text + "]\n";
}

} // namespace wagtailseam::model
