// Compares placement plans with an exhaustive search, and checks that worse
// inputs never lower the cost.
#include "link/observed_rate.hpp"
#include "routing/placement_plan.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::routing
{
namespace
{

struct scenario
{
    prompt_size prompt;
    upstream_conditions upstream;
    import_source source;
    objective_weights weights;
};

scenario generate_scenario()
{
    const auto pieces = *rc::gen::inRange<std::size_t>(0, 30);
    const auto stored_pieces = *rc::gen::inRange<std::size_t>(0, 30);
    scenario generated{
        .prompt =
            {.tokens =
                 token_count{
                     pieces * 1000 + *rc::gen::inRange<std::uint64_t>(1, 1000)},
             .pieces = pieces,
             .piece = {token_count{1000}, byte_count{1000}}},
        .upstream =
            {.upstream = upstream_id{"r"},
             .queue_wait =
                 std::chrono::milliseconds(*rc::gen::inRange(0, 3000)),
             .prefill_rate = token_rate{*rc::gen::inRange(1, 20) * 1000.0},
             .cached_pieces = *rc::gen::inRange<std::size_t>(0, pieces + 1)},
        .source =
            {.store = upstream_id{"s"},
             .memory =
                 {byte_rate{*rc::gen::inRange(1, 200) * 100.0},
                  std::chrono::milliseconds(*rc::gen::inRange(0, 2000))},
             .disk =
                 {byte_rate{*rc::gen::inRange(1, 50) * 100.0},
                  std::chrono::milliseconds(*rc::gen::inRange(0, 2000))}},
        .weights = {
            *rc::gen::inRange(1, 5) * 0.25, *rc::gen::inRange(0, 5) * 0.25}};
    for (std::size_t i = 0; i < stored_pieces; ++i)
    {
        generated.source.tiers.push_back(
            *rc::gen::element(storage_tier::memory, storage_tier::disk));
    }
    return generated;
}

/// Reference implementation of the cost of importing exactly k pieces.
double cost_of(const scenario& s, std::size_t k)
{
    double memory = 0.0;
    double disk = 0.0;
    for (auto i = s.upstream.cached_pieces; i < s.upstream.cached_pieces + k;
         ++i)
    {
        (s.source.tiers[i] == storage_tier::memory ? memory : disk) += 1000.0;
    }
    const auto transfer_time =
        [](double bytes, const link_conditions& conditions)
    {
        return bytes == 0.0 ? 0.0
                            : link::duration_to_seconds(conditions.backlog) +
                                  bytes / conditions.rate.value();
    };
    const auto import_time = std::max(
        transfer_time(memory, s.source.memory),
        transfer_time(disk, s.source.disk));
    const auto remaining_tokens =
        static_cast<double>(s.prompt.tokens.value()) -
        1000.0 * static_cast<double>(s.upstream.cached_pieces + k);
    const auto prefill_time =
        remaining_tokens / s.upstream.prefill_rate.value();
    const auto queue_wait = link::duration_to_seconds(s.upstream.queue_wait);
    const auto sum = s.weights.first_token + s.weights.recomputed_share;
    return std::max(queue_wait, import_time) + prefill_time +
           s.weights.recomputed_share / sum * prefill_time;
}

placement_plan find_plan(
    const scenario& s, import_policy policy = import_policy::if_cheaper)
{
    return lowest_cost_plan(
        s.prompt, s.upstream, {&s.source, 1}, s.weights, policy);
}

RC_GTEST_PROP(
    placement_plan_property, lowest_cost_plan_equals_search_over_all_splits, ())
{
    const auto s = generate_scenario();
    const auto usable = std::min(s.source.tiers.size(), s.prompt.pieces);
    auto lowest = cost_of(s, 0);
    for (std::size_t k = 1; s.upstream.cached_pieces + k <= usable; ++k)
    {
        lowest = std::min(lowest, cost_of(s, k));
    }
    const auto best = find_plan(s);
    RC_ASSERT(std::abs(best.cost - lowest) < 1e-4);
    RC_ASSERT(std::abs(cost_of(s, best.imported_pieces) - lowest) < 1e-4);
}

RC_GTEST_PROP(placement_plan_property, worse_inputs_never_lower_the_cost, ())
{
    const auto s = generate_scenario();
    const auto before = find_plan(s).cost + 1e-4;
    auto longer_queue = s;
    longer_queue.upstream.queue_wait += std::chrono::milliseconds(100);
    RC_ASSERT(find_plan(longer_queue).cost + 2e-4 >= before);
    auto slower_link = s;
    slower_link.source.memory.rate =
        byte_rate{s.source.memory.rate.value() / 2};
    RC_ASSERT(find_plan(slower_link).cost + 2e-4 >= before);
    auto backlog = s;
    backlog.source.disk.backlog += std::chrono::milliseconds(100);
    RC_ASSERT(find_plan(backlog).cost + 2e-4 >= before);
    auto fewer_pieces = s;
    if (!fewer_pieces.source.tiers.empty())
    {
        fewer_pieces.source.tiers.pop_back();
    }
    RC_ASSERT(find_plan(fewer_pieces).cost + 2e-4 >= before);
}

RC_GTEST_PROP(
    placement_plan_property, if_cheaper_policy_never_costs_more_than_others, ())
{
    const auto s = generate_scenario();
    const auto best = find_plan(s).cost - 1e-4;
    RC_ASSERT(best <= find_plan(s, import_policy::never).cost);
    RC_ASSERT(best <= find_plan(s, import_policy::always).cost);
    RC_ASSERT(find_plan(s, import_policy::never).imported_pieces == 0U);
    const auto usable = std::min(s.source.tiers.size(), s.prompt.pieces);
    const auto available = std::max(usable, s.upstream.cached_pieces);
    RC_ASSERT(
        find_plan(s, import_policy::always).imported_pieces ==
        available - s.upstream.cached_pieces);
}

} // namespace
} // namespace wagtailseam::routing
