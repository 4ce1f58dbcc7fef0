// What each upstream has stated about itself: that it leaves, that it wants a
// pause, how many requests it takes, and that it is cold.
#ifndef WAGTAILSEAM_UPSTREAM_STATEMENT_STATEMENT_RECORD_HPP
#define WAGTAILSEAM_UPSTREAM_STATEMENT_STATEMENT_RECORD_HPP

#include "core/clock.hpp"
#include "core/fleet_position.hpp"
#include "core/ids.hpp"
#include "core/upstream_process.hpp"
#include "rate_limit/upstream_limits.hpp"
#include "upstream_statement/response_statement.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace wagtailseam::upstream_statement
{

struct statement_record_options
{
    /// Beyond this number, the statement that was made first is forgotten.
    std::size_t max_upstreams = 4096;
    /// When callers should return if all upstreams of a service leave; their
    /// successors start within seconds.
    duration successor_delay = std::chrono::seconds(1);
};

/// Why an upstream takes no requests of this gateway.
enum class restriction : std::uint8_t
{
    limited,
    paused,
    leaving,
};

/// What a response changed.
struct statement_change
{
    rate_limit::limit_change limit = rate_limit::limit_change::none;
    bool leaving_began = false;
    /// Set if the pause of the upstream now ends later than before.
    std::optional<duration> pause;
};

/// The restriction of some upstreams that ends first.
struct restriction_end
{
    restriction reason = restriction::leaving;
    /// Time until it ends, as far as that is known.
    duration remaining{};
};

/// Statements belong to the process that made them: a later process of the same
/// id or at the same address is not bound, and a response of an earlier process
/// that arrives late changes nothing. Performs no I/O. Not thread-safe.
/// Operations are logarithmic in the number of upstreams unless stated
/// otherwise.
class statement_record
{
public:
    explicit statement_record(const statement_record_options& options = {});

    /// Sets the position of this gateway among all gateways.
    void set_position(const fleet_position& position) noexcept
    {
        limits_.set_position(position);
        cold_limits_.set_position(position);
    }
    /// Takes no share of limits until the position is set again.
    void clear_position() noexcept
    {
        limits_.clear_position();
        cold_limits_.clear_position();
    }

    /// Applies what a response states. A pause ends only by time, and leaving
    /// never ends.
    /// @param sent_at when the request was sent
    statement_change record_response(
        const upstream_process& process, const response_statement& statement,
        mono_time sent_at, mono_time now);
    /// Applies the report of another gateway about a limit.
    rate_limit::limit_change merge(
        const rate_limit::limit_report& report, mono_time now);
    /// Records that a process leaves.
    /// @return whether that was not known
    bool record_leaving(const upstream_process& process, mono_time now);

    [[nodiscard]] bool is_leaving(const upstream_process& process) const;
    /// Returns the knowledge about the limit of an upstream.
    [[nodiscard]] std::optional<rate_limit::limit_report> find_limit(
        const upstream_id& id, mono_time now) const
    {
        return limits_.find(id, now);
    }

    /// Returns the processes to which this gateway may not send a request.
    /// Complexity: linear in the number of upstreams with statements.
    [[nodiscard]] std::set<upstream_process> restricted(
        mono_time now, wall_time wall_now) const;
    /// Returns which restriction of these processes ends first.
    /// Complexity: linear in their number.
    [[nodiscard]] restriction_end first_end(
        const std::set<upstream_process>& processes, mono_time now,
        wall_time wall_now) const;
    /// Records that a request is sent.
    void record_request(const upstream_id& id, wall_time now)
    {
        limits_.record_request(id, now);
        cold_limits_.record_request(id, now);
    }

    /// Limits the rate of requests to a process until it is warm. A rate that
    /// a response states applies in addition.
    /// @return whether it was not known to be cold
    bool record_cold(
        const upstream_process& process, rate_limit::request_rate rate,
        duration time_left, mono_time now);
    /// Records that a process is warm.
    void record_warm(const upstream_process& process);
    [[nodiscard]] std::size_t cold_count(mono_time now) const noexcept;

    /// Drops the limit and the pause of a process that is not listed any more.
    /// Its leaving stays known, since the list may contain it again.
    void erase(const upstream_process& process);
    [[nodiscard]] std::size_t limit_count() const noexcept
    {
        return limits_.size();
    }
    [[nodiscard]] std::size_t leaving_count() const noexcept;
    [[nodiscard]] std::size_t paused_count(mono_time now) const noexcept;

private:
    struct state
    {
        std::uint64_t started_ms = 0;
        bool leaving = false;
        mono_time paused_until;
        /// When the first statement of the process was recorded.
        mono_time recorded_at;
    };

    /// Returns the state of a process, or nullptr if a later one is known.
    [[nodiscard]] state* touch(const upstream_process& process, mono_time now);
    /// Returns the state of exactly this process, or nullptr.
    [[nodiscard]] const state* find(const upstream_process& process) const;

    struct cold_state
    {
        std::uint64_t started_ms = 0;
        mono_time until;
    };

    [[nodiscard]] bool is_cold(
        const upstream_process& process, mono_time now) const;

    statement_record_options options_;
    rate_limit::upstream_limits limits_;
    /// Limits of cold processes. They end by time.
    rate_limit::upstream_limits cold_limits_;
    /// @invariant contains each upstream of cold_limits_
    std::map<upstream_id, cold_state> cold_;
    /// Pauses and leaving. At most options_.max_upstreams.
    std::map<upstream_id, state> states_;
};

} // namespace wagtailseam::upstream_statement

#endif
