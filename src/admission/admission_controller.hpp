// Admission control for a pool: start-time fair queueing among workspaces,
// capacity reserved for workspaces below their share, and load shedding by
// deadline.
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
    /// Fraction of the concurrency limit reserved for workspaces below their
    /// share, in [0, 1).
    double headroom = 0.25;
    /// Credit that an idle workspace can accumulate, in requests of mean cost.
    double burst_requests = 16;
    std::size_t max_queued = 2048;
    std::size_t max_queued_per_workspace = 64;
    /// Workspaces with stored state; must cover all that an entry serves.
    std::size_t max_workspaces = 4096;
    /// Time that an idle workspace still counts in the division of shares.
    duration activity_window = std::chrono::seconds(60);
    duration min_retry_after = std::chrono::seconds(1);
    duration max_retry_after = std::chrono::seconds(60);
};

/// Controls the admission of requests from one entry to one pool.
///
/// Memory is bounded by max_queued queued requests, limit.maximum requests in
/// flight and max_workspaces workspaces. Complexity of an event: logarithmic in
/// the number of backlogged workspaces; for tick and for a full queue, linear
/// in the number of queued requests.
class admission_controller
{
public:
    explicit admission_controller(const admission_options& options = {});

    /// Handles one event. @return the commands, to be executed in order
    /// @pre the request of request_arrived is neither queued nor in flight
    [[nodiscard]] std::vector<admission_command> handle(
        const admission_event& event, random_source& random, mono_time now);

    [[nodiscard]] std::size_t queued_requests() const noexcept
    {
        return queued_count_;
    }
    [[nodiscard]] std::size_t in_flight() const noexcept
    {
        return in_flight_.size();
    }
    [[nodiscard]] std::size_t workspace_count() const noexcept
    {
        return workspaces_.size();
    }
    [[nodiscard]] const concurrency_limit& limit() const noexcept
    {
        return limit_;
    }

private:
    struct queued_request
    {
        request_arrived arrival;
        mono_time enqueued_at;
    };

    struct workspace_state
    {
        double weight = 1;
        /// Virtual start time of the next request; never decreases.
        double start_tag = 0;
        std::size_t in_flight = 0;
        mono_time last_active;
        /// Ordered by descending priority, then by arrival.
        std::deque<queued_request> queue;
    };

    struct in_flight_request
    {
        workspace_id workspace;
        token_count cost;
        mono_time dispatched_at;
        bool over_share = false;
    };

    using workspace_map = std::map<workspace_id, workspace_state>;
    /// Backlogged workspaces, ordered by start tag and then by id.
    using backlog_set = std::set<std::pair<double, workspace_id>>;

    void on(
        const request_arrived& arrival, random_source& random, mono_time now);
    void on(
        const first_token_received& event, random_source& random,
        mono_time now);
    void on(
        const request_finished& event, random_source& random, mono_time now);
    void on(
        const request_cancelled& event, random_source& random, mono_time now);
    void on(const tick& event, random_source& random, mono_time now);
    void on(const weights_changed& event, random_source& random, mono_time now);
    void on(
        const capacity_changed& event, random_source& random, mono_time now);

    workspace_state& activate_workspace(const workspace_id& id, mono_time now);
    void evict_idle_workspace();
    void remove_idle_workspaces(mono_time now);
    void remove_workspace(workspace_map::iterator workspace);

    /// Ensures that the queue has space for the request, if need be by refusing
    /// a request of a longer queue. @return false if it refused the arrival
    [[nodiscard]] bool make_queue_space(
        const request_arrived& arrival, random_source& random);
    void drop_last_request(const workspace_id& id, random_source& random);
    [[nodiscard]] workspace_id most_backlogged_workspace() const;
    void enqueue(const request_arrived& arrival, mono_time now);
    /// Removes a queued request. @pre the workspace is not in a backlog set
    queued_request dequeue(workspace_state& state, std::size_t position);
    void shed_late_requests(
        const workspace_id& id, random_source& random, mono_time now);

    void dispatch_ready(random_source& random, mono_time now);
    [[nodiscard]] const workspace_id* next_workspace() const;
    [[nodiscard]] const workspace_id* first_workspace_within_share() const;
    void dispatch_head(const workspace_id& id, mono_time now);

    /// Concurrency limit without the headroom.
    [[nodiscard]] double shared_limit() const;
    /// Whether the workspace is not behind in virtual time and has at least its
    /// share of the concurrency limit in flight.
    [[nodiscard]] bool exceeds_share(const workspace_state& state) const;
    [[nodiscard]] duration expected_wait(
        const workspace_state& state, std::size_t position) const;
    void add_refusal(
        const request_arrived& arrival, result_code code,
        std::string_view reason, duration wait, random_source& random);

    void add_to_backlog(const workspace_id& id, const workspace_state& state);
    void remove_from_backlog(
        const workspace_id& id, const workspace_state& state);
    [[nodiscard]] backlog_set& backlog_for(const workspace_state& state);

    admission_options options_;
    concurrency_limit limit_;
    std::map<workspace_id, double> weights_;
    /// workspaces_.size() <= options_.max_workspaces, unless all workspaces
    /// have queued requests or requests in flight.
    workspace_map workspaces_;
    /// Sum of the weights in workspaces_.
    double active_weight_ = 0;
    /// Sum of the weights in the two sets below.
    double backlogged_weight_ = 0;
    /// The two sets partition the workspaces with queued requests: by whether
    /// the first request has background priority.
    backlog_set background_backlog_;
    backlog_set foreground_backlog_;
    /// Total length of all queues; queued_count_ <= options_.max_queued.
    std::size_t queued_count_ = 0;
    /// Workspace of each queued request.
    std::unordered_map<request_id, workspace_id> queued_workspaces_;
    std::unordered_map<request_id, in_flight_request> in_flight_;
    /// Highest start tag of the dispatched requests; never decreases.
    double virtual_time_ = 0;
    /// Moving average of the request cost in tokens; 0 before the first one.
    double mean_cost_ = 0;
    /// Moving average of the time from dispatch to completion in microseconds;
    /// 0 before the first sample.
    double mean_service_time_us_ = 0;
    /// Time of the last first token of a request within its share.
    mono_time last_within_share_sample_;
    mono_time next_idle_sweep_;
    std::vector<admission_command> commands_;
};

} // namespace wagtailseam::admission

#endif
