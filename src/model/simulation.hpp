// Runs one workload through entries, runners, stores and links in virtual
// time. The routing and link cores are the real ones; all else is modelled.
#ifndef WAGTAILSEAM_MODEL_SIMULATION_HPP
#define WAGTAILSEAM_MODEL_SIMULATION_HPP

#include "model/event_queue.hpp"
#include "model/measures.hpp"
#include "model/profile.hpp"
#include "model/runner.hpp"
#include "model/store.hpp"
#include "model/workload.hpp"
#include "routing/router.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace wagtailseam::model
{

struct run_options
{
    policy how = policy::wagtailseam;
    std::uint64_t seed = 1;
    /// Multiplies the rate of every link.
    double link_scale = 1.0;
    /// Multiplies the conversations a second.
    double load_scale = 1.0;
    fault broken = fault::none;
};

class simulation
{
public:
    simulation(const profile& from, const run_options& options);
    ~simulation();

    /// Runs the whole workload and returns what was measured.
    /// Deterministic: equal arguments of the constructor give equal rows.
    [[nodiscard]] run_row run();

private:
    /// An import under way: pieces [first, end) of the job's chain.
    struct import_state
    {
        std::size_t store = 0;
        /// Transfers still open, by piece.
        std::map<std::size_t, std::pair<modelled_link*, link::transfer_id>>
            open;
        /// Pieces from here on are given up.
        std::size_t end = 0;
        bool requesting = false;
        mono_time expected{};
        double rate = 1.0;
    };
    struct tracked
    {
        std::size_t arrival = 0;
        std::vector<digest> chain;
        weight_version version;
        std::size_t runner = 0;
        // Grows with each placement, so that late messages of an earlier one
        // are ignored.
        std::uint32_t attempt = 0;
        bool placed = false;
        bool answered = false;
        import_state import;
    };

    void build_runners();
    void build_entries();
    void post_arrivals();
    void post_load_reports();
    void post_fault();
    void post_use_samples();

    void receive(std::size_t number);
    void offer(const request_id& id);
    void apply(std::size_t entry, const std::vector<routing::command>& all);
    void probe(std::size_t entry, const routing::probe_upstream& wanted);
    void probe(std::size_t entry, const routing::probe_store& wanted);
    void tell_home(const routing::record_holder& record);
    void place_exactly(const request_id& id);
    void dispatch(const request_id& id, const routing::placement_plan& plan);
    void begin(
        const request_id& id, const routing::placement_plan& plan,
        std::uint32_t attempt);
    void begin_import(
        const request_id& id, const routing::placement_plan& plan,
        std::size_t cached);
    void request_piece(
        const request_id& id, std::size_t piece,
        std::optional<mono_time> worth_until);
    void piece_done(
        const request_id& id, std::uint32_t attempt, std::size_t piece,
        result_code code);
    void give_up_from(tracked& job, std::size_t piece);
    void settle_import(const request_id& id, tracked& job);
    void await_import(const request_id& id);
    void first_token_out(std::size_t runner, const first_token& out);
    void export_pieces(std::size_t runner, const tracked& job);
    void export_piece(
        std::size_t runner, std::size_t store, const digest& piece);

    void break_store();
    void slow_links();
    void lose_events(double share);
    void lose_runner();
    void retry(const std::vector<request_id>& ids);
    void swap_next();
    void swapped(std::size_t runner);
    void announce(std::size_t runner, bool joined);

    [[nodiscard]] routing::router::options router_options() const;
    [[nodiscard]] routing::upstream_conditions exact_view(
        std::size_t runner, const tracked& job, std::size_t priority) const;
    [[nodiscard]] std::vector<routing::import_source> exact_sources(
        const tracked& job);
    [[nodiscard]] std::size_t home_store(const tracked& job) const;
    [[nodiscard]] std::size_t store_index(const upstream_id& id) const;
    [[nodiscard]] bool uses_stores() const noexcept;
    [[nodiscard]] run_row measured();
    [[nodiscard]] link_use_share measured_link_use();

    // A copy, scaled by the options.
    const profile from_;
    run_options options_;
    event_queue events_;
    std::vector<arrival> arrivals_;
    std::vector<std::unique_ptr<store>> stores_;
    std::vector<std::unique_ptr<runner>> runners_;
    std::vector<std::unique_ptr<routing::router>> entries_;
    std::map<upstream_id, std::size_t> runner_numbers_;
    std::unordered_map<request_id, tracked> jobs_;

    weight_version version_{1};
    // The version each runner serves, and the runners still to swap.
    std::vector<weight_version> runner_versions_;
    // Whether the runner is announced to the entries.
    std::vector<bool> announced_;
    std::deque<std::size_t> to_swap_;
    std::size_t swapped_ = 0;

    mono_time fault_at_{};
    // Milliseconds to first token, by arrival; below zero: none yet.
    std::vector<double> ttft_ms_;
    std::vector<std::uint64_t> recomputed_;
    // Time the engines had spent on prompts when measuring began and ended.
    std::array<duration, 2> prefill_time_{};
    std::uint64_t refused_ = 0;
    std::uint64_t imports_ = 0;
    std::uint64_t imports_abandoned_ = 0;
};

} // namespace wagtailseam::model

#endif
