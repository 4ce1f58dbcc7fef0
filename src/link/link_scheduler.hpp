// Orders the block transfers of one limited link: imports that a first token
// waits for go before prefetches, those before exports. The core starts no
// transfer itself; it tells its shell which to start and when.
#ifndef WAGTAILSEAM_LINK_LINK_SCHEDULER_HPP
#define WAGTAILSEAM_LINK_LINK_SCHEDULER_HPP

#include "core/clock.hpp"
#include "core/digest.hpp"
#include "core/ids.hpp"
#include "core/result_code.hpp"
#include "link/observed_rate.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace wagtailseam::link
{

/// Chosen by the shell, unique among the transfers of one link.
using transfer_id = strong_id<struct transfer_tag, std::uint64_t>;

/// Lower values go first.
enum class transfer_class : std::uint8_t
{
    first_token,
    prefetch,
    export_copy,
};
inline constexpr std::size_t transfer_class_count = 3;

/// A block is wanted at a target. A second transfer of the same block to the
/// same target joins the first; the flight takes the higher class of both.
struct transfer_requested
{
    transfer_id id;
    digest block;
    upstream_id target;
    transfer_class priority = transfer_class::first_token;
    byte_count bytes;
    /// After this time the block would come too late to beat recomputing it;
    /// nothing: wait without bound.
    std::optional<mono_time> completion_deadline;
};

/// The flight that was started under this id is over.
struct transfer_finished
{
    transfer_id id;
};

/// The flight broke; all that joined it fail.
struct transfer_failed
{
    transfer_id id;
    result_code code = result_code::store_lost;
};

/// Nobody waits for this transfer any more. A flight under way runs on.
struct transfer_cancelled
{
    transfer_id id;
};

/// The time named by wake_at has come.
struct timer_fired
{
};

using event = std::variant<
    transfer_requested, transfer_finished, transfer_failed, transfer_cancelled,
    timer_fired>;

/// Start moving the block now.
struct start_transfer
{
    transfer_id id;
    digest block;
    upstream_id target;
    byte_count bytes;
};

/// A transfer is over: the code is ok, import_abandoned, queue_full or the
/// shell's own.
struct complete_transfer
{
    transfer_id id;
    result_code code = result_code::ok;
};

/// Send timer_fired at this time.
struct wake_at
{
    mono_time when;
};

using command = std::variant<start_transfer, complete_transfer, wake_at>;

/// What the link has done; the shell turns this into counters.
struct link_use
{
    byte_count moved;
    /// Time with at least one flight under way.
    duration busy{};
    std::uint64_t joined = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t rejected = 0;
};

/// The decision core of one link.
class link_scheduler
{
public:
    struct options
    {
        /// The link's rate as configured; starts are paced to it.
        byte_rate rate_limit{1.25e9};
        /// Flights under way at once.
        std::size_t flight_limit = 1;
        /// Waiting flights of each class; more are rejected.
        std::size_t queue_limit = 4096;
        duration rate_half_life = std::chrono::seconds(4);
    };

    explicit link_scheduler(const options& settings);

    /// Takes an event and returns what to do, in order.
    /// Complexity: amortised constant, but for timer and abandon scans which
    /// look at the head of each class only.
    [[nodiscard]] std::vector<command> handle(
        const event& incoming, mono_time now);

    /// Returns how long a new transfer would take until its last byte, given
    /// what is under way and queued in its class and above.
    [[nodiscard]] duration estimated_transfer_time(
        transfer_class priority, byte_count bytes, mono_time now) const;

    /// Returns how long the link is taken before a new transfer of the class
    /// could start.
    [[nodiscard]] duration backlog(
        transfer_class priority, mono_time now) const;

    /// Returns the observed rate; the rate_limit until the first flight ends.
    [[nodiscard]] byte_rate rate() const noexcept;

    [[nodiscard]] const link_use& use() const noexcept { return use_; }
    [[nodiscard]] std::size_t flights() const noexcept;
    [[nodiscard]] std::size_t waiting(transfer_class priority) const noexcept;

private:
    struct flight_key
    {
        digest block;
        upstream_id target;
        friend bool operator==(const flight_key&, const flight_key&) = default;
    };
    struct flight_key_hash
    {
        std::size_t operator()(const flight_key& key) const noexcept;
    };
    struct flight
    {
        flight_key key;
        transfer_class priority = transfer_class::first_token;
        byte_count bytes;
        std::optional<mono_time> completion_deadline;
        std::optional<mono_time> started;
        // Never empty while the flight waits; the first names the flight once
        // it has started.
        std::vector<transfer_id> waiters;
    };
    using flight_number = std::uint64_t;

    void request(const transfer_requested& wanted, std::vector<command>& out);
    void join(flight_number number, const transfer_requested& wanted);
    void finish(transfer_id id, mono_time now, std::vector<command>& out);
    void fail_flight(
        const transfer_failed& failed, mono_time now,
        std::vector<command>& out);
    void cancel(transfer_id id);
    void start_ready(mono_time now, std::vector<command>& out);
    void start(flight_number number, mono_time now, std::vector<command>& out);
    [[nodiscard]] std::optional<flight_number> next_waiting();
    void abandon(flight_number number, std::vector<command>& out);
    void forget(flight_number number);
    void compact(std::size_t level);
    void account_busy(mono_time now);
    [[nodiscard]] flight_number number_of(transfer_id id) const;

    options settings_;
    observed_rate rate_;
    link_use use_;
    // Every flight that waits or moves; at most queue_limit a class and
    // flight_limit more.
    std::map<flight_number, flight> flights_;
    // Exactly the flights of flights_, by what they move: one flight a key.
    std::unordered_map<flight_key, flight_number, flight_key_hash> by_key_;
    std::unordered_map<transfer_id, flight_number> by_transfer_;
    // May name flights that have left or changed class; skipped when met, and
    // compacted so that a queue is at most twice its waiting flights and 64.
    std::array<std::deque<flight_number>, transfer_class_count> queues_;
    // Waiting flights and their bytes of each class, exact.
    std::array<std::size_t, transfer_class_count> waiting_{};
    std::array<std::uint64_t, transfer_class_count> waiting_bytes_{};
    // Started flights in order of start; size <= flight_limit.
    std::vector<flight_number> moving_;
    flight_number next_number_ = 1;
    // No start before this, so that starts never exceed the rate_limit.
    mono_time next_start_{};
    std::optional<mono_time> busy_since_;
    mono_time last_finish_{};
};

} // namespace wagtailseam::link

#endif
