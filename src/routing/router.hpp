// Chooses the upstream for each prompt and the part of its prefix to import.
// The state machine requests probes, waits for the answers or a deadline, and
// returns the plan with the lowest cost and all plans that it compared.
#ifndef WAGTAILSEAM_ROUTING_ROUTER_HPP
#define WAGTAILSEAM_ROUTING_ROUTER_HPP

#include "core/clock.hpp"
#include "core/digest.hpp"
#include "core/ids.hpp"
#include "core/random_source.hpp"
#include "core/result_code.hpp"
#include "routing/load_view.hpp"
#include "routing/placement_plan.hpp"
#include "routing/prefix_index.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace wagtailseam::routing
{

/// How an upstream is selected; all but `lowest_cost` are baselines for
/// comparison.
enum class selection_policy : std::uint8_t
{
    lowest_cost,
    round_robin,
    least_load,
};

/// A prompt that needs an upstream.
struct prompt_info
{
    request_id id;
    /// Chained digests of the whole pieces, starting from the workspace's root.
    std::vector<digest> chain;
    token_count tokens;
    std::size_t priority = 0;
    objective_weights weights;
};

struct upstream_joined
{
    upstream_id upstream;
    cell_id cell;
};

struct upstream_left
{
    upstream_id upstream;
};

struct store_joined
{
    upstream_id store;
};

struct store_left
{
    upstream_id store;
};

/// A load report arrived, in a probe's answer or from the upstream's cell.
struct load_reported
{
    upstream_id upstream;
    load_report load;
    /// Time since the measurement.
    duration age{};
};

struct prompt_received
{
    prompt_info prompt;
};

/// An upstream answered probe_upstream.
struct upstream_answered
{
    request_id id;
    upstream_id upstream;
    load_report load;
    duration age{};
    std::size_t cached_pieces = 0;
    /// The other upstream that last received a longer prefix of this prompt;
    /// set if this upstream is the prompt's home and was sent record_holder.
    std::optional<upstream_id> last_holder;
};

/// A store answered probe_store.
struct store_answered
{
    request_id id;
    import_source source;
};

/// The time of the request's wake_at was reached.
struct probe_deadline_passed
{
    request_id id;
};

/// The request's first token arrived, or its attempt ended without one.
struct prefill_ended
{
    request_id id;
};

using event = std::variant<
    upstream_joined, upstream_left, store_joined, store_left, load_reported,
    prompt_received, upstream_answered, store_answered, probe_deadline_passed,
    prefill_ended>;

/// Ask an upstream for its load and cached pieces.
struct probe_upstream
{
    request_id id;
    upstream_id upstream;
};

/// Ask a store for its pieces of the prompt's prefix.
struct probe_store
{
    request_id id;
    upstream_id store;
};

/// Send probe_deadline_passed at this time.
struct wake_at
{
    request_id id;
    mono_time when;
};

/// Tell the prefix's home that another upstream received the prompt, so that
/// every entry can find that upstream by probing the home.
struct record_holder
{
    upstream_id home;
    std::vector<digest> chain;
    upstream_id holder;
};

/// Why an upstream is a candidate.
enum class candidate_reason : std::uint8_t
{
    home,
    last_holder,
    probed,
    short_queue,
    cell_member,
};

/// Returns the name of the reason as decision explanations show it.
[[nodiscard]] std::string_view name(candidate_reason reason) noexcept;

/// A candidate of a decision with its plan.
struct evaluated_candidate
{
    placement_plan plan;
    candidate_reason reason = candidate_reason::probed;
    duration report_age{};
    /// This entry has reached its limit of outstanding prompts there.
    bool at_outstanding_limit = false;
};

/// The inputs of a decision.
struct decision_explanation
{
    request_id id;
    upstream_id chosen;
    /// In slot order; includes the chosen upstream.
    std::vector<evaluated_candidate> candidates;
    /// Number of probes that were not answered by the deadline.
    std::size_t missing_answers = 0;
};

struct dispatch_prompt
{
    request_id id;
    placement_plan plan;
    decision_explanation explanation;
};

struct refuse_prompt
{
    request_id id;
    result_code code = result_code::no_upstream;
    /// Time after which the caller may retry.
    duration retry_after{};
};

using command = std::variant<
    probe_upstream, probe_store, wake_at, record_holder, dispatch_prompt,
    refuse_prompt>;

/// The routing state machine of one entry; performs no I/O.
class router
{
public:
    struct options
    {
        selection_policy selection = selection_policy::lowest_cost;
        import_policy imports = import_policy::if_cheaper;
        piece_size piece;
        /// Random candidates to probe besides the home and the last holder.
        std::size_t random_probes = 1;
        /// Members of the home's cell to probe, shortest reported queue first.
        std::size_t short_queue_probes = 2;
        /// Stores to probe for a prefix, in rendezvous order.
        std::size_t store_probes = 2;
        /// The piece, counted from 1, whose digest determines the prefix's
        /// home. A whole workspace often shares the pieces before it.
        std::size_t home_piece = 4;
        duration probe_timeout = std::chrono::milliseconds(20);
        /// Maximum number of prompts that wait for answers; more are refused.
        std::size_t pending_limit = 4096;
        /// A prompt is refused if its best plan takes longer.
        duration max_time_to_first_token = std::chrono::seconds(30);
        /// Capacity of the prefix index.
        std::size_t index_entries = std::size_t{1} << 18U;
        load_view::options load;
    };

    router(const options& settings, random_source random);

    /// Processes an event and returns the commands to execute, in order.
    /// Complexity: for a prompt, the length of its chain times the probed
    /// stores, plus the members of its home's cell times all upstreams.
    [[nodiscard]] std::vector<command> handle(
        const event& incoming, mono_time now);

    /// Returns the size of the prefix index in bytes.
    [[nodiscard]] std::size_t index_bytes() const noexcept;
    /// Returns the number of prompts that wait for answers.
    [[nodiscard]] std::size_t pending() const noexcept
    {
        return pending_.size();
    }

private:
    struct upstream_state
    {
        upstream_id id;
        std::uint64_t hash = 0;
        cell_id cell;
        bool present = false;
    };
    struct candidate
    {
        candidate_reason reason = candidate_reason::probed;
        std::size_t cached_pieces = 0;
        bool answered = false;
    };
    struct pending_prompt
    {
        prompt_info prompt;
        // Ordered by slot, so that equal costs are resolved deterministically.
        std::map<upstream_slot, candidate> candidates;
        // Ordered by store, at most one per store.
        std::vector<import_source> sources;
        // Number of probes without an answer.
        std::size_t missing_answers = 0;
    };
    struct dispatched_prompt
    {
        upstream_slot slot = 0;
    };

    void add_upstream(const upstream_joined& joined);
    void remove_upstream(const upstream_left& left);
    void handle_prompt(
        const prompt_info& prompt, mono_time now, std::vector<command>& out);
    void handle_answer(
        const upstream_answered& answer, mono_time now,
        std::vector<command>& out);
    void handle_answer(
        const store_answered& answer, mono_time now, std::vector<command>& out);
    void end_prefill(const request_id& id);
    void add_candidates(pending_prompt& waiting, mono_time now);
    void add_shortest_queues(
        pending_prompt& waiting, upstream_slot home, mono_time now);
    void add_candidate(
        pending_prompt& waiting, upstream_slot slot, candidate_reason reason);
    void probe_reported_holder(
        pending_prompt& waiting, const upstream_id& holder,
        std::vector<command>& out);
    void send_probes(
        const pending_prompt& waiting, mono_time now,
        std::vector<command>& out);
    void decide(const request_id& id, mono_time now, std::vector<command>& out);
    [[nodiscard]] decision_explanation evaluate(
        const pending_prompt& waiting, mono_time now) const;
    [[nodiscard]] evaluated_candidate evaluate_candidate(
        const pending_prompt& waiting, upstream_slot slot,
        const candidate& state, mono_time now) const;
    [[nodiscard]] std::optional<std::size_t> best_candidate(
        const decision_explanation& explanation) const;
    void dispatch(
        const prompt_info& prompt, placement_plan plan,
        decision_explanation explanation, mono_time now,
        std::vector<command>& out);
    void dispatch_by_baseline(
        const prompt_info& prompt, mono_time now, std::vector<command>& out);
    [[nodiscard]] std::optional<upstream_slot> next_round_robin();
    [[nodiscard]] std::optional<upstream_slot> least_loaded(
        std::size_t priority, mono_time now) const;
    [[nodiscard]] std::optional<upstream_slot> home_of(
        const prompt_info& prompt) const;
    [[nodiscard]] std::optional<upstream_slot> slot_of(
        const upstream_id& id) const;
    [[nodiscard]] prompt_size size_of(const prompt_info& prompt) const;

    options settings_;
    random_source random_;
    // By slot, at most 65,535. A new upstream takes the slot of one that left.
    std::vector<upstream_state> upstreams_;
    std::map<upstream_id, upstream_slot> slots_;
    std::vector<upstream_slot> present_slots_; // sorted
    std::set<upstream_id> stores_;
    load_view loads_;
    prefix_index index_;
    // Prompts that wait for answers; at most pending_limit.
    std::map<request_id, pending_prompt> pending_;
    // Dispatched prompts until prefill_ended or until their upstream leaves.
    std::unordered_map<request_id, dispatched_prompt> dispatched_;
    std::size_t round_robin_position_ = 0;
};

} // namespace wagtailseam::routing

#endif
