// Retries and continuation of idempotent requests.
#include "attempt/request_core.hpp"

#include "core/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace wagtailseam::attempt
{
namespace
{

/// Refusals that another upstream would repeat.
bool final_refusal(result_code code) noexcept
{
    const auto group = static_cast<std::uint16_t>(code) / 100;
    return group == 1 || group == 2 || code == result_code::quarantined ||
           code == result_code::cancelled_before_dispatch ||
           code == result_code::deadline_unreachable;
}

/// Losses after which nobody waits for the rest of the answer, or the part
/// delivered cannot be relied upon.
bool final_loss(result_code code) noexcept
{
    return code == result_code::deadline_passed ||
           code == result_code::caller_gone ||
           code == result_code::frame_digest_mismatch;
}

} // namespace

request_core::request_core(request_options options, random_source& random)
    : options_(std::move(options)), random_(&random)
{
}

std::vector<request_command> request_core::handle(
    const request_event& event, mono_time now)
{
    if (over_)
    {
        return {};
    }
    using commands = std::vector<request_command>;
    return std::visit(
        overloaded{
            [this](const request_begun&) { return plan(); },
            [this](const backoff_over&) { return plan(); },
            [this](const attempt_planned& plan_made) -> commands
            {
                ++attempts_;
                current_ = plan_made.target.upstream;
                return {run_attempt{
                    {options_.id, attempt_number{attempts_}},
                    plan_made.target,
                    delivered_}};
            },
            [this](const planning_failed& failed)
            { return end(final_code(failed.code)); },
            [this](const part_received& part) -> commands
            {
                may_have_run_ = true;
                delivered_ += part.payload;
                return {pass_on{part.payload}};
            },
            [this, now](const attempt_ended& ended)
            { return judge(ended.verdict, now); }},
        event);
}

std::vector<request_command> request_core::judge(
    const judgement& verdict, mono_time now)
{
    return std::visit(
        overloaded{
            [this](const finished& whole)
            { return end(result_code::ok, whole.outcome.status); },
            [this, now](const not_run& refusal)
            {
                return final_refusal(refusal.code)
                           ? end(final_code(refusal.code))
                           : attempt_again(refusal.code, now);
            },
            [this, now](const unknown& lost)
            {
                may_have_run_ = true;
                return final_loss(lost.code) ? end(final_code(lost.code))
                                             : attempt_again(lost.code, now);
            }},
        verdict);
}

std::vector<request_command> request_core::plan()
{
    return {plan_attempt{{options_.id, attempt_number{attempts_ + 1}}, avoid_}};
}

std::vector<request_command> request_core::attempt_again(
    result_code code, mono_time now)
{
    if (current_)
    {
        avoid_.push_back(*current_);
    }
    duration bound = options_.first_backoff;
    for (std::uint32_t i = 1; i < attempts_; ++i)
    {
        bound = std::min(bound * 2, options_.max_backoff);
    }
    const auto pause = duration(static_cast<duration::rep>(
        random_->unit() * static_cast<double>(bound.count())));
    if (attempts_ >= options_.max_attempts || now + pause >= options_.deadline)
    {
        return end(final_code(code));
    }
    return {wait_until{now + pause}};
}

result_code request_core::final_code(result_code last) const noexcept
{
    if (!delivered_.empty())
    {
        return last == result_code::deadline_passed
                   ? last
                   : result_code::stream_broken;
    }
    if (may_have_run_ && is_not_run(last))
    {
        return result_code::upstream_lost;
    }
    return last;
}

std::vector<request_command> request_core::end(
    result_code code, std::uint32_t status)
{
    over_ = true;
    return {end_request{code, status}};
}

} // namespace wagtailseam::attempt
