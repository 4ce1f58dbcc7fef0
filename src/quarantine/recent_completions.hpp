// Remembers which requests were completed recently. A request that crashes each
// upstream that executes it is never completed.
#ifndef WAGTAILSEAM_QUARANTINE_RECENT_COMPLETIONS_HPP
#define WAGTAILSEAM_QUARANTINE_RECENT_COMPLETIONS_HPP

#include "core/clock.hpp"
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
    duration lifetime = std::chrono::seconds(60);
    std::size_t slots = std::size_t{16} * 1024;
};

/// A hash table of fixed size in which a later request replaces an earlier one
/// of the same slot. 16 bytes per slot; constant time.
class recent_completions
{
public:
    explicit recent_completions(const recent_completions_options& options = {});

    void insert(const request_fingerprint& request, mono_time now);
    [[nodiscard]] bool contains(
        const request_fingerprint& request, mono_time now) const;

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
        const request_fingerprint& request, std::size_t offset);
    [[nodiscard]] std::size_t slot_of(const request_fingerprint& request) const;

    recent_completions_options options_;
    std::vector<slot> slots_;
};

} // namespace wagtailseam::quarantine

#endif
