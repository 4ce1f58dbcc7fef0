// The estimate of the time to first token of one prompt at one upstream.
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

placement_plan plan(
    const prompt_size& prompt, const upstream_conditions& view,
    std::size_t imported, duration import_time,
    const objective_weights& weights)
{
    const auto held =
        (view.cached_pieces + imported) * prompt.piece.tokens.value();
    BOOST_ASSERT(held <= prompt.tokens.value());
    const auto computed = prompt.tokens.value() - held;
    const auto compute_seconds =
        static_cast<double>(computed) / view.prefill_rate.value();
    const auto start = std::max(view.queue_wait, import_time);
    placement_plan made{
        .upstream = view.upstream,
        .queue_wait = view.queue_wait,
        .import_time = import_time,
        .prefill_time = seconds_to_duration(compute_seconds),
        .time_to_first_token = start + seconds_to_duration(compute_seconds),
        .cached_pieces = view.cached_pieces,
        .imported_pieces = imported,
        .computed_tokens = token_count{computed}};
    made.cost = duration_to_seconds(made.time_to_first_token) +
                extra_prefill_weight(weights) * compute_seconds;
    return made;
}

/// The time until the pieces added so far are imported, tier by tier.
class import_clock
{
public:
    import_clock(const import_source& source, byte_count piece)
        : source_(source), piece_bytes_(static_cast<double>(piece.value()))
    {
    }

    void add(storage_tier tier)
    {
        (tier == storage_tier::memory ? memory_ : disk_) += piece_bytes_;
    }

    [[nodiscard]] duration elapsed() const
    {
        return std::max(
            time_of(memory_, source_.memory), time_of(disk_, source_.disk));
    }

private:
    [[nodiscard]] static duration time_of(
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
    double memory_ = 0.0;
    double disk_ = 0.0;
};

void weigh_source(
    const prompt_size& prompt, const upstream_conditions& view,
    const import_source& source, const objective_weights& weights,
    import_policy rule, placement_plan& best)
{
    import_clock clock(source, prompt.piece.bytes);
    const auto usable = std::min(source.tiers.size(), prompt.pieces);
    for (std::size_t at = view.cached_pieces; at < usable; ++at)
    {
        clock.add(source.tiers[at]);
        const auto imported = at + 1 - view.cached_pieces;
        auto next = plan(prompt, view, imported, clock.elapsed(), weights);
        const bool forced =
            rule == import_policy::always && imported > best.imported_pieces;
        const bool cheaper =
            rule == import_policy::if_cheaper && next.cost < best.cost;
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
    const prompt_size& prompt, const upstream_conditions& view,
    std::span<const import_source> sources, const objective_weights& weights,
    import_policy rule)
{
    BOOST_ASSERT(view.prefill_rate.value() > 0.0);
    auto bounded = view;
    bounded.cached_pieces = std::min(view.cached_pieces, prompt.pieces);
    auto best = plan(prompt, bounded, 0, duration::zero(), weights);
    best.time_to_first_token_without_import = best.time_to_first_token;
    if (rule == import_policy::never)
    {
        return best;
    }
    for (const auto& source : sources)
    {
        weigh_source(prompt, bounded, source, weights, rule, best);
    }
    return best;
}

} // namespace wagtailseam::routing
