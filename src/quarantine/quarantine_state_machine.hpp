// Quarantine of poison prompts at one entry: strikes at crashes, the platform's
// table, and what other processes tell.
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

/// The table of quarantine rows; the key is the fingerprint in hexadecimal.
inline constexpr std::string_view table_name = "quarantine";

struct quarantine_options
{
    /// Life of a record counted from its last strike.
    duration suspect_lifetime = std::chrono::minutes(10);
    duration quarantine_lifetime = std::chrono::hours(1);
    /// Time between two scans of the table, uniform in this range. 330 entries
    /// at 2 s make 165 reads a second.
    duration min_scan_interval = std::chrono::milliseconds(1500);
    duration max_scan_interval = std::chrono::milliseconds(2500);
    /// Wait after a failed scan or write, with as much again at random.
    duration min_retry_delay = std::chrono::milliseconds(100);
    std::size_t max_records = 4096;
    /// Rows in one transaction.
    std::size_t max_transaction_rows = 64;
};

/// The time of a call: monotonic for timers, calendar for expiry.
struct quarantine_time
{
    mono_time mono;
    wall_time wall;
};

/// The upstream crashed while these prompts were running on it.
struct crash_observed
{
    crash_id crash;
    std::vector<prompt_fingerprint> running_prompts;
};

/// A run of the prompt finished with a whole answer.
struct run_finished
{
    prompt_fingerprint prompt;
};

/// Another process told what it knows.
struct records_received
{
    std::vector<std::pair<prompt_fingerprint, crash_record>> records;
};

struct write_answered
{
    std::uint64_t write = 0;
    table_service::transaction_answer answer;
};

struct scan_answered
{
    table_service::scan_answer answer;
};

/// Sent by the shell every 100 ms or so.
struct tick
{
};

using event = std::variant<
    crash_observed, run_finished, records_received, write_answered,
    scan_answered, tick>;

/// Apply to the table and answer with write_answered.
struct write
{
    std::uint64_t number = 0;
    table_service::transaction rows;
};

/// Read the whole table and answer with scan_answered.
struct scan
{
};

/// Tell the processes that other entries ask about these prompts.
struct publish_records
{
    std::vector<std::pair<prompt_fingerprint, crash_record>> records;
};

using command = std::variant<write, scan, publish_records>;

/// Invariant: a record that changed here and is not in the table yet is in
/// changed_ or in the write under way. At most one write and one scan are under
/// way. Memory: max_records records.
class quarantine_state_machine
{
public:
    explicit quarantine_state_machine(const quarantine_options& options = {});

    [[nodiscard]] std::vector<command> handle(
        const event& event_received, random_source& random,
        quarantine_time now);

    /// Returns what may be done with a prompt now. Logarithmic.
    [[nodiscard]] prompt_status check(
        const prompt_fingerprint& of, wall_time now) const
    {
        return records_.check(of, now);
    }
    /// Whether a strike of this prompt is not in the table yet; its next run
    /// waits for the answer, which may show strikes of other entries.
    [[nodiscard]] bool has_unwritten_record(const prompt_fingerprint& of) const;
    [[nodiscard]] const crash_record_cache& records() const noexcept
    {
        return records_;
    }

private:
    struct pending_write
    {
        std::uint64_t number = 0;
        std::vector<std::pair<prompt_fingerprint, crash_record>> records;
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
        duration least, duration spread, random_source& random) const;

    quarantine_options options_;
    crash_record_cache records_;
    /// Versions of the rows as last seen; bounded by forgetting with the
    /// board.
    std::map<prompt_fingerprint, table_service::row_version> versions_;
    std::set<prompt_fingerprint> changed_;
    std::optional<pending_write> pending_;
    std::uint64_t last_write_ = 0;
    mono_time next_write_;
    mono_time next_scan_;
    bool scanning_ = false;
    std::vector<command> out_;
};

} // namespace wagtailseam::quarantine

#endif
