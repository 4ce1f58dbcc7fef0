// Accepts the frames of one attempt in order, drops duplicates and verifies
// that the answer is complete.
#ifndef WAGTAILSEAM_ATTEMPT_FRAME_ASSEMBLER_HPP
#define WAGTAILSEAM_ATTEMPT_FRAME_ASSEMBLER_HPP

#include "attempt/attempt_types.hpp"
#include "core/result.hpp"

#include <string_view>

namespace wagtailseam::attempt
{

/// Number of dropped frames by reason.
struct dropped_frames
{
    /// Frames of another attempt or another sidecar incarnation.
    std::uint64_t of_other_attempt = 0;
    /// Frames already received, for example before the stream was resumed.
    std::uint64_t duplicate = 0;
    /// Frames with a number greater than the next expected one.
    std::uint64_t ahead = 0;
    /// Frames received after the end frame.
    std::uint64_t after_end = 0;
};

/// Accepts the frames of one attempt without buffering them. A connection
/// preserves the order of frames, so a gap in their numbers means that frames
/// were lost: the frame after the gap is dropped, and the caller resumes at
/// next_number().
class frame_assembler
{
public:
    frame_assembler(attempt_id attempt, incarnation sidecar_incarnation);

    /// Accepts the next frame, or drops and counts it.
    /// Errors: frame_of_other_attempt, frame_out_of_order.
    /// Complexity: linear in the payload.
    [[nodiscard]] result<void> accept(const frame& received);

    /// Checks the end frame against the accepted frames; success means that the
    /// answer is complete.
    /// Errors: frame_of_other_attempt, frame_count_mismatch (resume at
    /// next_number()), frame_digest_mismatch (the answer is corrupt).
    [[nodiscard]] result<void> finish(const end_frame& end);

    /// Returns the frame number at which a resumed stream must start.
    [[nodiscard]] std::uint64_t next_number() const noexcept { return next_; }
    [[nodiscard]] bool complete() const noexcept { return complete_; }
    [[nodiscard]] const dropped_frames& dropped() const noexcept
    {
        return dropped_;
    }

private:
    [[nodiscard]] bool is_expected(
        const attempt_id& attempt,
        incarnation sidecar_incarnation) const noexcept;

    attempt_id attempt_;
    incarnation sidecar_incarnation_;
    /// All frames with lower numbers were accepted, each once and in order.
    std::uint64_t next_ = 0;
    sha256_stream digest_;
    /// True only after finish() verified the count and the digest.
    bool complete_ = false;
    dropped_frames dropped_;
};

} // namespace wagtailseam::attempt

#endif
