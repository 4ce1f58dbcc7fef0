// Remembers when requests and prompt parts were last completed, which
// exonerates them. One that crashes each upstream that executes it is never
// completed.
#ifndef WAGTAILSEAM_QUARANTINE_RECENT_COMPLETIONS_HPP
#define WAGTAILSEAM_QUARANTINE_RECENT_COMPLETIONS_HPP

#include "core/clock.hpp"
#include "quarantine/crash_attribution.hpp"
#include "quarantine/crash_record_cache.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wagtailseam::quarantine
{

struct recent_completions_options
{
    /// A request may begin to crash upstreams later, for example because of
    /// other weights.
    duration request_lifetime = std::chrono::seconds(60);
    /// Parts are completed more often than equal requests.
    duration part_lifetime = std::chrono::seconds(1);
    /// Number of requests and of parts that are remembered at most.
    std::size_t request_slots = std::size_t{16} * 1024;
    std::size_t part_slots = std::size_t{8} * 1024;
};

/// Two hash tables of fixed size in which a later content replaces an earlier
/// one of the same slot. The many requests do not replace parts, which would
/// then look as if they had never been completed. 16 bytes per slot; constant
/// time.
class recent_completions
{
public:
    explicit recent_completions(const recent_completions_options& options = {});

    void insert(const crash_suspect& completed, mono_time now);
    /// Returns the time of the last completion, or the epoch if none is known.
    [[nodiscard]] mono_time completed_at(const crash_suspect& suspect) const;
    /// Returns whether the last completion is so recent that the content did
    /// not crash an upstream.
    [[nodiscard]] bool exonerates(
        const crash_suspect& suspect, mono_time now) const;

    /// Returns what may have crashed the upstream of a broken attempt: the
    /// request, and of its parts those whose last completion is the longest
    /// ago. A part that is in all requests with one that crashes upstreams is
    /// completed with others, so at least as recently.
    [[nodiscard]] std::vector<crash_suspect> suspects(
        const request_content& content, mono_time now) const;

private:
    struct slot
    {
        /// Bytes of the fingerprint that do not select the slot.
        std::uint64_t tag = 0;
        /// The epoch: empty.
        mono_time completed_at;
    };

    /// Returns 8 bytes of a fingerprint from an offset.
    [[nodiscard]] static std::uint64_t bytes_at(
        const content_fingerprint& content, std::size_t offset);
    /// Returns the index of the content's slot in the table of its kind.
    [[nodiscard]] std::size_t slot_of(const crash_suspect& suspect) const;
    [[nodiscard]] const std::vector<slot>& table_of(
        suspect_kind kind) const noexcept
    {
        return kind == suspect_kind::request ? requests_ : parts_;
    }

    recent_completions_options options_;
    std::vector<slot> requests_;
    std::vector<slot> parts_;
};

} // namespace wagtailseam::quarantine

#endif
