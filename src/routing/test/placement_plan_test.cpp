// The estimate against a brute-force search, and its monotony.
#include "link/observed_rate.hpp"
#include "routing/placement_plan.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::routing
{
namespace
{

struct scene
{
    prompt_size prompt;
    upstream_conditions view;
    import_source source;
    objective_weights weights;
};

scene draw_scene()
{
    const auto pieces = *rc::gen::inRange<std::size_t>(0, 30);
    const auto kept = *rc::gen::inRange<std::size_t>(0, 30);
    scene drawn{
        .prompt =
            {.tokens =
                 token_count{
                     pieces * 1000 + *rc::gen::inRange<std::uint64_t>(1, 1000)},
             .pieces = pieces,
             .piece = {token_count{1000}, byte_count{1000}}},
        .view =
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
    for (std::size_t i = 0; i < kept; ++i)
    {
        drawn.source.tiers.push_back(
            *rc::gen::element(storage_tier::memory, storage_tier::disk));
    }
    return drawn;
}

/// The cost of importing exactly k pieces, written out a second time.
double cost_of(const scene& s, std::size_t k)
{
    double memory = 0.0;
    double disk = 0.0;
    for (auto i = s.view.cached_pieces; i < s.view.cached_pieces + k; ++i)
    {
        (s.source.tiers[i] == storage_tier::memory ? memory : disk) += 1000.0;
    }
    const auto time = [](double bytes, const link_conditions& line)
    {
        return bytes == 0.0 ? 0.0
                            : link::duration_to_seconds(line.backlog) +
                                  bytes / line.rate.value();
    };
    const auto import =
        std::max(time(memory, s.source.memory), time(disk, s.source.disk));
    const auto left = static_cast<double>(s.prompt.tokens.value()) -
                      1000.0 * static_cast<double>(s.view.cached_pieces + k);
    const auto compute = left / s.view.prefill_rate.value();
    const auto queue = link::duration_to_seconds(s.view.queue_wait);
    const auto sum = s.weights.first_token + s.weights.recomputed_share;
    return std::max(queue, import) + compute +
           s.weights.recomputed_share / sum * compute;
}

placement_plan weigh(
    const scene& s, import_policy rule = import_policy::if_cheaper)
{
    return lowest_cost_plan(s.prompt, s.view, {&s.source, 1}, s.weights, rule);
}

RC_GTEST_PROP(estimate_property, best_plan_equals_search_over_all_splits, ())
{
    const auto s = draw_scene();
    const auto usable = std::min(s.source.tiers.size(), s.prompt.pieces);
    auto least = cost_of(s, 0);
    for (std::size_t k = 1; s.view.cached_pieces + k <= usable; ++k)
    {
        least = std::min(least, cost_of(s, k));
    }
    const auto best = weigh(s);
    RC_ASSERT(std::abs(best.cost - least) < 1e-4);
    RC_ASSERT(std::abs(cost_of(s, best.imported_pieces) - least) < 1e-4);
}

RC_GTEST_PROP(estimate_property, worse_inputs_never_lower_the_cost, ())
{
    const auto s = draw_scene();
    const auto before = weigh(s).cost + 1e-4;
    auto queue = s;
    queue.view.queue_wait += std::chrono::milliseconds(100);
    RC_ASSERT(weigh(queue).cost + 2e-4 >= before);
    auto slow = s;
    slow.source.memory.rate = byte_rate{s.source.memory.rate.value() / 2};
    RC_ASSERT(weigh(slow).cost + 2e-4 >= before);
    auto backlog = s;
    backlog.source.disk.backlog += std::chrono::milliseconds(100);
    RC_ASSERT(weigh(backlog).cost + 2e-4 >= before);
    auto fewer = s;
    if (!fewer.source.tiers.empty())
    {
        fewer.source.tiers.pop_back();
    }
    RC_ASSERT(weigh(fewer).cost + 2e-4 >= before);
}

RC_GTEST_PROP(estimate_property, rules_bound_the_weighed_plan, ())
{
    const auto s = draw_scene();
    const auto best = weigh(s).cost - 1e-4;
    RC_ASSERT(best <= weigh(s, import_policy::never).cost);
    RC_ASSERT(best <= weigh(s, import_policy::always).cost);
    RC_ASSERT(weigh(s, import_policy::never).imported_pieces == 0U);
    const auto usable = std::min(s.source.tiers.size(), s.prompt.pieces);
    const auto held = std::max(usable, s.view.cached_pieces);
    RC_ASSERT(
        weigh(s, import_policy::always).imported_pieces ==
        held - s.view.cached_pieces);
}

} // namespace
} // namespace wagtailseam::routing
