// Chooses the upstream of each prompt and how its prefix gets there. The core
// asks for probes, waits for their answers or a deadline, and names the plan
// with the lowest cost together with all estimates it weighed.
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

/// How an upstream is chosen; all but `lowest_cost` are baselines to measure
/// against.
enum class selection_policy : std::uint8_t
{
    lowest_cost,
    round_robin,
    least_load,
};

/// A prompt to be placed.
struct prompt_info
{
    request_id id;
    /// The chain of the prompt's whole pieces under its workspace's root.
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

/// A load report, from a probe's answer or from the upstream's cell.
struct load_reported
{
    upstream_id upstream;
    load_report load;
    /// Time since the report was made.
    duration age{};
};

struct prompt_received
{
    prompt_info prompt;
};

/// An upstream's answer to probe_upstream.
struct upstream_answered
{
    request_id id;
    upstream_id upstream;
    load_report load;
    duration age{};
    std::size_t cached_pieces = 0;
    /// Who else was last given a longer prefix of this prompt, if the upstream
    /// is its home and has been told so by record_holder.
    std::optional<upstream_id> last_holder;
};

/// A store's answer to probe_store.
struct store_answered
{
    request_id id;
    import_source source;
};

/// The time named by wake_at has come for the request.
struct probe_deadline_passed
{
    request_id id;
};

/// The request's first token came, or the attempt ended without one.
struct prefill_ended
{
    request_id id;
};

using event = std::variant<
    upstream_joined, upstream_left, store_joined, store_left, load_reported,
    prompt_received, upstream_answered, store_answered, probe_deadline_passed,
    prefill_ended>;

struct probe_upstream
{
    request_id id;
    upstream_id upstream;
};

struct probe_store
{
    request_id id;
    upstream_id store;
};

struct wake_at
{
    request_id id;
    mono_time when;
};

/// Tell the prefix's home that another upstream was given the prompt, so that
/// every entry finds it there.
struct record_holder
{
    upstream_id home;
    std::vector<digest> chain;
    upstream_id holder;
};

/// Why an upstream was weighed.
enum class candidate_reason : std::uint8_t
{
    home,
    last_holder,
    probed,
    short_queue,
    cell_member,
};

[[nodiscard]] std::string_view name(candidate_reason reason) noexcept;

/// One weighed candidate, for the explanation of a decision.
struct evaluated_candidate
{
    placement_plan plan;
    candidate_reason reason = candidate_reason::probed;
    duration report_age{};
    /// Over this entry's bound of outstanding prompts.
    bool over_bound = false;
};

/// What a decision was built from.
struct decision_explanation
{
    request_id id;
    upstream_id chosen;
    /// In the order of slots; the chosen one is among them.
    std::vector<evaluated_candidate> candidates;
    /// Answers that had not come by the deadline.
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
    /// When the caller may come back.
    duration retry_after{};
};

using command = std::variant<
    probe_upstream, probe_store, wake_at, record_holder, dispatch_prompt,
    refuse_prompt>;

/// The decision core of one entry.
class router
{
public:
    struct options
    {
        selection_policy selection = selection_policy::lowest_cost;
        import_policy imports = import_policy::if_cheaper;
        piece_size piece;
        /// Candidates probed at random besides home and last holder.
        std::size_t random_probes = 1;
        /// Members of the home's cell asked because their reports show the
        /// shortest queues.
        std::size_t short_queue_probes = 2;
        /// Stores asked for a prefix, in rendezvous order.
        std::size_t store_probes = 2;
        /// The piece, counted from 1, whose digest names the prefix's home;
        /// pieces before it are often shared by a whole workspace.
        std::size_t home_piece = 4;
        duration probe_timeout = std::chrono::milliseconds(20);
        /// Prompts that wait for answers at once; more are refused.
        std::size_t pending_limit = 4096;
        /// A prompt whose best estimate is longer is refused.
        duration max_time_to_first_token = std::chrono::seconds(30);
        std::size_t index_entries = std::size_t{1} << 18U;
        load_view::options load;
    };

    router(const options& settings, random_source random);

    /// Takes an event and returns what to do, in order.
    /// Complexity: a prompt costs its chain times the stores asked plus the
    /// upstreams of its home's cell.
    [[nodiscard]] std::vector<command> handle(
        const event& incoming, mono_time now);

    /// Returns the bytes of the prefix index.
    [[nodiscard]] std::size_t index_bytes() const noexcept;
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
        // Ordered by slot, so that ties fall alike in every run.
        std::map<upstream_slot, candidate> candidates;
        std::vector<import_source> kept;
        std::size_t missing = 0;
    };
    struct placed_prompt
    {
        upstream_slot slot = 0;
    };

    void join(const upstream_joined& joined);
    void leave(const upstream_left& left);
    void receive(
        const prompt_info& prompt, mono_time now, std::vector<command>& out);
    void answer(
        const upstream_answered& answered, mono_time now,
        std::vector<command>& out);
    void answer(
        const store_answered& answered, mono_time now,
        std::vector<command>& out);
    void settle(const request_id& id);
    void choose_probes(pending_prompt& waiting, mono_time now);
    void add_short_queues(
        pending_prompt& waiting, upstream_slot home, mono_time now);
    void add_candidate(
        pending_prompt& waiting, upstream_slot slot, candidate_reason reason);
    void follow_hint(
        pending_prompt& waiting, const upstream_id& holder,
        std::vector<command>& out);
    void ask(
        const pending_prompt& waiting, mono_time now,
        std::vector<command>& out);
    void decide(const request_id& id, mono_time now, std::vector<command>& out);
    [[nodiscard]] decision_explanation weigh(
        const pending_prompt& waiting, mono_time now) const;
    [[nodiscard]] evaluated_candidate weigh_one(
        const pending_prompt& waiting, upstream_slot slot,
        const candidate& held, mono_time now) const;
    [[nodiscard]] std::optional<std::size_t> best_of(
        const decision_explanation& explanation) const;
    void place(
        const prompt_info& prompt, placement_plan plan,
        decision_explanation explanation, mono_time now,
        std::vector<command>& out);
    void place_baseline(
        const prompt_info& prompt, mono_time now, std::vector<command>& out);
    [[nodiscard]] std::optional<upstream_slot> next_in_turn();
    [[nodiscard]] std::optional<upstream_slot> least_loaded(
        std::size_t priority, mono_time now) const;
    [[nodiscard]] std::optional<upstream_slot> home_of(
        const prompt_info& prompt) const;
    [[nodiscard]] std::optional<upstream_slot> slot_of(
        const upstream_id& id) const;
    [[nodiscard]] prompt_size shape_of(const prompt_info& prompt) const;

    options settings_;
    random_source random_;
    // A slot is used again once its upstream has left; at most 65,535.
    std::vector<upstream_state> upstreams_;
    std::map<upstream_id, upstream_slot> slots_;
    std::vector<upstream_slot> present_; // sorted
    std::set<upstream_id> stores_;
    load_view load_;
    prefix_index index_;
    // At most pending_limit.
    std::map<request_id, pending_prompt> pending_;
    // One for each prompt under way, until it is settled or its upstream
    // leaves.
    std::unordered_map<request_id, placed_prompt> placed_;
    std::size_t turn_ = 0;
};

} // namespace wagtailseam::routing

#endif
