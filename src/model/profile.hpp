// A workload and the system that serves it, read from JSON with comments.
#ifndef WAGTAILSEAM_MODEL_PROFILE_HPP
#define WAGTAILSEAM_MODEL_PROFILE_HPP

#include "core/clock.hpp"
#include "core/result.hpp"
#include "model/engine.hpp"
#include "routing/placement_plan.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailseam::model
{

/// One kind of pause between a prompt and the next of its conversation.
struct gap_kind
{
    double share = 1.0;
    /// Scaled seconds; the logarithm of the gap is normal around its median.
    double median_s = 60.0;
    double sigma = 0.5;
};

/// One kind of conversation.
struct conversation_kind
{
    std::string name;
    double share = 1.0;
    std::size_t priority = 0;
    /// Tokens of the file that the first prompt brings; 0: none.
    double file_tokens_median = 0.0;
    double file_tokens_sigma = 0.0;
    double question_tokens = 200.0;
    double output_tokens = 100.0;
    /// Chance of another prompt after each one.
    double return_chance = 0.5;
    std::size_t most_prompts = 8;
    std::vector<gap_kind> gaps;
    /// Time between opening the conversation and the prompt, when the callers
    /// announce it; 0: not announced.
    double notice_s = 0.0;
};

struct workload_options
{
    double conversations_per_second = 1.0;
    double warm_up_s = 200.0;
    double measured_s = 600.0;
    /// Bursts of arrivals: every so often, for so long, so many times more.
    double burst_every_s = 120.0;
    double burst_length_s = 15.0;
    double burst_factor = 1.0;
    /// Shares of the workspaces; their number is the number of workspaces.
    std::vector<double> workspace_shares;
    /// Tokens at the start of every prompt of a workspace.
    double shared_tokens = 1024.0;
    std::vector<conversation_kind> kinds;
};

struct store_options
{
    std::size_t count = 2;
    std::size_t memory_pieces = 1900;
    std::size_t disk_pieces = 15000;
    byte_rate memory_rate{6.25e9};
    byte_rate disk_rate{1.5e9};
};

struct profile
{
    std::string name;
    std::size_t runners = 10;
    std::size_t entries = 3;
    duration one_way{};
    duration client_one_way{};
    /// Age of a load report when it is made, and the time between reports.
    duration load_lag = std::chrono::milliseconds(200);
    /// Delay of a cache event, and the share of events that are lost.
    duration event_lag = std::chrono::milliseconds(300);
    double event_loss = 0.01;
    /// Time from noticing a gap to the whole inventory.
    duration resync = std::chrono::milliseconds(500);
    duration weights_load = std::chrono::milliseconds(500);
    modelled_engine::options engine;
    store_options stores;
    routing::piece_size piece;
    routing::objective_weights objective;
    workload_options workload;
};

/// Reads a profile. Fails with malformed_json, missing_field, wrong_type or
/// out_of_range; the detail names the field.
[[nodiscard]] result<profile> read_profile(std::string_view text);

} // namespace wagtailseam::model

#endif
