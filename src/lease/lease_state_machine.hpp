// State machine of a lease, which gives one process at a time an exclusive
// task. The lease is stored in a row of the platform's table. No I/O.
#ifndef WAGTAILSEAM_LEASE_LEASE_STATE_MACHINE_HPP
#define WAGTAILSEAM_LEASE_LEASE_STATE_MACHINE_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/result.hpp"
#include "table_service/table.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wagtailseam::lease
{

/// The value of a lease's row. Every write uses a new nonce.
struct lease_record
{
    /// Empty if the last holder released the lease.
    std::string holder;
    incarnation holder_incarnation;
    /// Incremented with every change of the holder.
    fencing_number fencing;
    std::uint64_t nonce = 0;
    /// Time for which each write extends the lease.
    duration length{};

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

/// Returns the key of a lease's row.
[[nodiscard]] table_service::row_key lease_row_key(std::string_view lease_name);
[[nodiscard]] std::string encode(const lease_record& record);
/// @errors malformed_message
[[nodiscard]] result<lease_record> decode_lease(std::string_view value);

struct lease_options
{
    std::string lease_name;
    std::string holder;
    incarnation holder_incarnation;
    duration length = std::chrono::seconds(9);
    duration renew_interval = std::chrono::seconds(3);
    /// Tolerance for clocks that run at different rates: the holder stops this
    /// long before the lease expires, and other processes wait this much
    /// longer.
    duration margin = std::chrono::milliseconds(750);
    /// Delay before a failed read or write is retried.
    duration retry_delay = std::chrono::milliseconds(250);
};

namespace lease_event
{

/// The process has started, or the time of a wake_at has come.
struct tick
{
};

struct row_read
{
    table_service::read_result answer;
};

struct rows_written
{
    table_service::transaction_result answer;
};

/// The caller wants to write rows if and only if the lease is still held.
struct write_requested
{
    std::uint64_t id = 0;
    std::vector<table_service::row_write> writes;
};

/// The process shuts down and releases the lease.
struct release_requested
{
};

} // namespace lease_event

using lease_input = std::variant<
    lease_event::tick, lease_event::row_read, lease_event::rows_written,
    lease_event::write_requested, lease_event::release_requested>;

struct read_row
{
    table_service::row_key key;
};

struct write_rows
{
    table_service::transaction transaction;
};

/// The process holds the lease; its orders carry this fencing number.
struct acquired
{
    fencing_number fencing;
};

/// The process no longer holds the lease and must stop acting.
struct lost
{
};

/// The outcome of a write_requested. ok: the rows were written; lease_lost:
/// nothing was written; platform_conflict: a condition of the writes did not
/// hold and nothing was written; platform_answer_lost: the writes may have
/// taken effect.
struct write_completed
{
    std::uint64_t id = 0;
    result_code code = result_code::ok;
};

/// Requests a tick at this time.
struct wake_at
{
    mono_time when;
};

using lease_command = std::variant<
    read_row, write_rows, acquired, lost, write_completed, wake_at>;

/// Acquires, renews and releases one lease, and makes writes conditional on
/// it.
///
/// Clocks of different processes are never compared. The holder measures the
/// lease from the time it sent the write. Another process measures from the
/// time it first read the row's version, which is later, and takes over only
/// after the full length plus the margin without a new version. The holder's
/// writes are conditional on the row's version and also renew the lease, so a
/// write of a paused holder has no effect after another process has taken
/// over. For receivers other than the table, fencing_guard ensures the same.
class lease_state_machine
{
public:
    /// Maximum number of queued writes; further ones complete with lease_lost.
    static constexpr std::size_t max_queued_writes = 256;

    /// @param seed start of the nonce sequence; processes use different seeds
    lease_state_machine(lease_options options, std::uint64_t seed);

    /// Applies an event and returns the resulting commands. The caller answers
    /// each read_row and write_rows with one event; at most one of them is
    /// pending at a time. Complexity: linear in the writes.
    [[nodiscard]] std::vector<lease_command> handle(
        const lease_input& event, mono_time now);

    /// Whether this process holds the lease at `now`. Check before every
    /// order.
    [[nodiscard]] bool is_held(mono_time now) const noexcept
    {
        return holding_ && now < hold_until_;
    }

    /// The fencing number for orders. @pre is_held()
    [[nodiscard]] fencing_number fencing() const noexcept
    {
        return record_.fencing;
    }

private:
    enum class table_call : std::uint8_t
    {
        none,
        read,
        write,
        /// Reads the row to find out whether a write took effect.
        verify,
    };

    void on(const lease_event::tick& event);
    void on(const lease_event::row_read& event);
    void on(const lease_event::rows_written& event);
    void on(const lease_event::write_requested& event);
    void on(const lease_event::release_requested& event);

    void update_from_row(const table_service::optional_row& found);
    void verify_write(const table_service::optional_row& found);
    void complete_write(table_service::row_version version);
    void fail_write(result_code code);
    void start_next_call();
    void send_write(lease_record record);
    void schedule_retry(table_call call);
    void start_call(table_call call);
    void stop_holding();
    [[nodiscard]] bool can_acquire() const;
    [[nodiscard]] std::uint64_t next_nonce();

    lease_options options_;
    std::uint64_t nonce_;
    mono_time now_{};
    std::vector<lease_command> commands_;
    table_call pending_call_ = table_call::none;
    /// The call for the current write that is repeated at next_call_at_.
    table_call retry_call_ = table_call::none;
    /// Earliest time of the next call.
    mono_time next_call_at_{};

    /// The row as last read or written.
    lease_record record_;
    table_service::row_version version_;
    bool row_known_ = false;
    /// When version_ was first seen.
    mono_time version_seen_at_{};

    bool holding_ = false;
    /// Measured from the sending of the last write that took effect.
    mono_time hold_until_{};
    bool releasing_ = false;

    /// The current write: the resulting record, the transaction, and the time
    /// at which it was first sent.
    lease_record next_record_;
    table_service::transaction transaction_;
    mono_time sent_at_{};
    /// Whether an answer to the current write was lost.
    bool answer_lost_ = false;
    /// Id of the caller's write that the current write includes.
    std::optional<std::uint64_t> included_write_;

    std::deque<lease_event::write_requested> queued_writes_;
};

} // namespace wagtailseam::lease

#endif
