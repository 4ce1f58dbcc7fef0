// Draws the prompts of one run.
#include "model/workload.hpp"

#include "core/random_source.hpp"
#include "link/observed_rate.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace wagtailseam::model
{

namespace
{

double draw_exponential(random_source& random, double mean)
{
    return -mean * std::log(1.0 - random.unit());
}

double draw_lognormal(random_source& random, double median, double sigma)
{
    // Box-Muller transform.
    const auto radius = std::sqrt(-2.0 * std::log(1.0 - random.unit()));
    const auto angle = 2.0 * std::numbers::pi * random.unit();
    return median * std::exp(sigma * radius * std::cos(angle));
}

/// Returns an index, each as likely as its share.
template <class Items, class Share>
std::size_t draw_index(random_source& random, const Items& items, Share share)
{
    double sum = 0.0;
    for (const auto& item : items)
    {
        sum += share(item);
    }
    auto left = random.unit() * sum;
    for (std::size_t i = 0; i + 1 < items.size(); ++i)
    {
        left -= share(items[i]);
        if (left < 0.0)
        {
            return i;
        }
    }
    return items.size() - 1;
}

token_count tokens_of(double value)
{
    return token_count{static_cast<std::uint64_t>(std::max(1.0, value))};
}

class workload_drawer
{
public:
    workload_drawer(const profile& from, std::uint64_t seed)
        : from_(from), random_(seed),
          end_s_(from.workload.warm_up_s + from.workload.measured_s)
    {
    }

    std::vector<arrival> draw()
    {
        double at = 0.0;
        while (true)
        {
            at += draw_exponential(random_, 1.0 / rate_at(at));
            if (at >= end_s_)
            {
                break;
            }
            draw_conversation(at);
        }
        std::stable_sort(
            drawn_.begin(), drawn_.end(),
            [](const arrival& a, const arrival& b) { return a.when < b.when; });
        return std::move(drawn_);
    }

private:
    [[nodiscard]] double rate_at(double at) const
    {
        const auto& load = from_.workload;
        const bool burst = std::fmod(at, load.burst_every_s) >=
                           load.burst_every_s - load.burst_length_s;
        return load.conversations_per_second *
               (burst ? load.burst_factor : 1.0);
    }

    void draw_conversation(double at)
    {
        const auto& load = from_.workload;
        const auto workspace = draw_index(
            random_, load.workspace_shares, [](double s) { return s; });
        const auto& kind = load.kinds[draw_index(
            random_, load.kinds,
            [](const conversation_kind& k) { return k.share; })];
        const auto number = ++conversations_;
        auto known = load.shared_tokens;
        auto tokens = known + draw_lognormal(
                                  random_, kind.file_tokens_median,
                                  kind.file_tokens_sigma);
        for (std::size_t turn = 0; turn < kind.most_prompts; ++turn)
        {
            tokens += draw_lognormal(random_, kind.question_tokens, 0.4);
            const auto output =
                draw_lognormal(random_, kind.output_tokens, 0.4);
            arrival one{
                .when = mono_time(link::seconds_to_duration(at)),
                .entry = random_.below(from_.entries),
                .workspace = workspace,
                .conversation = number,
                .priority = kind.priority,
                .tokens = tokens_of(tokens),
                .output = tokens_of(output),
                .known = tokens_of(known),
                .returning = turn > 0};
            if (turn > 0 && kind.notice_s > 0.0)
            {
                one.opened =
                    one.when - link::seconds_to_duration(kind.notice_s);
            }
            drawn_.push_back(one);
            tokens += output;
            known = tokens;
            if (random_.unit() >= kind.return_chance)
            {
                return;
            }
            at += draw_gap(kind);
            if (at >= end_s_)
            {
                return;
            }
        }
    }

    double draw_gap(const conversation_kind& kind)
    {
        const auto& gap = kind.gaps[draw_index(
            random_, kind.gaps, [](const gap_kind& g) { return g.share; })];
        return draw_lognormal(random_, gap.median_s, gap.sigma);
    }

    const profile& from_;
    random_source random_;
    double end_s_;
    std::vector<arrival> drawn_;
    std::uint64_t conversations_ = 0;
};

/// Spreads a number over all bits of a digest (SplitMix64).
digest digest_of(std::uint64_t seed)
{
    digest made;
    for (std::size_t i = 0; i < digest::size; ++i)
    {
        if (i % 8 == 0)
        {
            seed += 0x9e3779b97f4a7c15ULL;
        }
        auto mixed = seed;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
        mixed ^= mixed >> 31U;
        made.bytes[i] = static_cast<std::uint8_t>(mixed >> (8U * (i % 8)));
    }
    return made;
}

} // namespace

std::vector<arrival> draw_workload(const profile& from, std::uint64_t seed)
{
    return workload_drawer(from, seed).draw();
}

std::vector<digest> chain_of(
    const arrival& one, const profile& from, weight_version version)
{
    const auto piece = from.piece.tokens.value();
    const auto shared = static_cast<std::size_t>(
        from.workload.shared_tokens / static_cast<double>(piece));
    const auto pieces = one.tokens.value() / piece;
    std::vector<digest> chain;
    chain.reserve(pieces);
    for (std::size_t i = 0; i < pieces; ++i)
    {
        const auto owner =
            i < shared ? one.workspace + 1 : 1000 + one.conversation;
        chain.push_back(
            digest_of((version.value() << 56U) ^ (owner << 16U) ^ i));
    }
    return chain;
}

} // namespace wagtailseam::model
