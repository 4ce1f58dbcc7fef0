// wagtail-load: runs workloads and reports what was measured.
#include "model/measures.hpp"
#include "model/simulation.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <thread>

ABSL_FLAG(
    std::vector<std::string>, profile,
    std::vector<std::string>(
        {"examples/profiles/utility.json", "examples/profiles/huella.json"}),
    "profiles to run, JSON with comments");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the first run");
ABSL_FLAG(std::uint64_t, seeds, 1, "number of seeds, counted up from --seed");
ABSL_FLAG(
    std::vector<std::string>, policies, {}, "policies to run; all when empty");
ABSL_FLAG(
    std::vector<std::string>, link_scale, std::vector<std::string>({"1"}),
    "factors on the rate of every link");
ABSL_FLAG(double, load_scale, 1.0, "factor on the conversations a second");
ABSL_FLAG(bool, faults, false, "also run each fault at link scale 1");
ABSL_FLAG(std::string, json, "", "file for the rows; nothing: none");
ABSL_FLAG(unsigned, threads, 3, "runs at the same time");

namespace
{

using namespace wagtailseam;

struct planned_run
{
    const model::profile* from = nullptr;
    model::run_options options;
};

result<model::profile> load_profile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return fail(result_code::missing_field, path);
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    return model::read_profile(text);
}

result<std::vector<model::policy>> chosen_policies()
{
    const auto names = absl::GetFlag(FLAGS_policies);
    if (names.empty())
    {
        return model::all_policies();
    }
    std::vector<model::policy> chosen;
    for (const auto& text : names)
    {
        const auto which = model::policy_of(text);
        if (!which)
        {
            return fail(result_code::out_of_range, "policy " + text);
        }
        chosen.push_back(*which);
    }
    return chosen;
}

result<std::vector<double>> chosen_scales()
{
    std::vector<double> scales;
    for (const auto& text : absl::GetFlag(FLAGS_link_scale))
    {
        std::istringstream in(text);
        double scale = 0.0;
        if (!(in >> scale) || scale <= 0.0)
        {
            return fail(result_code::out_of_range, "link_scale " + text);
        }
        scales.push_back(scale);
    }
    return scales;
}

void plan_seed(
    const model::profile& from, std::uint64_t seed,
    const std::vector<model::policy>& policies,
    const std::vector<double>& scales, std::vector<planned_run>& plan)
{
    const auto load = absl::GetFlag(FLAGS_load_scale);
    for (const auto scale : scales)
    {
        for (const auto how : policies)
        {
            plan.push_back(
                {&from,
                 {.how = how,
                  .seed = seed,
                  .link_scale = scale,
                  .load_scale = load}});
        }
    }
    if (!absl::GetFlag(FLAGS_faults))
    {
        return;
    }
    for (const auto broken : model::all_faults())
    {
        for (const auto how : policies)
        {
            plan.push_back(
                {&from,
                 {.how = how,
                  .seed = seed,
                  .load_scale = load,
                  .broken = broken}});
        }
    }
}

std::vector<model::run_row> run_all(const std::vector<planned_run>& plan)
{
    std::vector<model::run_row> rows(plan.size());
    std::atomic<std::size_t> next{0};
    const auto work = [&]
    {
        for (auto i = next++; i < plan.size(); i = next++)
        {
            rows[i] = model::simulation(*plan[i].from, plan[i].options).run();
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::max(1U, absl::GetFlag(FLAGS_threads)); ++i)
    {
        threads.emplace_back(work);
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    return rows;
}

void print_rows(const std::vector<model::run_row>& rows)
{
    std::printf(
        "%-8s %-14s %-13s %4s %6s %7s %8s %8s %8s %8s %7s %6s %6s %6s %6s\n",
        "profile", "policy", "fault", "seed", "scale", "prompts", "p50_ms",
        "p95_ms", "ret95_ms", "after_ms", "recomp", "l_mean", "l_peak", "busy",
        "errors");
    for (const auto& row : rows)
    {
        std::printf(
            "%-8s %-14s %-13s %4llu %6.2f %7llu %8.1f %8.1f %8.1f %8.1f %7.4f "
            "%6.3f %6.3f %6.3f %llu+%llu\n",
            row.profile.c_str(), std::string(name(row.how)).c_str(),
            std::string(name(row.broken)).c_str(),
            static_cast<unsigned long long>(row.seed), row.link_scale,
            static_cast<unsigned long long>(row.prompts), row.ttft_p50_ms,
            row.ttft_p95_ms, row.ttft_p95_returning_ms,
            row.ttft_p95_after_fault_ms, row.recomputed_share,
            row.link_use.mean, row.link_use.peak, row.prefill_use,
            static_cast<unsigned long long>(row.refused),
            static_cast<unsigned long long>(row.errors));
    }
}

int experiment()
{
    const auto policies = chosen_policies();
    const auto scales = chosen_scales();
    if (!policies || !scales)
    {
        std::cerr << (policies ? scales.error() : policies.error()).detail
                  << " is not known\n";
        return 2;
    }
    std::vector<model::profile> profiles;
    for (const auto& path : absl::GetFlag(FLAGS_profile))
    {
        auto read = load_profile(path);
        if (!read)
        {
            std::cerr << path << ": " << name(read.error().code) << " "
                      << read.error().detail << "\n";
            return 2;
        }
        profiles.push_back(std::move(read.value()));
    }
    std::vector<planned_run> plan;
    for (const auto& from : profiles)
    {
        for (std::uint64_t i = 0; i < absl::GetFlag(FLAGS_seeds); ++i)
        {
            plan_seed(
                from, absl::GetFlag(FLAGS_seed) + i, policies.value(),
                scales.value(), plan);
        }
    }
    const auto rows = run_all(plan);
    print_rows(rows);
    if (const auto path = absl::GetFlag(FLAGS_json); !path.empty())
    {
        std::ofstream file(path);
        file << model::rows_to_json(rows);
        return file ? 0 : 1;
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "wagtail-load experiment [--profile FILE,...] [--seed N] "
        "[--policies A,B] [--link_scale X,Y] [--json FILE]");
    const auto words = absl::ParseCommandLine(argc, argv);
    if (words.size() == 2 && std::string(words[1]) == "experiment")
    {
        return experiment();
    }
    std::cerr << absl::ProgramUsageMessage() << "\n";
    return 2;
}
