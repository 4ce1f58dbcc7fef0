// Schedules the block transfers of a link with limited bandwidth: imports that
// a first token waits for, then prefetches, then exports. The state machine
// does no I/O; it tells the caller which transfer to start and when.
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

/// Chosen by the caller; unique among the transfers of a link.
using transfer_id = strong_id<struct transfer_tag, std::uint64_t>;

/// Priority class of a transfer; lower values go first.
enum class transfer_class : std::uint8_t
{
    first_token,
    prefetch,
    export_copy,
};
inline constexpr std::size_t transfer_class_count = 3;

/// Requests the transfer of a block to a target. Transfers of the same block to
/// the same target share one job, which has the highest class among them.
struct transfer_requested
{
    transfer_id id;
    digest block;
    upstream_id target;
    transfer_class priority = transfer_class::first_token;
    byte_count bytes;
    /// The transfer is abandoned if it cannot complete by this time, after
    /// which recomputing the block is faster; nullopt: no deadline.
    std::optional<mono_time> completion_deadline;
};

/// The job that was started under this id completed.
struct transfer_finished
{
    transfer_id id;
};

/// The job that was started under this id failed; all its transfers fail.
struct transfer_failed
{
    transfer_id id;
    result_code code = result_code::store_lost;
};

/// The requester no longer needs this transfer. A started job continues.
struct transfer_cancelled
{
    transfer_id id;
};

/// The time of wake_at was reached.
struct timer_fired
{
};

using event = std::variant<
    transfer_requested, transfer_finished, transfer_failed, transfer_cancelled,
    timer_fired>;

/// Start to transfer the block now.
struct start_transfer
{
    transfer_id id;
    digest block;
    upstream_id target;
    byte_count bytes;
};

/// A transfer ended. The code is ok, import_abandoned, queue_full or the code
/// of transfer_failed.
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

/// Totals of a link, for metrics.
struct link_statistics
{
    byte_count bytes_transferred;
    /// Time with at least one active job.
    duration busy_time{};
    /// Transfers that shared the job of an earlier one.
    std::uint64_t coalesced = 0;
    /// Transfers that could not meet their deadline.
    std::uint64_t abandoned = 0;
    /// Transfers rejected because the queue of their class was full.
    std::uint64_t rejected = 0;
};

/// The scheduling state machine of one link.
class link_scheduler
{
public:
    struct options
    {
        /// Configured rate of the link; job starts are paced to it.
        byte_rate rate_limit{1.25e9};
        /// Maximum number of active jobs.
        std::size_t concurrency_limit = 1;
        /// Maximum number of queued jobs per class; more are rejected.
        std::size_t queue_limit = 4096;
        /// Half-life of the samples of the observed rate.
        duration rate_half_life = std::chrono::seconds(4);
    };

    explicit link_scheduler(const options& settings);

    /// Processes an event and returns the commands to execute, in order.
    /// Complexity: amortised logarithmic in the jobs, linear in the active
    /// ones; deadlines are checked at the head of each queue only.
    [[nodiscard]] std::vector<command> handle(
        const event& incoming, mono_time now);

    /// Returns the time until a new transfer would complete, given the active
    /// jobs and the jobs queued in its class and higher ones.
    [[nodiscard]] duration estimated_transfer_time(
        transfer_class priority, byte_count bytes, mono_time now) const;

    /// Returns the time until a new transfer of the class could start.
    [[nodiscard]] duration backlog(
        transfer_class priority, mono_time now) const;

    /// Returns the observed rate; the rate limit until the first job completes.
    [[nodiscard]] byte_rate rate() const noexcept;

    [[nodiscard]] const link_statistics& statistics() const noexcept
    {
        return statistics_;
    }
    /// Returns the number of active jobs.
    [[nodiscard]] std::size_t active_jobs() const noexcept;
    /// Returns the number of queued jobs of the class.
    [[nodiscard]] std::size_t queued_jobs(
        transfer_class priority) const noexcept;

private:
    struct job_key
    {
        digest block;
        upstream_id target;
        friend bool operator==(const job_key&, const job_key&) = default;
    };
    struct job_key_hash
    {
        std::size_t operator()(const job_key& key) const noexcept;
    };
    struct job
    {
        job_key key;
        transfer_class priority = transfer_class::first_token;
        byte_count bytes;
        std::optional<mono_time> completion_deadline;
        std::optional<mono_time> started_at;
        // The transfers that share the job; never empty while it is queued. The
        // first is the id under which the job is started.
        std::vector<transfer_id> transfers;
    };
    using job_number = std::uint64_t;

    void enqueue(const transfer_requested& request, std::vector<command>& out);
    void coalesce(job_number number, const transfer_requested& request);
    void finish(transfer_id id, mono_time now, std::vector<command>& out);
    void fail(
        const transfer_failed& failed, mono_time now,
        std::vector<command>& out);
    void cancel(transfer_id id);
    void start_ready(mono_time now, std::vector<command>& out);
    void start(job_number number, mono_time now, std::vector<command>& out);
    [[nodiscard]] std::optional<job_number> next_queued();
    void abandon(job_number number, std::vector<command>& out);
    void erase_job(job_number number);
    void compact(std::size_t level);
    void update_busy_time(mono_time now);
    [[nodiscard]] job_number job_of(transfer_id id) const;

    options settings_;
    observed_rate rate_;
    link_statistics statistics_;
    // All queued and active jobs; at most queue_limit per class plus
    // concurrency_limit.
    std::map<job_number, job> jobs_;
    // The jobs of jobs_ by block and target; one job per key.
    std::unordered_map<job_key, job_number, job_key_hash> jobs_by_key_;
    std::unordered_map<transfer_id, job_number> jobs_by_transfer_;
    // May contain jobs that were erased, started or moved to another class,
    // which next_queued skips. compact bounds each queue to twice its queued
    // jobs plus 64.
    std::array<std::deque<job_number>, transfer_class_count> queues_;
    // Exact number and bytes of the queued jobs of each class.
    std::array<std::size_t, transfer_class_count> queued_jobs_{};
    std::array<std::uint64_t, transfer_class_count> queued_bytes_{};
    // Started jobs in order of start; at most concurrency_limit.
    std::vector<job_number> active_jobs_;
    job_number next_number_ = 1;
    // Earliest time of the next start, so that starts never exceed rate_limit.
    mono_time next_start_{};
    std::optional<mono_time> busy_since_;
    mono_time last_finish_{};
};

} // namespace wagtailseam::link

#endif
