// A model of one engine with continuous batching: each step computes chunks of
// prompts and one token for every sequence that decodes. No clock inside: the
// caller asks for a step's length and ends it when that has passed, in virtual
// or in real time.
#ifndef WAGTAILSEAM_MODEL_ENGINE_HPP
#define WAGTAILSEAM_MODEL_ENGINE_HPP

#include "core/clock.hpp"
#include "core/digest.hpp"
#include "core/ids.hpp"
#include "model/piece_cache.hpp"
#include "routing/load_view.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wagtailseam::model
{

/// One prompt for the engine.
struct job
{
    request_id id;
    std::vector<digest> chain;
    token_count tokens;
    token_count output;
    /// Level 0 goes first.
    std::size_t priority = 0;
    /// Whether imported pieces are still to come; the job is not admitted
    /// until import_settled.
    bool import_pending = false;
};

/// The prompt is computed and its first token is out.
struct first_token
{
    request_id id;
    token_count computed;
};

/// The last token is out.
struct job_finished
{
    request_id id;
};

/// The job would have been admitted, were its import not pending.
struct import_awaited
{
    request_id id;
};

struct pieces_cached
{
    std::vector<digest> pieces;
};

struct pieces_evicted
{
    std::vector<digest> pieces;
};

using engine_event = std::variant<
    first_token, job_finished, import_awaited, pieces_cached, pieces_evicted>;

class modelled_engine
{
public:
    struct options
    {
        token_rate prefill_rate{8000.0};
        token_count chunk{512};
        token_count piece{1024};
        duration step_base = std::chrono::milliseconds(6);
        duration decode_cost = std::chrono::microseconds(100);
        std::size_t cache_pieces = 300;
        std::size_t running_limit = 64;
    };

    explicit modelled_engine(const options& settings);

    void submit(job wanted);
    /// Lets a job whose import is over, or given up, be admitted.
    void import_settled(const request_id& id);
    /// Puts an imported piece into the cache, pinned until the job ends.
    /// @return false when the job is unknown or there is no room
    [[nodiscard]] bool import_piece(
        const request_id& id, const digest& piece,
        std::vector<engine_event>& out);
    /// Puts a piece into the cache without a job, if room is free of pins.
    bool prefetch_piece(const digest& piece, std::vector<engine_event>& out);

    /// Plans a step. @return its length, or nothing when there is no work
    [[nodiscard]] std::optional<duration> begin_step(
        std::vector<engine_event>& out);
    /// Ends the step that begin_step planned.
    void end_step(std::vector<engine_event>& out);

    /// Drops the whole cache, as a load of weights does. @pre idle
    void clear_cache();
    /// Removes all jobs and returns their ids.
    std::vector<request_id> abort_all();

    [[nodiscard]] bool idle() const noexcept;
    [[nodiscard]] const piece_cache& cache() const noexcept { return cache_; }
    /// Returns prompt tokens still to compute by priority level, counting the
    /// cache as it stands. Complexity: jobs times their chains.
    [[nodiscard]] std::array<token_count, routing::priority_levels> queued()
        const;
    /// Tokens computed and time spent in steps that computed prompts.
    [[nodiscard]] double prefilled_tokens() const noexcept
    {
        return prefilled_tokens_;
    }
    [[nodiscard]] duration prefill_time() const noexcept
    {
        return prefill_time_;
    }

private:
    struct active_job
    {
        job wanted;
        std::uint64_t number = 0;
        // Prompt tokens still to compute; 0 while decoding.
        std::uint64_t prefill_left = 0;
        std::uint64_t computed = 0;
        std::uint64_t output_left = 0;
        // Tokens of this job in the step under way.
        std::uint64_t in_step = 0;
        bool decodes_in_step = false;
        std::size_t reserved = 0;
        std::vector<digest> pinned;
    };
    using job_list = std::list<active_job>;

    [[nodiscard]] std::uint64_t tokens_to_compute(const active_job& one) const;
    void admit(std::uint64_t budget, std::vector<engine_event>& out);
    [[nodiscard]] bool start(active_job& one, std::vector<engine_event>& out);
    void finish_prefill(active_job& one, std::vector<engine_event>& out);
    void finish(active_job& one, std::vector<engine_event>& out);
    void insert_sorted(job_list& jobs, job_list& from, job_list::iterator one);

    options settings_;
    piece_cache cache_;
    // Both in order of (priority, number).
    job_list waiting_;
    job_list running_;
    std::uint64_t next_number_ = 0;
    double prefilled_tokens_ = 0.0;
    duration prefill_time_{};
};

} // namespace wagtailseam::model

#endif
