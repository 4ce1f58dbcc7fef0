// Checks the identity, order and completeness of the frames of one attempt.
#include "attempt/frame_assembler.hpp"

#include <utility>

namespace wagtailseam::attempt
{

frame_assembler::frame_assembler(
    attempt_id attempt, incarnation sidecar_incarnation)
    : attempt_(std::move(attempt)), sidecar_incarnation_(sidecar_incarnation)
{
}

bool frame_assembler::is_expected(
    const attempt_id& attempt, incarnation sidecar_incarnation) const noexcept
{
    return attempt == attempt_ && sidecar_incarnation == sidecar_incarnation_;
}

result<void> frame_assembler::accept(const frame& received)
{
    if (!is_expected(received.attempt, received.sidecar_incarnation))
    {
        ++dropped_.of_other_attempt;
        return fail(result_code::frame_of_other_attempt);
    }
    if (complete_)
    {
        ++dropped_.after_end;
        return fail(
            result_code::frame_out_of_order,
            "frame received after the end frame");
    }
    if (received.number != next_)
    {
        ++(received.number < next_ ? dropped_.duplicate : dropped_.ahead);
        return fail(result_code::frame_out_of_order);
    }
    digest_.update(received.payload);
    ++next_;
    return boost::outcome_v2::success();
}

result<void> frame_assembler::finish(const end_frame& end)
{
    if (!is_expected(end.attempt, end.sidecar_incarnation))
    {
        ++dropped_.of_other_attempt;
        return fail(result_code::frame_of_other_attempt);
    }
    if (end.count != next_)
    {
        return fail(result_code::frame_count_mismatch);
    }
    if (!equal_constant_time(end.answer_digest, digest_.value()))
    {
        return fail(result_code::frame_digest_mismatch);
    }
    complete_ = true;
    return boost::outcome_v2::success();
}

} // namespace wagtailseam::attempt
