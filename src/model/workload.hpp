// The prompts of one run, drawn from a profile and a seed alone, so that every
// policy meets the same ones.
#ifndef WAGTAILSEAM_MODEL_WORKLOAD_HPP
#define WAGTAILSEAM_MODEL_WORKLOAD_HPP

#include "core/clock.hpp"
#include "core/digest.hpp"
#include "core/ids.hpp"
#include "model/profile.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace wagtailseam::model
{

/// One prompt of a conversation.
struct arrival
{
    mono_time when;
    /// When the conversation was opened, if that was announced.
    std::optional<mono_time> opened;
    std::size_t entry = 0;
    std::size_t workspace = 0;
    std::uint64_t conversation = 0;
    std::size_t priority = 0;
    token_count tokens;
    token_count output;
    /// Tokens at the start of the prompt that earlier prompts brought or
    /// answers produced.
    token_count known;
    /// Whether the conversation has had a prompt before.
    bool returning = false;
};

/// Returns all prompts in order of time.
[[nodiscard]] std::vector<arrival> draw_workload(
    const profile& from, std::uint64_t seed);

/// Returns the chain of the prompt's whole pieces. Pieces that the workspace
/// shares have the same digests in all its conversations; no digest is shared
/// by two workspaces or two weight versions.
[[nodiscard]] std::vector<digest> chain_of(
    const arrival& one, const profile& from, weight_version version);

} // namespace wagtailseam::model

#endif
