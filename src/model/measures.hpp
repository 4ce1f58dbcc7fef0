// What one run measured.
#ifndef WAGTAILSEAM_MODEL_MEASURES_HPP
#define WAGTAILSEAM_MODEL_MEASURES_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailseam::model
{

/// How prompts are placed and whether kept pieces are imported.
enum class policy : std::uint8_t
{
    round_robin,
    least_load,
    always_import,
    never_import,
    oracle,
    wagtailseam,
};

[[nodiscard]] std::string_view name(policy which) noexcept;
[[nodiscard]] std::optional<policy> policy_of(std::string_view text) noexcept;
[[nodiscard]] const std::vector<policy>& all_policies();

/// What breaks in the middle of the measured time.
enum class fault : std::uint8_t
{
    none,
    store_lost,
    link_slow,
    event_gaps,
    runner_lost,
    version_swap,
};

[[nodiscard]] std::string_view name(fault which) noexcept;
[[nodiscard]] const std::vector<fault>& all_faults();

/// Use of the links as a share of their rate, over seconds.
struct link_use_share
{
    double mean = 0.0;
    double peak = 0.0;
};

/// One run; times in milliseconds.
struct run_row
{
    std::string profile;
    policy how = policy::wagtailseam;
    fault broken = fault::none;
    std::uint64_t seed = 0;
    double link_scale = 1.0;
    double load_scale = 1.0;
    std::uint64_t prompts = 0;
    double ttft_p50_ms = 0.0;
    double ttft_p95_ms = 0.0;
    double ttft_p99_ms = 0.0;
    /// p95 of the prompts of conversations that came back.
    double ttft_p95_returning_ms = 0.0;
    /// p95 of the prompts that came later than ten seconds after the fault.
    double ttft_p95_after_fault_ms = 0.0;
    /// Prompt tokens computed that had been computed before, as a share of
    /// all prompt tokens.
    double recomputed_share = 0.0;
    link_use_share link_use;
    /// Share of the time that the engines spent on prompts.
    double prefill_use = 0.0;
    std::uint64_t refused = 0;
    std::uint64_t errors = 0;
    std::uint64_t imports = 0;
    std::uint64_t imports_abandoned = 0;
};

/// Returns the quantile of the samples by the nearest rank, 0 without any.
[[nodiscard]] double quantile(std::vector<double> samples, double probability);

/// Writes rows as a JSON array, a row a line.
[[nodiscard]] std::string rows_to_json(const std::vector<run_row>& rows);

} // namespace wagtailseam::model

#endif
