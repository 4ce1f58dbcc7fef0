// Event handlers of the attempt state machine.
#include "attempt/attempt_state_machine.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace wagtailseam::attempt
{

attempt_state_machine::attempt_state_machine(attempt_options options)
    : options_(std::move(options)),
      assembler_(options_.id, options_.target.sidecar_incarnation)
{
}

std::vector<attempt_command> attempt_state_machine::handle(
    const attempt_event& event, mono_time now)
{
    if (!is_finished())
    {
        std::visit([this, now](const auto& known) { on(known, now); }, event);
    }
    return std::exchange(commands_, {});
}

bool attempt_state_machine::is_finished() const noexcept
{
    return state_ == attempt_state::finished ||
           state_ == attempt_state::not_run || state_ == attempt_state::unknown;
}

bool attempt_state_machine::running() const noexcept
{
    return state_ == attempt_state::begun || state_ == attempt_state::streaming;
}

void attempt_state_machine::on(const start&, mono_time now)
{
    if (now >= options_.deadline)
    {
        end(not_run{result_code::deadline_unreachable});
        return;
    }
    commands_.emplace_back(send_dispatch{});
    set_deadline_timer(options_.deadline);
}

void attempt_state_machine::on(const connect_failed&, mono_time now)
{
    if (state_ == attempt_state::planned)
    {
        end(not_run{result_code::upstream_unreachable});
        return;
    }
    on(connection_lost{}, now);
}

void attempt_state_machine::on(const dispatch_written&, mono_time now)
{
    if (state_ == attempt_state::planned)
    {
        state_ = attempt_state::sent;
        set_deadline_timer(
            std::min(now + options_.accept_timeout, options_.deadline));
    }
}

void attempt_state_machine::on(const dispatch_accepted&, mono_time)
{
    if (state_ == attempt_state::planned || state_ == attempt_state::sent)
    {
        state_ = attempt_state::begun;
    }
    recovery_deadline_.reset();
    set_deadline_timer(options_.deadline);
}

void attempt_state_machine::on(const dispatch_refused& event, mono_time)
{
    if (running())
    {
        // The sidecar accepted the dispatch earlier, and that is final.
        return;
    }
    if (is_not_run(event.code))
    {
        end(not_run{event.code});
    }
    else
    {
        end(unknown{event.code});
    }
}

void attempt_state_machine::on(const frame& event, mono_time)
{
    if (!assembler_.accept(event))
    {
        return;
    }
    state_ = attempt_state::streaming;
    recovery_deadline_.reset();
    body_ += event.payload;
    commands_.emplace_back(deliver{event.payload});
    set_deadline_timer(options_.deadline);
}

void attempt_state_machine::on(const end_frame& event, mono_time now)
{
    const auto verified = assembler_.finish(event);
    if (verified)
    {
        end(finished{run_outcome{event.status, std::move(body_)}});
        return;
    }
    const result_code code = verified.error().code;
    if (code == result_code::frame_count_mismatch)
    {
        on(connection_lost{}, now);
    }
    else if (code != result_code::frame_of_other_attempt)
    {
        end(unknown{code});
    }
}

void attempt_state_machine::on(const connection_lost&, mono_time now)
{
    if (state_ == attempt_state::planned)
    {
        end(not_run{result_code::upstream_unreachable});
    }
    else if (running())
    {
        resume(now);
    }
    else
    {
        query_sidecar(now);
    }
}

void attempt_state_machine::on(const run_failed&, mono_time)
{
    end(unknown{result_code::upstream_lost});
}

void attempt_state_machine::on(const resume_refused&, mono_time)
{
    end(unknown{result_code::upstream_lost});
}

void attempt_state_machine::query_sidecar(mono_time now)
{
    if (!recovery_deadline_)
    {
        recovery_deadline_ = now + options_.recovery_timeout;
    }
    if (now >= *recovery_deadline_)
    {
        end(unknown{result_code::outcome_unknown});
        return;
    }
    commands_.emplace_back(send_tombstone{});
    set_deadline_timer(
        std::min(now + options_.retry_interval, *recovery_deadline_));
}

void attempt_state_machine::resume(mono_time now)
{
    if (!recovery_deadline_)
    {
        recovery_deadline_ = now + options_.recovery_timeout;
    }
    if (now >= *recovery_deadline_)
    {
        end(unknown{result_code::upstream_lost});
        return;
    }
    commands_.emplace_back(resume_stream{assembler_.next_number()});
    set_deadline_timer(std::min(
        {now + options_.retry_interval, *recovery_deadline_,
         options_.deadline}));
}

void attempt_state_machine::on(const tombstone_replied& event, mono_time now)
{
    const auto resume_if_sent = [this, now]
    {
        if (state_ == attempt_state::sent)
        {
            state_ = attempt_state::begun;
            resume(now);
        }
    };
    std::visit(
        overloaded{
            [this](const never_begun&)
            {
                if (state_ == attempt_state::sent)
                {
                    end(not_run{result_code::tombstoned});
                }
            },
            [&resume_if_sent](const still_running&) { resume_if_sent(); },
            [this, &resume_if_sent](const has_finished& ended)
            {
                if (ended.outcome && !options_.idempotent)
                {
                    end(finished{*ended.outcome});
                    return;
                }
                resume_if_sent();
            },
            [this](const cannot_tell& reply) { end(unknown{reply.reason}); }},
        event.answer);
}

void attempt_state_machine::on(const timer_expired&, mono_time now)
{
    if (now >= options_.deadline)
    {
        on_deadline_passed(now);
    }
    else if (state_ == attempt_state::sent)
    {
        query_sidecar(now);
    }
    else if (running() && recovery_deadline_)
    {
        resume(now);
    }
}

void attempt_state_machine::on_deadline_passed(mono_time now)
{
    if (state_ == attempt_state::planned)
    {
        end(not_run{result_code::deadline_unreachable});
    }
    else if (state_ == attempt_state::sent && !options_.idempotent)
    {
        // If the sidecar answers that the attempt never began, the caller can
        // safely send the request again.
        query_sidecar(now);
    }
    else
    {
        if (options_.idempotent)
        {
            commands_.emplace_back(cancel_run{});
        }
        end(unknown{result_code::deadline_passed});
    }
}

void attempt_state_machine::on(const caller_disconnected&, mono_time)
{
    if (!options_.idempotent)
    {
        // The outcome must be recorded for the caller's next request.
        return;
    }
    if (state_ == attempt_state::planned)
    {
        end(not_run{result_code::cancelled_before_dispatch});
        return;
    }
    commands_.emplace_back(cancel_run{});
    end(unknown{result_code::caller_gone});
}

void attempt_state_machine::set_deadline_timer(mono_time at)
{
    commands_.emplace_back(set_timer{at});
}

void attempt_state_machine::end(attempt_result result)
{
    state_ = std::visit(
        overloaded{
            [](const finished&) { return attempt_state::finished; },
            [](const not_run& refusal)
            {
                BOOST_ASSERT(is_not_run(refusal.code));
                return attempt_state::not_run;
            },
            [](const unknown& lost)
            {
                BOOST_ASSERT(!is_not_run(lost.code));
                return attempt_state::unknown;
            }},
        result);
    commands_.emplace_back(report_result{std::move(result)});
}

} // namespace wagtailseam::attempt
