// Decides which requests of which workspace go to a pool now, wait, or are
// refused: start-time fair queueing among workspaces, room kept for those below
// their share, shedding by deadline.
#ifndef WAGTAILSEAM_ADMISSION_ADMISSION_CONTROLLER_HPP
#define WAGTAILSEAM_ADMISSION_ADMISSION_CONTROLLER_HPP

#include "admission/concurrency_limit.hpp"
#include "admission/events.hpp"
#include "core/random_source.hpp"

#include <cstddef>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wagtailseam::admission
{

struct admission_options
{
    concurrency_limit_options limit;
    /// Part of the limit that only workspaces below their share may use.
    double headroom = 0.25;
    /// A workspace below its share may start this many mean requests ahead of
    /// those that used theirs.
    double burst_requests = 16;
    std::size_t max_queued = 2048;
    std::size_t max_queued_per_workspace = 64;
    /// Workspaces remembered; covers all that an entry serves.
    std::size_t max_workspaces = 4096;
    /// An idle workspace counts among the sharers for this time.
    duration activity_window = std::chrono::seconds(60);
    duration min_retry_after = std::chrono::seconds(1);
    duration max_retry_after = std::chrono::seconds(60);
};

/// Admission of one entry to one pool.
///
/// Memory: max_queued requests waiting, limit.maximum in flight and
/// max_workspaces states. Time: logarithmic in the backlogged workspaces for
/// each event, linear in what waits for tick and when the queue is full.
class admission_core
{
public:
    explicit admission_core(const admission_options& options = {});

    /// Takes one event. @return the commands in the order they apply.
    /// @pre an arrival's request is not known here yet
    [[nodiscard]] std::vector<command> handle(
        const event& happened, random_source& random, mono_time now);

    [[nodiscard]] std::size_t queued() const noexcept { return queued_; }
    [[nodiscard]] std::size_t in_flight() const noexcept
    {
        return running_.size();
    }
    [[nodiscard]] std::size_t workspaces() const noexcept
    {
        return workspaces_.size();
    }
    [[nodiscard]] const concurrency_limit& limit() const noexcept
    {
        return limit_;
    }

private:
    struct waiting
    {
        arrival asked;
        mono_time since;
    };

    struct workspace_state
    {
        double weight = 1;
        /// Virtual time at which its next request starts; never falls.
        double start_tag = 0;
        std::size_t in_flight = 0;
        mono_time last_active;
        /// Ordered by priority, then by arrival.
        std::deque<waiting> queue;
    };

    struct running
    {
        workspace_id workspace;
        token_count cost;
        mono_time since;
        bool over_share = false;
    };

    using workspace_map = std::map<workspace_id, workspace_state>;
    /// Backlogged workspaces by start tag; ties go by name.
    using ready_set = std::set<std::pair<double, workspace_id>>;

    void on(const arrival& asked, random_source& random, mono_time now);
    void on(const first_token& seen, random_source& random, mono_time now);
    void on(const finished& done, random_source& random, mono_time now);
    void on(const cancelled& left, random_source& random, mono_time now);
    void on(const tick& time, random_source& random, mono_time now);
    void on(const weights_changed& to, random_source& random, mono_time now);
    void on(const capacity_changed& to, random_source& random, mono_time now);

    workspace_state& touch(const workspace_id& id, mono_time now);
    void make_room_for_workspace();
    void forget_idle(mono_time now);
    void forget(workspace_map::iterator at);

    /// Whether the queue takes it; otherwise it is refused. A full queue may
    /// refuse a request of a longer queue in its place.
    [[nodiscard]] bool find_place(const arrival& asked, random_source& random);
    void drop_last_of(const workspace_id& id, random_source& random);
    [[nodiscard]] workspace_id most_backlogged() const;
    void enqueue(const arrival& asked, mono_time now);
    /// Removes one from a queue that is not indexed.
    waiting take(workspace_state& from, std::size_t position);
    void shed_unreachable(
        const workspace_id& id, random_source& random, mono_time now);

    void pump(random_source& random, mono_time now);
    [[nodiscard]] const workspace_id* next_workspace() const;
    [[nodiscard]] const workspace_id* first_within_share() const;
    void start(const workspace_id& id, mono_time now);

    /// Requests that all may have in flight together.
    [[nodiscard]] double common_room() const;
    /// Whether it was served ahead of others and has its part of the limit in
    /// flight.
    [[nodiscard]] bool over_share(const workspace_state& of) const;
    [[nodiscard]] duration expected_wait(
        const workspace_state& of, std::size_t position) const;
    void add_refusal(
        const arrival& asked, result_code code, std::string_view reason,
        duration wait, random_source& random);

    void index(const workspace_id& id, const workspace_state& state);
    void unindex(const workspace_id& id, const workspace_state& state);
    [[nodiscard]] ready_set& set_for(const workspace_state& state);

    admission_options options_;
    concurrency_limit limit_;
    std::map<workspace_id, double> weights_;
    /// workspaces_.size() <= options_.max_workspaces, but for workspaces that
    /// all have work.
    workspace_map workspaces_;
    /// Sum of the weights in workspaces_.
    double active_weight_ = 0;
    /// Sum of the weights in the two sets below.
    double backlogged_weight_ = 0;
    /// Together exactly the workspaces with a queue: those whose head is
    /// background, and the others.
    ready_set background_;
    ready_set foreground_;
    /// The sum of all queues; queued_ <= options_.max_queued.
    std::size_t queued_ = 0;
    /// Where a queued request waits.
    std::unordered_map<request_id, workspace_id> places_;
    std::unordered_map<request_id, running> running_;
    /// Start tag of the last request dispatched; never falls.
    double virtual_time_ = 0;
    /// Smoothed cost of a request; 0: not known.
    double mean_cost_ = 0;
    /// Smoothed time from dispatch to the end in microseconds; 0: not known.
    double service_time_ = 0;
    /// When a request within its share last showed its first token.
    mono_time last_clear_sample_;
    mono_time next_sweep_;
    std::vector<command> out_;
};

} // namespace wagtailseam::admission

#endif
