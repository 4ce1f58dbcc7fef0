// The limits that upstreams name for the requests of all gateways together, and
// this gateway's share of them.
#ifndef WAGTAILSEAM_RATE_LIMIT_UPSTREAM_LIMITS_HPP
#define WAGTAILSEAM_RATE_LIMIT_UPSTREAM_LIMITS_HPP

#include "core/clock.hpp"
#include "core/fleet_position.hpp"
#include "core/ids.hpp"
#include "core/upstream_process.hpp"
#include "rate_limit/limit_statement.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace wagtailseam::rate_limit
{

struct upstream_limits_options
{
    /// A lower limit allows this rate all the same, since an end of the limit
    /// is only stated in responses.
    request_rate min_rate{0.1};
    /// A change by less than this share is not reported to other gateways.
    double notable_change = 0.1;
    /// Further upstreams with limits are ignored.
    std::size_t max_upstreams = 4096;
};

/// How the knowledge of a limit changed.
enum class limit_change : std::uint8_t
{
    none,
    /// The limit began, ended, or changed by a notable share.
    notable,
    /// The upstream began to name a limit that cannot be read. A rate that it
    /// named before stays in force.
    unreadable,
};

/// Knowledge of a limit, for other gateways.
struct limit_report
{
    upstream_process process;
    /// nullopt: the limit has ended.
    std::optional<request_rate> rate;
    /// Time since the response that stated it.
    duration age{};

    friend bool operator==(const limit_report&, const limit_report&) = default;
};

/// Divides each limit among the gateways without messages: time is divided into
/// slots of one second, in which the whole requests that the limit allows are
/// assigned to gateways by a hash of upstream and slot. A gateway whose share
/// is below one request per slot gets a request in some slots only. Requests
/// that are not sent in their slot expire, so in any interval of four seconds,
/// which touches five slots, at most five times the limit, rounded up, is sent.
///
/// Without a known position, nothing is sent to limited upstreams. Performs no
/// I/O. Not thread-safe. Operations are logarithmic in the number of limits
/// unless stated otherwise.
class upstream_limits
{
public:
    explicit upstream_limits(const upstream_limits_options& options = {});

    /// Sets the position of this gateway among all gateways.
    void set_position(const fleet_position& position) noexcept
    {
        position_ = position;
    }
    /// Takes no share until the position is set again.
    void clear_position() noexcept { position_.reset(); }

    /// Applies what a response states. The end of a limit only counts if the
    /// request was sent after the limit was last stated, because responses may
    /// overtake each other.
    limit_change record_response(
        const upstream_process& process, const limit_statement& statement,
        mono_time sent_at, mono_time now);
    /// Applies the report of another gateway unless newer knowledge exists.
    limit_change merge(const limit_report& report, mono_time now);
    /// Returns the knowledge about an upstream; nullopt if there is none.
    [[nodiscard]] std::optional<limit_report> find(
        const upstream_id& id, mono_time now) const;
    /// Drops the limit of a process that has ended.
    void erase(const upstream_process& process);

    /// Returns the upstreams to which this gateway may not send a request in
    /// the current slot. Complexity: linear in the number of limits.
    [[nodiscard]] std::set<upstream_id> exhausted(wall_time now) const;
    /// Records that a request is sent in the current slot.
    void record_request(const upstream_id& id, wall_time now);
    /// Returns the time until the next slot in which this gateway may send to
    /// one of the upstreams, at most max_lookahead.
    [[nodiscard]] duration next_share(
        const std::set<upstream_id>& upstreams, wall_time now) const;

    [[nodiscard]] std::size_t size() const noexcept { return limits_.size(); }

    static constexpr duration max_lookahead = std::chrono::seconds(30);

private:
    using slot_number = std::int64_t;

    struct state
    {
        std::uint64_t started_ms = 0;
        /// nullopt after the end of a limit, so that older reports of it are
        /// recognized.
        std::optional<request_rate> rate;
        bool unreadable = false;
        /// When the rate, or its end, was last stated.
        mono_time stated_at;
        /// Requests sent in slot `used_slot`.
        slot_number used_slot = 0;
        std::uint64_t used = 0;
    };

    /// Returns the state of a process, or nullptr if a later process is known
    /// or there is no room.
    [[nodiscard]] state* touch(const upstream_process& process);
    [[nodiscard]] limit_change set_rate(
        state& known, const std::optional<request_rate>& rate) const;
    [[nodiscard]] static slot_number slot_at(wall_time now) noexcept;
    /// Returns the requests that this gateway may send in a slot.
    [[nodiscard]] std::uint64_t share(
        const upstream_id& id, request_rate rate, slot_number slot) const;

    upstream_limits_options options_;
    std::optional<fleet_position> position_;
    /// At most options_.max_upstreams.
    std::map<upstream_id, state> limits_;
};

} // namespace wagtailseam::rate_limit

#endif
