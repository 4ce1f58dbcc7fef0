// Which gateways share limits, by the signs that each of them renews in the row
// store. Performs no I/O.
#ifndef WAGTAILSEAM_PRESENCE_GATEWAY_PRESENCE_HPP
#define WAGTAILSEAM_PRESENCE_GATEWAY_PRESENCE_HPP

#include "core/clock.hpp"
#include "core/fleet_position.hpp"
#include "core/ids.hpp"
#include "presence/presence_sign.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace wagtailseam::presence
{

/// Longest interval of the writes of a gateway's own sign, and twice the
/// shortest. 330 gateways write at most 11 signs per second.
inline constexpr duration renewal_interval = std::chrono::seconds(60);
/// As above, of the reads of all signs: at most 22 reads per second.
inline constexpr duration read_interval = std::chrono::seconds(30);
/// As above, after a failed call: at most 132 writes and 132 reads per second
/// during an outage.
inline constexpr duration retry_delay = std::chrono::seconds(5);

struct presence_options
{
    /// A gateway whose sign did not change during this time of successful reads
    /// counts no longer.
    duration absence_time = std::chrono::seconds(180);
    /// A gateway takes a share for this time after it sent the last sign that
    /// the store confirmed. The difference to `absence_time` covers clocks that
    /// run at different rates and handlers that start late.
    duration lease_time = std::chrono::seconds(150);
    /// A gap between the starts of successful reads that is longer than this
    /// starts the observation of all signs again, and all gateways count.
    duration max_read_gap = std::chrono::seconds(75);
    /// A gateway that may have been counted out takes a share again after this
    /// time. All others have read its sign by then, or count all gateways.
    duration rejoin_delay = std::chrono::seconds(85);
};

/// A row of the table of signs.
struct sign_row
{
    vm_id vm;
    /// nullopt: the row cannot be read. It changes nothing.
    std::optional<presence_sign> sign;
};

/// The belief of one gateway about all gateways.
///
/// Invariant, if the clocks' rates differ by less than a tenth: of each two
/// gateways that take a share, each counts the other. So a limit that every
/// gateway divides by the number that it counts is not exceeded.
///
/// A gateway that cannot renew its sign does not know whether the store is away
/// for all, in which case nobody is counted out, or for itself only. It takes
/// no share after `lease_time`, because the others may then divide the whole
/// limit among themselves.
///
/// A gateway whose sign was never read counts. Times are those of one gateway's
/// monotonic clock. Not thread-safe.
class gateway_presence
{
public:
    /// @param own the VM of this gateway
    /// @param writer the incarnation of this process
    /// @pre lease_time < absence_time and max_read_gap < rejoin_delay
    gateway_presence(
        vm_id own, incarnation writer, const presence_options& options = {});

    /// Applies a successful read of the whole table. The first one shows how
    /// long ago a predecessor on the same VM wrote its sign, if there was one:
    /// it must precede the first renewal.
    /// @param began when the read was sent @param ended when it was answered
    /// @param wall_now the time of `ended` by the wall clock
    void record_read(
        const std::vector<sign_row>& rows, mono_time began, mono_time ended,
        wall_time wall_now);
    /// Applies that the store was restored from an older copy, which may lack
    /// signs or contain earlier ones.
    void record_restoration();
    /// Returns the sign to write now.
    [[nodiscard]] presence_sign next_sign(mono_time now, wall_time wall_now);
    /// Applies that the store has confirmed a new sign of this gateway.
    /// @param sent_at when the write was sent @param now when it was confirmed
    void record_renewal(mono_time sent_at, mono_time now);

    /// Returns whether this gateway may take its share of limits.
    [[nodiscard]] bool may_share(mono_time now) const;
    /// Returns whether another gateway is counted out.
    /// Complexity: logarithmic in the number of signs.
    [[nodiscard]] bool is_absent(const vm_id& vm, mono_time now) const;
    /// Returns the place of this gateway among all that count, which include
    /// itself.
    /// @param others the VMs of the other gateways, whether they count or not
    [[nodiscard]] fleet_position position(
        const std::set<vm_id>& others, mono_time now) const;

    [[nodiscard]] bool has_read() const noexcept { return has_read_; }
    /// Returns whether another process on this VM has written a sign before.
    [[nodiscard]] bool has_predecessor() const noexcept
    {
        return has_predecessor_;
    }

private:
    struct observed_sign
    {
        presence_sign sign;
        /// When the read that first contained the sign was answered, or the
        /// read that began the observation again.
        mono_time unchanged_since;
        bool absent = false;
    };

    [[nodiscard]] bool may_be_counted_out(mono_time now) const;
    void record_predecessor(
        const std::vector<sign_row>& rows, mono_time now, wall_time wall_now);

    vm_id own_;
    incarnation writer_;
    std::uint64_t last_number_ = 0;
    presence_options options_;
    /// Signs of other gateways.
    std::map<vm_id, observed_sign> signs_;
    bool has_read_ = false;
    bool has_predecessor_ = false;
    /// When the last successful read began; nullopt if the observation has to
    /// begin again.
    std::optional<mono_time> read_began_;
    /// When the last confirmed sign of this VM was sent, by this process or,
    /// before its first renewal, by its predecessor.
    std::optional<mono_time> renewed_at_;
    /// Whether this process has renewed the sign.
    bool has_renewed_ = false;
    /// When this gateway may take a share again.
    mono_time shares_from_;
};

} // namespace wagtailseam::presence

#endif
