// A model of one runner: its engine under the event queue, and what its
// sidecar knows of it, late and with gaps.
#ifndef WAGTAILSEAM_MODEL_RUNNER_HPP
#define WAGTAILSEAM_MODEL_RUNNER_HPP

#include "core/ids.hpp"
#include "core/random_source.hpp"
#include "link/observed_rate.hpp"
#include "model/engine.hpp"
#include "model/event_queue.hpp"
#include "model/profile.hpp"
#include "routing/load_view.hpp"
#include "routing/prefix_index.hpp"

#include <functional>
#include <optional>
#include <span>
#include <unordered_set>
#include <vector>

namespace wagtailseam::model
{

class runner
{
public:
    /// Told of first tokens, finished jobs and awaited imports.
    using observer = std::function<void(const engine_event&)>;

    runner(
        upstream_id id, const profile& from, event_queue& events,
        std::uint64_t seed, observer told);

    /// Gives the engine a job of which the sidecar expects `planned` tokens to
    /// be computed.
    void submit(const job& wanted, token_count planned);
    /// Puts an imported piece into the engine's cache.
    /// @return false when the job is gone or there is no room
    bool import_piece(const request_id& id, const digest& piece);
    bool prefetch_piece(const digest& piece);
    void import_settled(const request_id& id);

    /// Takes the engine's load report, as it comes every load_lag.
    void take_load_report();
    /// What the sidecar answers to a probe now.
    [[nodiscard]] routing::load_report load_now() const;
    /// Pieces of the chain that the sidecar believes to be cached.
    [[nodiscard]] std::size_t believed_pieces(
        std::span<const digest> chain) const;

    /// Learns that another runner was given the chain, whose home this is.
    void record_holder(std::span<const digest> chain, std::size_t holder);
    /// Returns the number of a runner that was given more of the chain than
    /// this one has.
    [[nodiscard]] std::optional<std::size_t> other_holder(
        std::span<const digest> chain) const;

    /// Stops the runner; returns the jobs that it had.
    std::vector<request_id> lose();
    /// Takes no new work and loads weights once idle; `loaded` runs when the
    /// engine is ready with an empty cache.
    void reload(duration load_time, std::function<void()> loaded);
    void set_event_loss(double share) noexcept { event_loss_ = share; }

    [[nodiscard]] bool lost() const noexcept { return lost_; }
    [[nodiscard]] const modelled_engine& exact() const noexcept
    {
        return engine_;
    }
    [[nodiscard]] const upstream_id& id() const noexcept { return id_; }

private:
    void kick();
    void end_step();
    void deliver(std::vector<engine_event> happened);
    void send_cache_event(const engine_event& happened);
    void resynchronise();
    void begin_reload();

    upstream_id id_;
    const profile& from_;
    event_queue& events_;
    random_source random_;
    observer told_;
    modelled_engine engine_;
    double event_loss_;
    bool stepping_ = false;
    bool lost_ = false;
    bool resync_due_ = false;
    std::function<void()> reloading_;
    duration load_time_{};

    // The sidecar's inventory of the engine's cache.
    std::unordered_set<digest> inventory_;
    routing::prefix_index directory_{1U << 16U};
    // The engine's last load report and what was submitted since.
    routing::load_report reported_;
    mono_time reported_at_{};
    std::array<std::uint64_t, routing::priority_levels> since_{};
    link::observed_rate prefill_rate_;
    double seen_tokens_ = 0.0;
    duration seen_time_{};
};

} // namespace wagtailseam::model

#endif
