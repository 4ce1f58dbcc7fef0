// Puts the frames of one attempt together: in order, each once, and complete.
#ifndef WAGTAILSEAM_ATTEMPT_FRAME_ASSEMBLER_HPP
#define WAGTAILSEAM_ATTEMPT_FRAME_ASSEMBLER_HPP

#include "attempt/attempt_types.hpp"
#include "core/result.hpp"

#include <string_view>

namespace wagtailseam::attempt
{

/// How many frames were dropped, by reason.
struct dropped_frames
{
    /// Of another attempt or another life of the sidecar.
    std::uint64_t of_other_attempt = 0;
    /// Seen before, as after a resume or a duplicated message.
    std::uint64_t duplicate = 0;
    /// Ahead of the next one expected.
    std::uint64_t ahead = 0;
    /// After the end.
    std::uint64_t after_end = 0;
};

/// Accepts the frames of one attempt. Frames travel in order on a connection,
/// so a frame that runs ahead means loss: it is dropped, and the caller
/// resumes at next_number(). Nothing is buffered.
class frame_assembler
{
public:
    frame_assembler(attempt_id attempt, incarnation sidecar_incarnation);

    /// Takes the next frame.
    /// @return nothing, or frame_of_other_attempt or frame_out_of_order when
    ///   the frame was dropped and counted. Complexity: linear in the payload.
    [[nodiscard]] result<void> accept(const frame& received);

    /// Checks the end against the frames taken.
    /// @return nothing when the answer is whole; frame_of_other_attempt,
    ///   frame_count_mismatch (resume at next_number()) or
    ///   frame_digest_mismatch (the answer cannot be trusted).
    [[nodiscard]] result<void> finish(const end_frame& end);

    /// The number that a resumed stream has to start with.
    [[nodiscard]] std::uint64_t next_number() const noexcept { return next_; }
    [[nodiscard]] bool complete() const noexcept { return complete_; }
    [[nodiscard]] const dropped_frames& dropped() const noexcept
    {
        return dropped_;
    }

private:
    [[nodiscard]] bool belongs_here(
        const attempt_id& attempt,
        incarnation sidecar_incarnation) const noexcept;

    attempt_id attempt_;
    incarnation sidecar_incarnation_;
    /// Frames below it were taken, each once and in order.
    std::uint64_t next_ = 0;
    sha256_stream digest_;
    /// Set by finish() only after count and digest matched.
    bool complete_ = false;
    dropped_frames dropped_;
};

} // namespace wagtailseam::attempt

#endif
