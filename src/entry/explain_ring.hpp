// The decisions taken for recent requests, for operators who ask why.
#ifndef WAGTAILSEAM_ENTRY_EXPLAIN_RING_HPP
#define WAGTAILSEAM_ENTRY_EXPLAIN_RING_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wagtailseam::entry
{

/// Keeps the decisions of the latest requests; older ones are dropped.
class explain_ring
{
public:
    struct decision
    {
        mono_time at;
        /// key=value pairs; no prompts, answers or keys.
        std::string text;
    };

    /// @param capacity requests kept
    /// @param max_decisions decisions kept of one request
    explicit explain_ring(
        std::size_t capacity = 2'000, std::size_t max_decisions = 64);

    /// Adds a decision. Complexity: amortised constant.
    void add(const request_id& request, mono_time at, std::string text);

    /// Returns a request's decisions in order, nothing when it is not kept.
    [[nodiscard]] const std::vector<decision>* find(
        const request_id& request) const;

private:
    std::size_t capacity_;
    std::size_t max_decisions_;
    std::unordered_map<request_id, std::vector<decision>> decisions_;
    /// The keys of decisions_, oldest first.
    std::deque<request_id> order_;
};

} // namespace wagtailseam::entry

#endif
