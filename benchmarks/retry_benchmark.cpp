// Prints what a retry storm costs: attempts made while every upstream fails,
// with a bound per request only, and with the pool's budget and circuits.
#include "retry/circuit_breaker.hpp"
#include "retry/retry_plan.hpp"

#include <cstdio>

namespace
{

using namespace wagtailseam;
using namespace wagtailseam::retry;

constexpr int requests = 20000;
constexpr int upstreams = 10;

struct totals
{
    int attempts = 0;
    int refused_by_circuit = 0;
};

/// One request every 5 ms in virtual time; all attempts fail at once.
totals run(const retry_budget_options& budget_options, bool circuits_used)
{
    retry_budget budget(budget_options);
    circuit_breaker_set circuits;
    random_source random(11);
    totals seen;
    for (int i = 0; i < requests; ++i)
    {
        mono_time now(std::chrono::milliseconds(5L * i));
        const mono_time deadline = now + std::chrono::seconds(20);
        budget.on_request();
        std::uint32_t made = 0;
        bool again = true;
        while (again)
        {
            const upstream_id at(std::to_string(random.below(upstreams)));
            const auto leave =
                circuits_used ? circuits.acquire(at, now) : circuit_permit{};
            ++made;
            if (leave)
            {
                ++seen.attempts;
                circuits.record_outcome(
                    at, *leave, attempt_outcome::failure, random, now);
            }
            else
            {
                ++seen.refused_by_circuit;
            }
            const auto decision = plan_retry(
                {.attempts = made, .deadline = deadline}, {}, budget, random,
                now);
            const auto* const next = std::get_if<retry_at>(&decision);
            again = next != nullptr;
            now = again ? next->at : now;
        }
    }
    return seen;
}

void print(const char* what, const totals& seen)
{
    std::printf(
        "| %s | %d | %d | %.4f | %d |\n", what, requests, seen.attempts,
        static_cast<double>(seen.attempts) / requests, seen.refused_by_circuit);
}

} // namespace

int main()
{
    const retry_budget_options unbounded{.initial = 1e9, .capacity = 1e9};
    const retry_budget_options full{.initial = 32};
    std::printf("| case | requests | attempts | ratio | held by circuit |\n"
                "| --- | --- | --- | --- | --- |\n");
    print("four attempts each, no budget", run(unbounded, false));
    print("new budget", run({}, false));
    print("full budget", run(full, false));
    print("full budget and circuits", run(full, true));
    return 0;
}
