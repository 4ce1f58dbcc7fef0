// Claiming a filing, running it, and recording what came of it. What happens
// when another call holds the row is in filing_repeat.cpp.
#include "filing/filing_core.hpp"

#include "core/overloaded.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace wagtailseam::filing
{
namespace
{

/// Suggested to callers that were refused because the table is down or slow.
constexpr duration store_retry_after = std::chrono::seconds(1);

/// Refusals that another upstream would repeat, or that end the call.
bool final_refusal(result_code code) noexcept
{
    const auto group = static_cast<std::uint16_t>(code) / 100;
    return group == 1 || group == 2 || code == result_code::quarantined ||
           code == result_code::deadline_unreachable;
}

} // namespace

filing_core::filing_core(
    const filing_options& options, filing_request request,
    random_source& random)
    : options_(options), request_(std::move(request)), random_(&random)
{
}

std::vector<filing_command> filing_core::handle(
    const filing_event& event, moment now)
{
    if (phase_ != phase::over)
    {
        std::visit([this, now](const auto& known) { on(known, now); }, event);
    }
    return std::exchange(commands_, {});
}

void filing_core::on(const filing_begun&, moment)
{
    plan();
}

void filing_core::plan()
{
    phase_ = phase::planning;
    commands_.emplace_back(ask_plan{avoid_});
}

void filing_core::on(const plan_made& event, moment now)
{
    if (phase_ != phase::planning)
    {
        return;
    }
    ++attempts_;
    pending_ = filing_record{
        .request_digest = request_.request_digest,
        .nonce = request_.nonce,
        .entry = request_.entry,
        .attempt = {request_.request, attempt_number{attempts_}},
        .target = event.target,
        .state = filing_state::claimed,
        .config = request_.config,
        .changed_at = now.wall};
    phase_ = phase::claiming;
    phase_until_ = now.mono + options_.store_bound;
    claim_in_doubt_ = false;
    write_pending(true);
    arm(phase_until_);
}

void filing_core::on(const plan_refused& event, moment now)
{
    if (phase_ != phase::planning)
    {
        return;
    }
    BOOST_ASSERT(is_not_run(event.code));
    if (holds_)
    {
        run_refused(event.code, now);
        return;
    }
    // An earlier call's outcome can be served without an upstream.
    no_plan_ = event.code;
    phase_ = phase::looking;
    phase_until_ = now.mono + options_.store_bound;
    read();
    arm(phase_until_);
}

void filing_core::looked(const table_service::read_result& answer, moment now)
{
    const auto* const found = std::get_if<table_service::optional_row>(&answer);
    if (found != nullptr && *found)
    {
        examine(**found, now);
        return;
    }
    refuse_unplanned();
}

void filing_core::refuse_unplanned()
{
    answer(no_plan_);
    end();
}

void filing_core::on(const row_written& event, moment now)
{
    if (event.operation.value() != operation_)
    {
        return;
    }
    if (phase_ == phase::claiming)
    {
        claim_written(event.answer, now);
    }
    else if (phase_ == phase::recording)
    {
        record_written(event.answer, now);
    }
}

void filing_core::on(const row_read& event, moment now)
{
    if (event.operation.value() != operation_)
    {
        return;
    }
    if (phase_ == phase::claiming)
    {
        claim_read(event.answer, now);
    }
    else if (phase_ == phase::looking)
    {
        looked(event.answer, now);
    }
    else if (phase_ == phase::waiting)
    {
        waiting_read(event.answer, now);
    }
    else if (phase_ == phase::abandoned)
    {
        look_for_abandoned(event.answer, now);
    }
}

void filing_core::claim_written(
    const table_service::transaction_result& answer, moment now)
{
    std::visit(
        overloaded{
            [this](const table_service::committed& done)
            {
                version_ = done.versions.at(0);
                run();
            },
            [this, now](const table_service::conflicted& conflict)
            {
                if (!conflict.current)
                {
                    // Deleted since it was read; nobody ran the request.
                    claim_refused(now);
                }
                else if (is_pending(*conflict.current))
                {
                    // An earlier write whose answer was lost.
                    version_ = conflict.current->version;
                    run();
                }
                else
                {
                    examine(*conflict.current, now);
                }
            },
            [this, now](const table_service::rejected&) { claim_refused(now); },
            [this](const table_service::outcome_unknown&)
            {
                note(filing_note::claim_read_back);
                claim_in_doubt_ = true;
                read();
            }},
        answer);
}

void filing_core::claim_read(
    const table_service::read_result& answer, moment now)
{
    const auto* const found = std::get_if<table_service::optional_row>(&answer);
    if (found == nullptr)
    {
        arm(std::min(now.mono + options_.read_back_interval, phase_until_));
        return;
    }
    const table_service::row_version current =
        *found ? (*found)->version : table_service::absent_row_version;
    if (*found && is_pending(**found))
    {
        version_ = current;
        run();
    }
    else if (current == version_)
    {
        // The write has not taken effect, but may yet: the same write again
        // either takes effect or finds that the first one did.
        write_pending(true);
    }
    else if (*found)
    {
        examine(**found, now);
    }
    else
    {
        claim_refused(now);
    }
}

bool filing_core::is_pending(const table_service::row& found) const
{
    const auto there = decode(found.value);
    return there && there.value().nonce == pending_.nonce &&
           there.value().attempt == pending_.attempt &&
           there.value().state == pending_.state;
}

void filing_core::claim_refused(moment now)
{
    if (holds_)
    {
        run_refused(result_code::filing_store_unavailable, now);
        return;
    }
    if (claim_in_doubt_)
    {
        give_up_claim(now);
        return;
    }
    answer(
        result_code::filing_store_unavailable, std::nullopt, store_retry_after);
    end();
}

void filing_core::give_up_claim(moment now)
{
    note(filing_note::claim_given_up);
    if (holds_)
    {
        run_refused(result_code::filing_store_unavailable, now);
        return;
    }
    answer(
        result_code::filing_store_unavailable, std::nullopt, store_retry_after);
    phase_ = phase::abandoned;
    phase_until_ = now.mono + options_.abandon_bound;
    pause_ = options_.first_record_backoff;
    read();
    arm(now.mono + options_.max_poll);
}

void filing_core::run()
{
    holds_ = true;
    phase_ = phase::running;
    commands_.emplace_back(run_filing{pending_.attempt, pending_.target});
}

void filing_core::on(const run_judged& event, moment now)
{
    if (phase_ != phase::running)
    {
        return;
    }
    std::visit(
        overloaded{
            [this, now](const attempt::finished& ran)
            { record_outcome(ran.outcome, now); },
            [this, now](const attempt::not_run& refusal)
            {
                avoid_.push_back(pending_.target.upstream);
                if (final_refusal(refusal.code) ||
                    attempts_ >= options_.max_attempts ||
                    now.mono >= request_.deadline)
                {
                    run_refused(refusal.code, now);
                    return;
                }
                plan();
            },
            [this, now](const attempt::unknown& lost)
            {
                answer(lost.code);
                record(filing_state::unknown, lost.code, now);
            }},
        event.verdict);
}

void filing_core::run_refused(result_code code, moment now)
{
    BOOST_ASSERT(holds_ && is_not_run(code));
    answer(code);
    record(filing_state::released, code, now);
}

void filing_core::record(filing_state state, result_code reason, moment now)
{
    pending_.state = state;
    pending_.reason = reason;
    pending_.changed_at = now.wall;
    phase_ = phase::recording;
    phase_until_ = now.mono + options_.record_bound;
    pause_ = options_.first_record_backoff;
    write_record();
}

void filing_core::record_outcome(
    const attempt::run_outcome& outcome, moment now)
{
    // Recorded before it is answered: what a caller has been told can be
    // looked up again even when this process and the sidecar are killed.
    pending_.outcome = outcome;
    answer_until_ = now.mono + options_.answer_bound;
    record(filing_state::finished, result_code::ok, now);
    arm(answer_until_);
}

void filing_core::write_record()
{
    record_under_way_ = true;
    write_pending(!answered_);
}

void filing_core::answer_outcome()
{
    if (!answered_)
    {
        answer(result_code::ok, pending_.outcome);
    }
}

void filing_core::record_written(
    const table_service::transaction_result& answer, moment now)
{
    record_under_way_ = false;
    std::visit(
        overloaded{
            [this](const table_service::committed&) { end_recording(); },
            [this, now](const table_service::conflicted& conflict)
            { record_conflicted(conflict.current, now); },
            [this, now](const auto&) { retry_record(now); }},
        answer);
}

void filing_core::record_conflicted(
    const std::optional<table_service::row>& current, moment now)
{
    if (!current || is_pending(*current))
    {
        end_recording();
        return;
    }
    const auto there = decode(current->value);
    if (!there || there.value().state == filing_state::finished)
    {
        end_recording();
        return;
    }
    const bool mine = there.value().nonce == pending_.nonce;
    const bool is_outcome = pending_.state == filing_state::finished;
    const bool claimed = there.value().state == filing_state::claimed;
    if (mine || (is_outcome && !claimed))
    {
        // An outcome replaces what was said about the same run before.
        version_ = current->version;
        retry_record(now);
        return;
    }
    if (is_outcome)
    {
        note(filing_note::outcome_displaced);
    }
    end_recording();
}

void filing_core::retry_record(moment now)
{
    if (now.mono >= phase_until_)
    {
        note(filing_note::record_given_up);
        end_recording();
        return;
    }
    note(filing_note::record_retried);
    pause_ = std::min(pause_ * 2, options_.max_record_backoff);
    const mono_time again = now.mono + jittered(pause_);
    arm(answered_ ? again : std::min(again, answer_until_));
}

void filing_core::recording_timer_due(moment now)
{
    if (now.mono >= answer_until_)
    {
        answer_outcome();
    }
    if (!record_under_way_)
    {
        write_record();
    }
}

void filing_core::end_recording()
{
    answer_outcome();
    end();
}

void filing_core::look_for_abandoned(
    const table_service::read_result& answer, moment now)
{
    const auto* const found = std::get_if<table_service::optional_row>(&answer);
    if (found != nullptr && *found)
    {
        if (is_pending(**found))
        {
            note(filing_note::late_claim_released);
            version_ = (*found)->version;
            record(
                filing_state::released, result_code::filing_store_unavailable,
                now);
            return;
        }
        if ((*found)->version != version_)
        {
            // Any write of this core expects version_, so none takes effect.
            end();
            return;
        }
    }
    pause_ = std::min(pause_ * 2, options_.max_record_backoff);
    arm(now.mono + jittered(pause_));
}

void filing_core::on(const filing_timer_due&, moment now)
{
    switch (phase_)
    {
    case phase::claiming:
        if (now.mono >= phase_until_)
        {
            give_up_claim(now);
        }
        else
        {
            read();
            arm(phase_until_);
        }
        return;
    case phase::looking:
        refuse_unplanned();
        return;
    case phase::waiting:
        poll(now);
        return;
    case phase::recording:
        recording_timer_due(now);
        return;
    case phase::abandoned:
        if (now.mono >= phase_until_)
        {
            end();
            return;
        }
        read();
        arm(now.mono + options_.max_poll);
        return;
    case phase::planning:
    case phase::running:
    case phase::over:
        return;
    }
}

void filing_core::write_pending(bool urgent)
{
    commands_.emplace_back(write_row{
        next_operation(),
        table_service::row_write{
            .key = request_.at,
            .expected = version_,
            .value = encode(pending_)},
        urgent});
}

void filing_core::read()
{
    commands_.emplace_back(read_row{next_operation(), request_.at});
}

void filing_core::answer(
    result_code code, std::optional<attempt::run_outcome> outcome,
    std::optional<duration> retry_after)
{
    BOOST_ASSERT(!answered_);
    BOOST_ASSERT((code == result_code::ok) == outcome.has_value());
    answered_ = true;
    commands_.emplace_back(
        answer_caller{code, std::move(outcome), retry_after});
}

void filing_core::arm(mono_time at)
{
    commands_.emplace_back(set_filing_timer{at});
}

void filing_core::note(filing_note what)
{
    commands_.emplace_back(count_note{what});
}

void filing_core::end()
{
    BOOST_ASSERT(answered_);
    phase_ = phase::over;
    commands_.emplace_back(filing_over{});
}

duration filing_core::jittered(duration bound)
{
    return duration(static_cast<duration::rep>(
        random_->unit() * static_cast<double>(bound.count())));
}

operation_number filing_core::next_operation()
{
    return operation_number{++operation_};
}

} // namespace wagtailseam::filing
