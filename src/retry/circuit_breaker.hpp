// Circuit breaker for one upstream. Repeated failures open it and block
// requests; after the open time, a bounded number of probes test the upstream.
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
    /// Number of consecutive failures that opens the circuit.
    std::uint32_t failure_threshold = 5;
    /// Upper bound of the first open time. It doubles with each failed probe.
    duration initial_open_time = std::chrono::seconds(1);
    duration max_open_time = std::chrono::seconds(30);
    /// Maximum number of concurrent probes in the half-open state.
    std::uint32_t max_concurrent_probes = 1;
    /// Number of consecutive successful probes that closes the circuit.
    std::uint32_t successes_to_close = 2;
    /// When no probe has started for this time, the outstanding ones are
    /// considered lost and no longer block new probes.
    duration probe_timeout = std::chrono::seconds(10);
};

/// Permits all attempts. Invariant: consecutive_failures < failure_threshold.
struct circuit_closed
{
    std::uint32_t consecutive_failures = 0;
};

/// Permits no attempts before `until`.
struct circuit_open
{
    mono_time until;
};

/// Permits probes. Invariant: active_probes <= max_concurrent_probes.
struct circuit_half_open
{
    std::uint32_t active_probes = 0;
    std::uint32_t consecutive_successes = 0;
    mono_time last_probe_started;
};

using circuit_state =
    std::variant<circuit_closed, circuit_open, circuit_half_open>;

/// Permission for one attempt; passed back to record_outcome() with the
/// outcome.
struct circuit_permit
{
    /// Generation of the breaker state that issued the permit.
    std::uint64_t generation = 0;
};

enum class attempt_outcome : std::uint8_t
{
    success,
    failure,
    /// Gives no information about the upstream's health, for example because
    /// the attempt was cancelled or the caller disconnected.
    neutral,
};

/// Not thread-safe. All operations take constant time and memory.
class circuit_breaker
{
public:
    explicit circuit_breaker(const circuit_breaker_options& options = {});

    /// Returns whether acquire() would issue a permit; changes no state.
    [[nodiscard]] bool would_permit(mono_time now) const;
    /// Issues a permit for one attempt. Returns nullopt while the circuit is
    /// open or the maximum number of probes is active.
    [[nodiscard]] std::optional<circuit_permit> acquire(mono_time now);
    /// Records the outcome of an attempt. Ignores a permit that an earlier
    /// state issued, because its outcome is out of date.
    void record_outcome(
        circuit_permit permit, attempt_outcome outcome, random_source& random,
        mono_time now);
    /// Opens the circuit for the time that the upstream requested with
    /// Retry-After, at most max_open_time. Does not count as a failure.
    void open_for(duration retry_after, mono_time now);

    [[nodiscard]] const circuit_state& state() const noexcept { return state_; }
    /// Returns the remaining open time; zero unless the circuit is open.
    [[nodiscard]] duration retry_after(mono_time now) const;

private:
    void transition_to(circuit_state next);
    void open(random_source& random, mono_time now);
    void on_success();

    circuit_breaker_options options_;
    circuit_state state_;
    /// Incremented on each state transition.
    std::uint64_t generation_ = 0;
    /// Number of times the circuit opened since it was last closed.
    std::uint32_t open_count_ = 0;
};

/// Circuit breakers by upstream, at most max_upstreams of them. Attempts at
/// further upstreams are always permitted. Lookups take logarithmic time.
class circuit_breaker_set
{
public:
    explicit circuit_breaker_set(
        const circuit_breaker_options& options = {},
        std::size_t max_upstreams = 4096);

    [[nodiscard]] bool would_permit(const upstream_id& id, mono_time now) const;
    [[nodiscard]] std::optional<circuit_permit> acquire(
        const upstream_id& id, mono_time now);
    /// Records the outcome of an attempt.
    /// @return true if it opened the circuit
    bool record_outcome(
        const upstream_id& id, circuit_permit permit, attempt_outcome outcome,
        random_source& random, mono_time now);
    void open_for(const upstream_id& id, duration retry_after, mono_time now);
    [[nodiscard]] duration retry_after(
        const upstream_id& id, mono_time now) const;
    /// Removes the breaker of an upstream that no longer exists.
    void remove(const upstream_id& id);
    [[nodiscard]] std::size_t size() const noexcept { return breakers_.size(); }

private:
    circuit_breaker* find_or_create(const upstream_id& id);

    circuit_breaker_options options_;
    std::size_t max_upstreams_;
    /// breakers_.size() <= max_upstreams_.
    std::map<upstream_id, circuit_breaker> breakers_;
};

} // namespace wagtailseam::retry

#endif
