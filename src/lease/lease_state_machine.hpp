// A lease for a duty with one holder, kept in a row of the platform's table.
// No I/O.
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

/// The value of a lease's row. Every write takes a new nonce.
struct lease_record
{
    /// Empty when the last holder released it.
    std::string holder;
    incarnation life;
    /// Grows by one with each change of the holder.
    fencing_number fencing;
    std::uint64_t nonce = 0;
    /// How long the lease runs from each write.
    duration length{};

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

/// Returns where the lease of a duty stands.
[[nodiscard]] table_service::row_key lease_row_key(std::string_view duty);
[[nodiscard]] std::string encode(const lease_record& record);
/// @errors malformed_message
[[nodiscard]] result<lease_record> decode_lease(std::string_view value);

struct lease_options
{
    std::string duty;
    std::string holder;
    incarnation life;
    duration length = std::chrono::seconds(9);
    duration renew_interval = std::chrono::seconds(3);
    /// The holder stops acting this long before the end, and others wait this
    /// much longer, for clocks that run at different rates.
    duration margin = std::chrono::milliseconds(750);
    /// Between two reads or writes of which the first failed.
    duration retry_delay = std::chrono::milliseconds(250);
};

namespace lease_event
{

/// The process has started, or a wake-up is due.
struct tick
{
};

struct row_read
{
    table_service::read_answer answer;
};

struct rows_written
{
    table_service::transaction_answer answer;
};

/// The duty wants rows written, if and only if the lease is still held.
struct write_requested
{
    std::uint64_t id = 0;
    std::vector<table_service::row_write> writes;
};

/// The process leaves and gives the lease up.
struct release_requested
{
};

} // namespace lease_event

using lease_input = std::variant<
    lease_event::tick, lease_event::row_read, lease_event::rows_written,
    lease_event::write_requested, lease_event::release_requested>;

struct read_row
{
    table_service::row_key at;
};

struct write_rows
{
    table_service::transaction wanted;
};

/// The duty may act; its orders carry the number.
struct acquired
{
    fencing_number fencing;
};

/// The duty must not act any more.
struct lost
{
};

/// ok; lease_lost: nothing was written; platform_conflict: a condition of the
/// writes did not hold, nothing was written; platform_answer_lost: the writes
/// may have taken effect.
struct write_completed
{
    std::uint64_t id = 0;
    result_code code = result_code::ok;
};

struct wake_at
{
    mono_time when;
};

using lease_command = std::variant<
    read_row, write_rows, acquired, lost, write_completed, wake_at>;

/// Takes, renews and guards one lease.
///
/// Clocks of processes are never compared. The holder counts from the moment
/// it sent the write; another process counts from the moment it first read
/// the row's version, which is later, and takes over only after the full
/// length and margin without a new version. The holder's writes carry the
/// row's version as their condition and renew the lease at the same time, so
/// a paused holder's write has no effect once another has taken over. At
/// targets outside the table fencing_guard does that.
class lease_state_machine
{
public:
    /// Writes that wait for their turn; more are refused as lease_lost.
    static constexpr std::size_t max_waiting = 256;

    lease_state_machine(lease_options options, std::uint64_t seed);

    /// Takes an event. Each read_row and write_rows is answered by one event;
    /// only one of them is open at a time. Complexity: linear in the writes.
    [[nodiscard]] std::vector<lease_command> handle(
        const lease_input& event, mono_time now);

    /// Whether the duty may act now. Ask again before each order.
    [[nodiscard]] bool may_act(mono_time now) const noexcept
    {
        return holding_ && now < hold_until_;
    }

    /// The number for orders. @pre may_act()
    [[nodiscard]] fencing_number fencing() const noexcept
    {
        return record_.fencing;
    }

private:
    enum class open_call : std::uint8_t
    {
        none,
        read,
        write,
        read_back,
    };

    void on(const lease_event::tick& event);
    void on(const lease_event::row_read& event);
    void on(const lease_event::rows_written& event);
    void on(const lease_event::write_requested& event);
    void on(const lease_event::release_requested& event);

    void observe(const table_service::found_row& found);
    void read_back(const table_service::found_row& found);
    void write_took_effect(table_service::row_version version);
    void write_failed(result_code code);
    void next_call();
    void send_write(lease_record next);
    void retry(open_call call);
    void make(open_call call);
    void stop_holding();
    [[nodiscard]] bool free_for_taking() const;
    [[nodiscard]] std::uint64_t next_nonce();

    lease_options options_;
    std::uint64_t nonce_;
    mono_time now_{};
    std::vector<lease_command> out_;
    open_call call_ = open_call::none;
    /// The call to make again at next_call_at_, about the open write.
    open_call retry_ = open_call::none;
    /// No call is made before this.
    mono_time next_call_at_{};

    /// The row as last read or written.
    lease_record record_;
    table_service::row_version version_;
    bool row_known_ = false;
    /// When this version was first seen.
    mono_time version_seen_{};

    bool holding_ = false;
    /// Counted from the sending of the last write that took effect.
    mono_time hold_until_{};
    bool releasing_ = false;

    /// The open write: what it makes of the row, when it was first sent, the
    /// duty's write that rides on it.
    lease_record next_record_;
    table_service::transaction open_write_;
    mono_time sent_at_{};
    /// Whether an answer to the open write was lost.
    bool answer_lost_ = false;
    std::optional<std::uint64_t> riding_;

    std::deque<lease_event::write_requested> waiting_;
};

} // namespace wagtailseam::lease

#endif
