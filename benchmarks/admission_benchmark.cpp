// Prints, in virtual time, what admission does to the time to first token when
// one workspace sends twenty times its share.
#include "admission/test/pool_simulation.hpp"

#include <cstdio>
#include <string>

namespace
{

using namespace wagtailseam;
using namespace wagtailseam::admission::test;

/// Requests a second that the modelled pool bears, divided by its workspaces.
constexpr double fair_rate = 1.4;

int sum(const std::map<result_code, int>& of)
{
    int total = 0;
    for (const auto& [code, count] : of)
    {
        total += count;
    }
    return total;
}

/// Runs seeds 1 to 5 and prints them as one row.
void print(const std::string& what, simulation_options load, double headroom)
{
    std::vector<double> others;
    std::vector<double> first;
    int others_refused = 0;
    int first_refused = 0;
    for (load.seed = 1; load.seed <= 5; ++load.seed)
    {
        const simulation_report seen =
            pool_simulation(
                load, {.limit = {.initial = 64}, .headroom = headroom})
                .run();
        others.insert(
            others.end(), seen.others_first_token.begin(),
            seen.others_first_token.end());
        first.insert(
            first.end(), seen.noisy_first_token.begin(),
            seen.noisy_first_token.end());
        others_refused += sum(seen.others_refused);
        first_refused += sum(seen.noisy_refused);
    }
    std::printf(
        "| %.1f | %s | %.3f | %.3f | %d | %.1f | %d |\n", load.rate,
        what.c_str(), simulation_report::quantile(others, 0.5),
        simulation_report::quantile(others, 0.95), others_refused,
        static_cast<double>(first.size()) / (5 * 240), first_refused);
}

void print_load(double rate)
{
    simulation_options load{.rate = rate};
    print("first absent", load, 0.25);
    load.noisy_rate = fair_rate;
    print("first at its share", load, 0.25);
    load.noisy_rate = 20 * fair_rate;
    for (const double headroom : {0.0, 0.1, 0.25, 0.4})
    {
        print(
            "first at 20 x, headroom " + std::to_string(headroom).substr(0, 4),
            load, headroom);
    }
    load.engine_priority = false;
    print("20 x, engines without priorities", load, 0.25);
    load.engine_priority = true;
    load.capacity_known = false;
    print("20 x, slots not reported", load, 0.25);
    load.admission = false;
    print("20 x, no admission", load, 0.25);
}

} // namespace

int main()
{
    std::printf(
        "| others' rate | case | others' p50 s | others' p95 s | others "
        "refused | first served a second | first refused |\n"
        "| --- | --- | --- | --- | --- | --- | --- |\n");
    print_load(0.7);
    print_load(0.9);
    print_load(1.1);
    return 0;
}
