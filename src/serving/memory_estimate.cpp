// Sums of tokens.
#include "serving/memory_estimate.hpp"

#include <algorithm>

namespace wagtailseam::serving
{

memory_estimate::memory_estimate(const memory_estimate_options& options)
    : options_(options)
{
}

void memory_estimate::begin(token_count tokens)
{
    pending_ += tokens;
}

void memory_estimate::finish_prefill(token_count tokens, mono_time now)
{
    pending_ -= std::min(pending_, tokens);
    while (!unreported_.empty() &&
           now - unreported_.front().at >= options_.report_age)
    {
        unreported_.pop_front();
    }
    unreported_.push_back({now, tokens});
}

bool memory_estimate::fits(
    const engine_memory& memory, token_count other_pending, token_count tokens,
    mono_time now) const
{
    if (memory.total == token_count{})
    {
        return true;
    }
    auto occupied = memory.used + pending_ + other_pending;
    for (const auto& finished : unreported_)
    {
        if (now - finished.at < options_.report_age)
        {
            occupied += finished.tokens;
        }
    }
    const token_count usable{static_cast<std::uint64_t>(
        static_cast<double>(memory.total.value()) * options_.max_share)};
    // A request that needs more than the share would otherwise never fit.
    const bool is_nearly_empty = occupied <= memory.total - usable;
    return occupied + tokens <= (is_nearly_empty ? memory.total : usable);
}

} // namespace wagtailseam::serving
