// Quarantines poison prompts (prompts that crash upstreams) at one entry. Its
// sources are observed crashes, the platform's table and other processes.
#ifndef WAGTAILSEAM_QUARANTINE_QUARANTINE_STATE_MACHINE_HPP
#define WAGTAILSEAM_QUARANTINE_QUARANTINE_STATE_MACHINE_HPP

#include "core/random_source.hpp"
#include "quarantine/crash_record_cache.hpp"
#include "table_service/table.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace wagtailseam::quarantine
{

/// The table of quarantine rows, keyed by prompt fingerprint in hexadecimal.
inline constexpr std::string_view table_name = "quarantine";

struct quarantine_options
{
    /// Lifetime of a record, counted from the prompt's last crash.
    duration suspect_lifetime = std::chrono::minutes(10);
    duration quarantine_lifetime = std::chrono::hours(1);
    /// Time between two table scans, chosen uniformly from this range. With 330
    /// entries and a mean of 2 s, the table serves 165 reads per second.
    duration min_scan_interval = std::chrono::milliseconds(1500);
    duration max_scan_interval = std::chrono::milliseconds(2500);
    /// Delay after a failed scan or write; up to the same amount of jitter is
    /// added.
    duration min_retry_delay = std::chrono::milliseconds(100);
    std::size_t max_records = 4096;
    /// Limit of the rows in one transaction.
    std::size_t max_transaction_rows = 64;
};

/// The current time: monotonic for timers, wall clock for expiry.
struct quarantine_time
{
    mono_time mono;
    wall_time wall;
};

/// An upstream crashed while these prompts were running on it.
struct crash_observed
{
    crash_id crash;
    std::vector<content_fingerprint> running_prompts;
};

/// A run of the prompt finished with a complete answer.
struct run_finished
{
    content_fingerprint prompt;
};

/// Another process sent its crash records.
struct records_received
{
    std::vector<std::pair<content_fingerprint, crash_record>> records;
};

struct write_answered
{
    std::uint64_t write = 0;
    table_service::transaction_result answer;
};

struct scan_answered
{
    table_service::scan_result answer;
};

/// Sent by the caller about every 100 ms.
struct tick
{
};

using event = std::variant<
    crash_observed, run_finished, records_received, write_answered,
    scan_answered, tick>;

/// Apply the transaction to the table, then send write_answered.
struct write
{
    std::uint64_t number = 0;
    table_service::transaction rows;
};

/// Read the whole table, then send scan_answered.
struct scan
{
};

/// Send the records to the processes that other entries query for these
/// prompts.
struct publish_records
{
    std::vector<std::pair<content_fingerprint, crash_record>> records;
};

using command = std::variant<write, scan, publish_records>;

/// Decides which prompts an entry may run and keeps its crash records in step
/// with the table. Memory: max_records records.
/// Invariants: a local change that is not in the table yet is in changed_ or in
/// pending_. At most one write of records and one scan are pending.
class quarantine_state_machine
{
public:
    explicit quarantine_state_machine(const quarantine_options& options = {});

    [[nodiscard]] std::vector<command> handle(
        const event& received, random_source& random, quarantine_time now);

    /// Returns whether and how a prompt may run now. Complexity: logarithmic.
    [[nodiscard]] prompt_status check(
        const content_fingerprint& prompt, wall_time now) const
    {
        return records_.check(prompt, now);
    }
    /// Returns whether a change to this prompt's record is not in the table
    /// yet. The prompt's next run waits for the answer to the write, which may
    /// contain crashes that other entries recorded.
    [[nodiscard]] bool has_unwritten_record(
        const content_fingerprint& prompt) const;
    [[nodiscard]] const crash_record_cache& records() const noexcept
    {
        return records_;
    }

private:
    struct pending_write
    {
        std::uint64_t number = 0;
        std::vector<std::pair<content_fingerprint, crash_record>> records;
    };

    void on(
        const crash_observed& crash, random_source& random,
        quarantine_time now);
    void on(
        const run_finished& run, random_source& random, quarantine_time now);
    void on(
        const records_received& from, random_source& random,
        quarantine_time now);
    void on(
        const write_answered& got, random_source& random, quarantine_time now);
    void on(
        const scan_answered& got, random_source& random, quarantine_time now);
    void on(const tick& time, random_source& random, quarantine_time now);

    void on_committed(const table_service::committed& done);
    void on_conflict(const table_service::conflicted& conflict);
    void apply_row(const table_service::row& row, wall_time now);
    void write_changed_records(mono_time now);
    [[nodiscard]] duration jitter(
        duration min, duration spread, random_source& random) const;

    quarantine_options options_;
    crash_record_cache records_;
    /// Last known row versions. An entry is removed together with its record,
    /// which bounds the map.
    std::map<content_fingerprint, table_service::row_version> versions_;
    std::set<content_fingerprint> changed_;
    std::optional<pending_write> pending_;
    std::uint64_t last_write_ = 0;
    mono_time next_write_;
    mono_time next_scan_;
    bool scanning_ = false;
    std::vector<command> commands_;
};

} // namespace wagtailseam::quarantine

#endif
