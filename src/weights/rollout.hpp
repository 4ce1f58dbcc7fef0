// Brings runners to the weights that the configuration names, a few at a
// time. One leased holder acts; another can take over from the table's rows.
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

/// What a runner should run, and how much it loads for that.
struct runner_target
{
    upstream_id runner;
    engine_setup setup;
    byte_count size;
};

/// This process holds the lease under the number.
struct lease_acquired
{
    fencing_number fencing;
};

/// The lease ended, or its end is near by this process's own clock.
struct lease_lost
{
};

/// The runners and what they should run, of an accepted configuration.
struct targets_changed
{
    std::vector<runner_target> targets;
};

/// A runner left for good: its VM is gone from the platform's list.
struct runner_removed
{
    upstream_id runner;
};

/// The rows asked for by read_slots, in any order.
struct slots_read
{
    std::vector<table_service::row> rows;
};

/// The answer to write_slot.
struct slot_written
{
    std::size_t slot = 0;
    /// Of the write_slot that this answers.
    std::uint64_t write = 0;
    table_service::transaction_answer answer;
};

/// The answer of a runner's sidecar to send_runner_order or query_runner.
struct runner_answered
{
    upstream_id runner;
    /// Of the message that this answers.
    order_number number;
    result_code code = result_code::ok;
    bool loading = false;
    /// What it runs, as far as it says.
    std::optional<engine_setup> setup;
    /// Of the sidecar; in answers to query_runner only.
    incarnation life;
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

/// The shell applies the transaction and answers with slot_written.
struct write_slot
{
    std::size_t slot = 0;
    std::uint64_t write = 0;
    table_service::transaction change;
};

struct send_runner_order
{
    upstream_id runner;
    weight_order order;
};

/// Asks the runner's sidecar what its engine does.
struct query_runner
{
    upstream_id runner;
    order_number number;
};

using rollout_command =
    std::variant<read_slots, write_slot, send_runner_order, query_runner>;

struct rollout_options
{
    /// Bytes a second of the weight store.
    byte_rate store_rate{1e9};
    /// Time between two questions to one runner.
    duration ask_interval = std::chrono::milliseconds(500);
    /// Time between two tries to read the slots.
    duration read_interval = std::chrono::milliseconds(500);
};

/// The table of load slots.
inline constexpr const char* slot_table = "weight_load_slots";
/// How many runners load at once.
inline constexpr std::size_t load_slot_count = 2;

/// The row of a slot as it stands.
struct slot_row
{
    /// Of the last holder that wrote the row.
    fencing_number fencing;
    /// Empty when the slot is free.
    upstream_id runner;

    friend bool operator==(const slot_row&, const slot_row&) = default;
};

/// Writes a slot's row as text.
[[nodiscard]] std::string encode(const slot_row& row);
/// Reads a slot's row; nothing when the text is not one.
[[nodiscard]] std::optional<slot_row> decode_slot(const std::string& text);

/// The decision core of the holder.
///
/// A runner loads only while a slot's row names it. The rows are never
/// deleted; a new holder rewrites each with its own number before it acts, so
/// that a write of an earlier holder meets another row version. A slot is freed
/// only on an answer of the runner's sidecar to a message later than the
/// order (from then on no earlier order begins), or when the runner has left.
class rollout
{
public:
    explicit rollout(rollout_options options) : options_(options) {}

    /// Applies one event. Complexity: linear in the runners.
    [[nodiscard]] std::vector<rollout_command> handle(
        const rollout_event& what, mono_time now);

    /// Whether all runners reported what they should run.
    [[nodiscard]] bool finished() const;
    [[nodiscard]] bool acting() const noexcept { return fencing_.has_value(); }

private:
    struct runner_state
    {
        /// Nothing for a runner that only occupies a slot.
        std::optional<runner_target> target;
        /// As last reported to this holder.
        std::optional<engine_setup> setup;
        bool idle = false;
        /// Of the sidecar that answered last.
        incarnation life;
        /// Answers to messages before this one say nothing any more.
        std::uint64_t heard_from = 0;
        std::optional<mono_time> asked_at;
    };
    struct slot_state
    {
        slot_row row;
        table_service::row_version version;
        /// Written by this holder; only then it may be used.
        bool owned = false;
        /// The write under way and its value; 0 for none.
        std::uint64_t write = 0;
        slot_row next;
    };

    void on(const lease_acquired& gained);
    void on(const lease_lost& ended);
    void on(const targets_changed& changed);
    void on(const runner_removed& left);
    void on(const slots_read& read);
    void on(const slot_written& written);
    void on(const runner_answered& answered);
    void on(const rollout_tick& tick);

    void stop();
    void plan();
    void claim_and_free_slots();
    void fill_slots();
    void ask_runners();
    void write(std::size_t slot, const upstream_id& runner);
    void start_load(const upstream_id& runner);
    /// Makes the next load wait until one of this size has passed.
    void pace(byte_count size);
    [[nodiscard]] bool in_slot(const upstream_id& runner) const;
    [[nodiscard]] const runner_target* next_runner() const;

    rollout_options options_;
    mono_time now_{};
    std::optional<fencing_number> fencing_;
    std::map<upstream_id, runner_state> runners_;
    std::array<slot_state, load_slot_count> slots_;
    bool slots_known_ = false;
    std::optional<mono_time> read_at_;
    /// Keeps the weight store's rate on average.
    mono_time next_load_{};
    std::uint64_t last_message_ = 0;
    std::uint64_t last_write_ = 0;
    std::vector<rollout_command> out_;
};

} // namespace wagtailseam::weights

#endif
