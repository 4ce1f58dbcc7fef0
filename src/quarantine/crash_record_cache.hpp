// Strikes of prompts that were present at upstream crashes, merged from any
// source in any order.
#ifndef WAGTAILSEAM_QUARANTINE_CRASH_RECORD_CACHE_HPP
#define WAGTAILSEAM_QUARANTINE_CRASH_RECORD_CACHE_HPP

#include "core/clock.hpp"
#include "core/digest.hpp"
#include "core/ids.hpp"
#include "core/result.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wagtailseam::quarantine
{

/// Names a prompt of a workspace at a model without showing it.
using prompt_fingerprint = strong_id<struct prompt_fingerprint_tag, digest>;

/// Names one crash: one life of one upstream.
using crash_id = strong_id<struct crash_tag>;

/// Strikes at distinct crashes from which a prompt is refused.
inline constexpr std::size_t crashes_to_quarantine = 2;

[[nodiscard]] prompt_fingerprint make_prompt_fingerprint(
    const workspace_id& workspace, const model_id& model, const digest& prompt);

/// Names the crash of an upstream's life as its sidecar counts it.
[[nodiscard]] crash_id make_crash_id(
    const upstream_id& upstream, incarnation sidecar, std::uint64_t life);

/// What is known of one prompt. Both sets only grow, so that merging needs no
/// order; a strike counts while it is not cleared.
struct crash_record
{
    std::set<crash_id> crashes;
    /// Strikes lifted by an operator or by a run that finished.
    std::set<crash_id> cleared;
    wall_time expires;

    /// Returns the number of strikes that count.
    [[nodiscard]] std::size_t uncleared_crash_count() const;
    /// Takes in what other knows. @return whether this one changed.
    bool merge(const crash_record& other);
    /// Clears all strikes known now.
    void clear_crashes();

    friend bool operator==(const crash_record&, const crash_record&) = default;
};

/// Runs anywhere.
struct unrestricted
{
};

/// Runs only where few others are at risk.
struct suspect
{
};

/// Is refused until then, or until an operator lifts it.
struct quarantined
{
    wall_time until;
};

using prompt_status = std::variant<unrestricted, suspect, quarantined>;

/// Encodes a record as a row's value (JSON).
[[nodiscard]] std::string encode(const crash_record& record);

/// Reads a row's value. Errors: malformed_message.
[[nodiscard]] result<crash_record> decode(std::string_view value);

/// Records by fingerprint, at most max_records; the one that expires first
/// makes room. Look-ups are logarithmic.
class crash_record_cache
{
public:
    explicit crash_record_cache(std::size_t max_records = 4096);

    /// Merges. @return whether the record changed.
    bool merge(const prompt_fingerprint& of, const crash_record& record);
    /// Returns the record, nullptr when there is none.
    [[nodiscard]] const crash_record* find(const prompt_fingerprint& of) const;
    [[nodiscard]] prompt_status check(
        const prompt_fingerprint& of, wall_time now) const;
    /// Drops records that expired.
    void remove_expired(wall_time now);
    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

private:
    void evict_first_to_expire();

    std::size_t max_records_;
    /// records_.size() <= max_records_.
    std::map<prompt_fingerprint, crash_record> records_;
};

} // namespace wagtailseam::quarantine

#endif
