// Strikes of prompts that were present at upstream crashes, merged from any
// source in any order.
#ifndef WAGTAILSEAM_QUARANTINE_STRIKE_BOARD_HPP
#define WAGTAILSEAM_QUARANTINE_STRIKE_BOARD_HPP

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
using fingerprint = strong_id<struct fingerprint_tag, digest>;

/// Names one crash: one life of one upstream.
using crash_id = strong_id<struct crash_tag>;

/// Strikes at distinct crashes from which a prompt is refused.
inline constexpr std::size_t strikes_to_quarantine = 2;

[[nodiscard]] fingerprint fingerprint_of(
    const workspace_id& workspace, const model_id& model, const digest& prompt);

/// Names the crash of an upstream's life as its sidecar counts it.
[[nodiscard]] crash_id crash_of(
    const upstream_id& upstream, incarnation sidecar, std::uint64_t life);

/// What is known of one prompt. Both sets only grow, so that merging needs no
/// order; a strike counts while it is not cleared.
struct strike_record
{
    std::set<crash_id> strikes;
    /// Strikes lifted by an operator or by a run that finished.
    std::set<crash_id> cleared;
    wall_time expires;

    /// Returns the number of strikes that count.
    [[nodiscard]] std::size_t live_strikes() const;
    /// Takes in what other knows. @return whether this one changed.
    bool merge(const strike_record& other);
    /// Clears all strikes known now.
    void clear();

    friend bool operator==(const strike_record&, const strike_record&) =
        default;
};

/// Runs anywhere.
struct clear
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

using verdict = std::variant<clear, suspect, quarantined>;

/// Encodes a record as a row's value (JSON).
[[nodiscard]] std::string encode(const strike_record& record);

/// Reads a row's value. Errors: malformed_message.
[[nodiscard]] result<strike_record> decode(std::string_view value);

/// Records by fingerprint, at most max_records; the one that expires first
/// makes room. Look-ups are logarithmic.
class strike_board
{
public:
    explicit strike_board(std::size_t max_records = 4096);

    /// Merges. @return whether the record changed.
    bool merge(const fingerprint& of, const strike_record& record);
    /// Returns the record, nullptr when there is none.
    [[nodiscard]] const strike_record* find(const fingerprint& of) const;
    [[nodiscard]] verdict check(const fingerprint& of, wall_time now) const;
    /// Drops records that expired.
    void forget_expired(wall_time now);
    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

private:
    void make_room();

    std::size_t max_records_;
    /// records_.size() <= max_records_.
    std::map<fingerprint, strike_record> records_;
};

} // namespace wagtailseam::quarantine

#endif
