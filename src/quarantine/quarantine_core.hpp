// Quarantine of poison prompts at one entry: strikes at crashes, the platform's
// table, and what other processes tell.
#ifndef WAGTAILSEAM_QUARANTINE_QUARANTINE_CORE_HPP
#define WAGTAILSEAM_QUARANTINE_QUARANTINE_CORE_HPP

#include "core/random_source.hpp"
#include "quarantine/strike_board.hpp"
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
    duration suspect_life = std::chrono::minutes(10);
    duration quarantine_life = std::chrono::hours(1);
    /// Time between two scans of the table, uniform in this range. 330 entries
    /// at 2 s make 165 reads a second.
    duration scan_least = std::chrono::milliseconds(1500);
    duration scan_most = std::chrono::milliseconds(2500);
    /// Wait after a failed scan or write, with as much again at random.
    duration retry_wait = std::chrono::milliseconds(100);
    std::size_t max_records = 4096;
    /// Rows in one transaction.
    std::size_t max_batch = 64;
};

/// The time of a call: monotonic for timers, calendar for expiry.
struct quarantine_time
{
    mono_time mono;
    wall_time wall;
};

/// The upstream crashed while these prompts were running on it.
struct crash_seen
{
    crash_id crash;
    std::vector<fingerprint> present;
};

/// A run of the prompt finished with a whole answer.
struct run_finished
{
    fingerprint prompt;
};

/// Another process told what it knows.
struct heard
{
    std::vector<std::pair<fingerprint, strike_record>> records;
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

/// Sent by the shell every 100 ms or so.
struct tick
{
};

using event = std::variant<
    crash_seen, run_finished, heard, write_answered, scan_answered, tick>;

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
struct tell
{
    std::vector<std::pair<fingerprint, strike_record>> records;
};

using command = std::variant<write, scan, tell>;

/// Invariant: a record that changed here and is not in the table yet is in
/// dirty_ or in the write under way. At most one write and one scan are under
/// way. Memory: max_records records.
class quarantine_core
{
public:
    explicit quarantine_core(const quarantine_options& options = {});

    [[nodiscard]] std::vector<command> handle(
        const event& happened, random_source& random, quarantine_time now);

    /// Returns what may be done with a prompt now. Logarithmic.
    [[nodiscard]] verdict check(const fingerprint& of, wall_time now) const
    {
        return board_.check(of, now);
    }
    /// Whether a strike of this prompt is not in the table yet; its next run
    /// waits for the answer, which may show strikes of other entries.
    [[nodiscard]] bool unwritten(const fingerprint& of) const;
    [[nodiscard]] const strike_board& board() const noexcept { return board_; }

private:
    struct pending_write
    {
        std::uint64_t number = 0;
        std::vector<std::pair<fingerprint, strike_record>> records;
    };

    void on(
        const crash_seen& crash, random_source& random, quarantine_time now);
    void on(
        const run_finished& run, random_source& random, quarantine_time now);
    void on(const heard& from, random_source& random, quarantine_time now);
    void on(
        const write_answered& got, random_source& random, quarantine_time now);
    void on(
        const scan_answered& got, random_source& random, quarantine_time now);
    void on(const tick& time, random_source& random, quarantine_time now);

    void on_committed(const table_service::committed& done);
    void on_conflict(const table_service::conflicted& conflict);
    void learn(const table_service::row& row, wall_time now);
    void flush(mono_time now);
    [[nodiscard]] duration jitter(
        duration least, duration spread, random_source& random) const;

    quarantine_options options_;
    strike_board board_;
    /// Versions of the rows as last seen; bounded by forgetting with the
    /// board.
    std::map<fingerprint, table_service::row_version> versions_;
    std::set<fingerprint> dirty_;
    std::optional<pending_write> pending_;
    std::uint64_t last_write_ = 0;
    mono_time next_write_;
    mono_time next_scan_;
    bool scanning_ = false;
    std::vector<command> out_;
};

} // namespace wagtailseam::quarantine

#endif
