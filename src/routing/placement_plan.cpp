// Implements the search for the cheapest placement plan.
#include "routing/placement_plan.hpp"

#include "link/observed_rate.hpp"

#include <boost/assert.hpp>

#include <algorithm>

namespace wagtailseam::routing
{

namespace
{

using link::duration_to_seconds;
using link::seconds_to_duration;

placement_plan make_plan(
    const prompt_size& prompt, const upstream_conditions& conditions,
    std::size_t imported, duration import_time,
    const objective_weights& weights)
{
    const auto available_tokens =
        (conditions.cached_pieces + imported) * prompt.piece.tokens.value();
    BOOST_ASSERT(available_tokens <= prompt.tokens.value());
    const auto computed_tokens = prompt.tokens.value() - available_tokens;
    const auto prefill_seconds =
        static_cast<double>(computed_tokens) / conditions.prefill_rate.value();
    const auto start = std::max(conditions.queue_wait, import_time);
    placement_plan plan{
        .upstream = conditions.upstream,
        .queue_wait = conditions.queue_wait,
        .import_time = import_time,
        .prefill_time = seconds_to_duration(prefill_seconds),
        .time_to_first_token = start + seconds_to_duration(prefill_seconds),
        .cached_pieces = conditions.cached_pieces,
        .imported_pieces = imported,
        .computed_tokens = token_count{computed_tokens}};
    plan.cost = duration_to_seconds(plan.time_to_first_token) +
                extra_prefill_weight(weights) * prefill_seconds;
    return plan;
}

/// Estimates the time to import a set of pieces. The tiers have separate links,
/// which transfer in parallel.
class import_time_estimator
{
public:
    import_time_estimator(const import_source& source, byte_count piece)
        : source_(source), piece_bytes_(static_cast<double>(piece.value()))
    {
    }

    void add(storage_tier tier)
    {
        (tier == storage_tier::memory ? memory_bytes_ : disk_bytes_) +=
            piece_bytes_;
    }

    [[nodiscard]] duration import_time() const
    {
        return std::max(
            transfer_time(memory_bytes_, source_.memory),
            transfer_time(disk_bytes_, source_.disk));
    }

private:
    [[nodiscard]] static duration transfer_time(
        double bytes, const link_conditions& link)
    {
        if (bytes <= 0.0)
        {
            return duration::zero();
        }
        return link.backlog + seconds_to_duration(bytes / link.rate.value());
    }

    const import_source& source_;
    double piece_bytes_;
    double memory_bytes_ = 0.0;
    double disk_bytes_ = 0.0;
};

/// Replaces `best` by a plan that imports from the source, if one is better.
void consider_source(
    const prompt_size& prompt, const upstream_conditions& conditions,
    const import_source& source, const objective_weights& weights,
    import_policy policy, placement_plan& best)
{
    import_time_estimator estimator(source, prompt.piece.bytes);
    const auto usable_pieces = std::min(source.tiers.size(), prompt.pieces);
    for (std::size_t piece = conditions.cached_pieces; piece < usable_pieces;
         ++piece)
    {
        estimator.add(source.tiers[piece]);
        const auto imported = piece + 1 - conditions.cached_pieces;
        auto next = make_plan(
            prompt, conditions, imported, estimator.import_time(), weights);
        const bool forced =
            policy == import_policy::always && imported > best.imported_pieces;
        const bool cheaper =
            policy == import_policy::if_cheaper && next.cost < best.cost;
        if (forced || cheaper)
        {
            next.store = source.store;
            next.time_to_first_token_without_import =
                best.time_to_first_token_without_import;
            best = std::move(next);
        }
    }
}

} // namespace

double extra_prefill_weight(const objective_weights& weights) noexcept
{
    const auto sum = weights.first_token + weights.recomputed_share;
    return sum > 0.0 ? weights.recomputed_share / sum : 0.0;
}

placement_plan lowest_cost_plan(
    const prompt_size& prompt, const upstream_conditions& conditions,
    std::span<const import_source> sources, const objective_weights& weights,
    import_policy policy)
{
    BOOST_ASSERT(conditions.prefill_rate.value() > 0.0);
    auto bounded = conditions;
    bounded.cached_pieces = std::min(conditions.cached_pieces, prompt.pieces);
    auto best = make_plan(prompt, bounded, 0, duration::zero(), weights);
    best.time_to_first_token_without_import = best.time_to_first_token;
    if (policy == import_policy::never)
    {
        return best;
    }
    for (const auto& source : sources)
    {
        consider_source(prompt, bounded, source, weights, policy, best);
    }
    return best;
}

} // namespace wagtailseam::routing
