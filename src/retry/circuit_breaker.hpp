// Circuit breaker of one upstream: after repeated failures it is not tried for
// a while, then by a bounded number of probes.
#ifndef WAGTAILSEAM_RETRY_CIRCUIT_BREAKER_HPP
#define WAGTAILSEAM_RETRY_CIRCUIT_BREAKER_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random_source.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

namespace wagtailseam::retry
{

struct circuit_breaker_options
{
    /// Failures in a row that open the circuit.
    std::uint32_t failure_threshold = 5;
    /// Open time after the first opening; doubles with each failed probe.
    duration open_base = std::chrono::seconds(1);
    duration open_cap = std::chrono::seconds(30);
    /// Probes in flight at once while half-open.
    std::uint32_t max_probes = 1;
    /// Successful probes in a row that close the circuit.
    std::uint32_t successes_to_close = 2;
    /// A probe without a report for this time no longer holds its place.
    duration probe_timeout = std::chrono::seconds(10);
};

/// Takes work. failures_in_row < failure_threshold.
struct circuit_closed
{
    std::uint32_t failures_in_row = 0;
};

/// Takes none before `until`.
struct circuit_open
{
    mono_time until;
};

/// Takes probes. probes_in_flight <= max_probes.
struct circuit_half_open
{
    std::uint32_t probes_in_flight = 0;
    std::uint32_t successes_in_row = 0;
    mono_time last_probe;
};

using circuit_state =
    std::variant<circuit_closed, circuit_open, circuit_half_open>;

/// Leave to dispatch one attempt; handed back with its outcome.
struct circuit_permit
{
    /// The state's number when the leave was given.
    std::uint64_t generation = 0;
};

enum class attempt_outcome : std::uint8_t
{
    success,
    failure,
    /// Says nothing on the upstream's health (cancelled, caller gone).
    neutral,
};

/// Constant memory and time.
class circuit_breaker
{
public:
    explicit circuit_breaker(const circuit_breaker_options& options = {});

    /// Whether acquire would give leave; changes nothing.
    [[nodiscard]] bool would_permit(mono_time now) const;
    /// Gives leave for one attempt, or nothing while the circuit is open or
    /// its probes are taken.
    [[nodiscard]] std::optional<circuit_permit> acquire(mono_time now);
    /// Reports an attempt. A report on leave of an earlier state is ignored:
    /// it tells nothing new.
    void report(
        circuit_permit permit, attempt_outcome outcome, random_source& random,
        mono_time now);
    /// Holds the upstream back for the time that it asked for (Retry-After),
    /// at most open_cap. Does not count as a failure.
    void open_for(duration retry_after, mono_time now);

    [[nodiscard]] const circuit_state& state() const noexcept { return state_; }
    /// Returns the time until work may be tried, zero when it may now.
    [[nodiscard]] duration retry_after(mono_time now) const;

private:
    void enter(circuit_state next);
    void open(random_source& random, mono_time now);
    void on_success();

    circuit_breaker_options options_;
    circuit_state state_;
    /// Grows with each change of state.
    std::uint64_t generation_ = 0;
    /// Openings since the circuit was last closed.
    std::uint32_t openings_ = 0;
};

/// The circuits of an entry, at most max_upstreams; an upstream past that is
/// always permitted. Look-ups are logarithmic.
class circuit_breaker_set
{
public:
    explicit circuit_breaker_set(
        const circuit_breaker_options& options = {},
        std::size_t max_upstreams = 4096);

    [[nodiscard]] bool would_permit(const upstream_id& id, mono_time now) const;
    [[nodiscard]] std::optional<circuit_permit> acquire(
        const upstream_id& id, mono_time now);
    /// Records an outcome. @return true when it opened the circuit.
    bool report(
        const upstream_id& id, circuit_permit permit, attempt_outcome outcome,
        random_source& random, mono_time now);
    void open_for(const upstream_id& id, duration retry_after, mono_time now);
    [[nodiscard]] duration retry_after(
        const upstream_id& id, mono_time now) const;
    /// Drops an upstream that left.
    void forget(const upstream_id& id);
    [[nodiscard]] std::size_t size() const noexcept { return circuits_.size(); }

private:
    circuit_breaker* find_or_make(const upstream_id& id);

    circuit_breaker_options options_;
    std::size_t max_upstreams_;
    /// circuits_.size() <= max_upstreams_.
    std::map<upstream_id, circuit_breaker> circuits_;
};

} // namespace wagtailseam::retry

#endif
