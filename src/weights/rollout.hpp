// State machine that rolls out configured weights to the runners, a few at a
// time. Only the lease holder acts; its state is kept in table rows, from
// which another holder continues. No I/O.
#ifndef WAGTAILSEAM_WEIGHTS_ROLLOUT_HPP
#define WAGTAILSEAM_WEIGHTS_ROLLOUT_HPP

#include "core/clock.hpp"
#include "core/result_code.hpp"
#include "table_service/table.hpp"
#include "weights/weight_order.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wagtailseam::weights
{

/// The setup that a runner should have.
struct runner_target
{
    upstream_id runner;
    engine_setup setup;
    /// Size of the weights to load.
    byte_count size;
};

/// This process acquired the lease with this fencing number.
struct lease_acquired
{
    fencing_number fencing;
};

/// The lease expired, or is about to expire by this process's clock.
struct lease_lost
{
};

/// The targets of an accepted configuration.
struct targets_changed
{
    std::vector<runner_target> targets;
};

/// A runner was removed: its VM is no longer in the platform's list.
struct runner_removed
{
    upstream_id runner;
};

/// The rows requested by read_slots, in any order.
struct slots_read
{
    std::vector<table_service::row> rows;
};

/// The answer to write_slot.
struct slot_written
{
    std::size_t slot = 0;
    /// The write_id of the write_slot that this answers.
    std::uint64_t write_id = 0;
    table_service::transaction_result answer;
};

/// The answer of a runner's sidecar to send_runner_order or query_runner.
struct runner_answered
{
    upstream_id runner;
    /// The number of the message that this answers.
    order_number number;
    result_code code = result_code::ok;
    bool loading = false;
    /// The runner's setup, if the answer contains it.
    std::optional<engine_setup> setup;
    /// The sidecar instance; set in answers to query_runner only.
    incarnation sidecar;
};

struct rollout_tick
{
};

using rollout_event = std::variant<
    lease_acquired, lease_lost, targets_changed, runner_removed, slots_read,
    slot_written, runner_answered, rollout_tick>;

struct read_slots
{
};

/// The caller applies the transaction and answers with slot_written.
struct write_slot
{
    std::size_t slot = 0;
    std::uint64_t write_id = 0;
    table_service::transaction transaction;
};

struct send_runner_order
{
    upstream_id runner;
    weight_order order;
};

/// Requests the engine's status from the runner's sidecar.
struct query_runner
{
    upstream_id runner;
    order_number number;
};

using rollout_command =
    std::variant<read_slots, write_slot, send_runner_order, query_runner>;

struct rollout_options
{
    /// Throughput of the weight store in bytes per second.
    byte_rate store_rate{1e9};
    /// Minimum time between two queries to the same runner.
    duration query_interval = std::chrono::milliseconds(500);
    /// Minimum time between two attempts to read the slots.
    duration read_interval = std::chrono::milliseconds(500);
};

/// The table of load slots.
inline constexpr const char* slot_table = "weight_load_slots";
/// Maximum number of runners that load at the same time.
inline constexpr std::size_t load_slot_count = 2;

/// The content of a slot's row.
struct slot_row
{
    /// Fencing number of the last holder that wrote the row.
    fencing_number fencing;
    /// Empty if the slot is free.
    upstream_id runner;

    friend bool operator==(const slot_row&, const slot_row&) = default;
};

[[nodiscard]] std::string encode(const slot_row& row);
/// Parses a slot's row; returns an empty optional for malformed text.
[[nodiscard]] std::optional<slot_row> decode_slot(const std::string& text);

/// Controls the rollout on behalf of the lease holder.
///
/// A runner loads only while a slot's row names it. Rows are never deleted. A
/// new holder rewrites every row with its own fencing number before it acts,
/// so a late write of a previous holder fails on the row version. A slot is
/// freed only when the runner's sidecar has answered a message later than the
/// order, since no earlier order starts after that, or when the runner has
/// been removed.
class rollout
{
public:
    explicit rollout(rollout_options options) : options_(options) {}

    /// Applies one event and returns the resulting commands. Complexity:
    /// linear in the runners.
    [[nodiscard]] std::vector<rollout_command> handle(
        const rollout_event& event, mono_time now);

    /// Whether every runner has reported its target setup.
    [[nodiscard]] bool finished() const;
    /// Whether this process holds the lease.
    [[nodiscard]] bool is_active() const noexcept
    {
        return fencing_.has_value();
    }

private:
    struct runner_state
    {
        /// Empty for a runner that has no target but still occupies a slot.
        std::optional<runner_target> target;
        /// The setup last reported to this holder.
        std::optional<engine_setup> setup;
        bool idle = false;
        /// The sidecar instance that answered last.
        incarnation sidecar;
        /// Answers to messages with lower numbers are outdated.
        std::uint64_t min_message = 0;
        std::optional<mono_time> queried_at;
    };
    struct slot_state
    {
        slot_row row;
        table_service::row_version version;
        /// Whether this holder has written the row; required to use the slot.
        bool owned = false;
        /// Id of the pending write; 0 if there is none.
        std::uint64_t pending_write = 0;
        /// The content of the pending write.
        slot_row pending_row;
    };

    void on(const lease_acquired& event);
    void on(const lease_lost& event);
    void on(const targets_changed& event);
    void on(const runner_removed& event);
    void on(const slots_read& event);
    void on(const slot_written& event);
    void on(const runner_answered& event);
    void on(const rollout_tick& event);

    void deactivate();
    void plan();
    void claim_and_free_slots();
    void assign_slots();
    void query_runners();
    void write(std::size_t slot, const upstream_id& runner);
    void start_load(const upstream_id& runner);
    /// Delays the next load by the time that the weight store needs for a load
    /// of this size.
    void delay_next_load(byte_count size);
    [[nodiscard]] bool occupies_slot(const upstream_id& runner) const;
    [[nodiscard]] const runner_target* next_target() const;

    rollout_options options_;
    mono_time now_{};
    std::optional<fencing_number> fencing_;
    std::map<upstream_id, runner_state> runners_;
    std::array<slot_state, load_slot_count> slots_;
    bool slots_known_ = false;
    std::optional<mono_time> slots_requested_at_;
    /// Earliest start of the next load, so that loads do not exceed the weight
    /// store's rate on average.
    mono_time next_load_at_{};
    std::uint64_t last_message_ = 0;
    std::uint64_t last_write_id_ = 0;
    std::vector<rollout_command> commands_;
};

} // namespace wagtailseam::weights

#endif
