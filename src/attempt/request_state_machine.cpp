// Retries idempotent requests and continues their answers.
#include "attempt/request_state_machine.hpp"

#include "core/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace wagtailseam::attempt
{
namespace
{

/// Returns whether another upstream would refuse the request as well.
bool is_permanent_refusal(result_code code) noexcept
{
    const auto group = static_cast<std::uint16_t>(code) / 100;
    return group == 1 || group == 2 || code == result_code::quarantined ||
           code == result_code::cancelled_before_dispatch ||
           code == result_code::deadline_unreachable;
}

/// Returns whether a retry is pointless, because the caller no longer waits or
/// because the part already delivered may be corrupt.
bool is_permanent_loss(result_code code) noexcept
{
    return code == result_code::deadline_passed ||
           code == result_code::caller_gone ||
           code == result_code::frame_digest_mismatch;
}

} // namespace

request_state_machine::request_state_machine(
    request_options options, random_source& random)
    : options_(std::move(options)), random_(&random)
{
}

std::vector<request_command> request_state_machine::handle(
    const request_event& event, mono_time now)
{
    if (is_finished_)
    {
        return {};
    }
    using commands = std::vector<request_command>;
    return std::visit(
        overloaded{
            [this](const request_begun&) { return plan(); },
            [this](const backoff_expired&) { return plan(); },
            [this](const attempt_planned& planned) -> commands
            {
                ++attempts_;
                current_upstream_ = planned.target.upstream;
                return {run_attempt{
                    {options_.id, attempt_number{attempts_}},
                    planned.target,
                    delivered_}};
            },
            [this](const planning_failed& failed)
            { return end(final_code(failed.code)); },
            [this](const part_received& part) -> commands
            {
                may_have_run_ = true;
                delivered_ += part.payload;
                return {forward_part{part.payload}};
            },
            [this, now](const attempt_ended& ended)
            { return on_attempt_ended(ended.result, now); }},
        event);
}

std::vector<request_command> request_state_machine::on_attempt_ended(
    const attempt_result& result, mono_time now)
{
    return std::visit(
        overloaded{
            [this](const finished& complete)
            { return end(result_code::ok, complete.outcome.status); },
            [this, now](const not_run& refusal)
            {
                return is_permanent_refusal(refusal.code)
                           ? end(final_code(refusal.code))
                           : retry_or_end(refusal.code, now);
            },
            [this, now](const unknown& lost)
            {
                may_have_run_ = true;
                return is_permanent_loss(lost.code)
                           ? end(final_code(lost.code))
                           : retry_or_end(lost.code, now);
            }},
        result);
}

std::vector<request_command> request_state_machine::plan()
{
    return {plan_attempt{{options_.id, attempt_number{attempts_ + 1}}, avoid_}};
}

std::vector<request_command> request_state_machine::retry_or_end(
    result_code code, mono_time now)
{
    if (current_upstream_)
    {
        avoid_.push_back(*current_upstream_);
    }
    duration max_delay = options_.first_backoff;
    for (std::uint32_t i = 1; i < attempts_; ++i)
    {
        max_delay = std::min(max_delay * 2, options_.max_backoff);
    }
    const auto delay = duration(static_cast<duration::rep>(
        random_->unit() * static_cast<double>(max_delay.count())));
    if (attempts_ >= options_.max_attempts || now + delay >= options_.deadline)
    {
        return end(final_code(code));
    }
    return {start_backoff{now + delay}};
}

result_code request_state_machine::final_code(result_code last) const noexcept
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

std::vector<request_command> request_state_machine::end(
    result_code code, std::uint32_t status)
{
    is_finished_ = true;
    return {end_request{code, status}};
}

} // namespace wagtailseam::attempt
