// What a call does when it finds that another call holds the row: serve the
// stored outcome, wait for it, or take the claim over once the sidecar has
// said that the other call's attempt never began and never will.
#include "core/overloaded.hpp"
#include "filing/filing_core.hpp"

#include <algorithm>
#include <array>

namespace wagtailseam::filing
{
namespace
{

/// Suggested to callers whose earlier call is still running.
constexpr duration in_progress_retry_after = std::chrono::seconds(2);

constexpr std::array<std::string_view, 9> note_names{
    "claim_read_back",     "claim_given_up",        "claim_taken_over",
    "late_claim_released", "stored_outcome_served", "outcome_adopted",
    "record_retried",      "record_given_up",       "outcome_displaced"};

} // namespace

std::string_view name(filing_note note) noexcept
{
    return note_names.at(static_cast<std::size_t>(note));
}

void filing_core::examine(const table_service::row& found, moment now)
{
    holds_ = false;
    version_ = found.version;
    const auto decoded = decode(found.value);
    if (!decoded)
    {
        answer(result_code::outcome_unknown);
        end();
        return;
    }
    const filing_record& record = decoded.value();
    if (record.request_digest != request_.request_digest)
    {
        answer(result_code::idempotency_conflict);
        end();
        return;
    }
    switch (record.state)
    {
    case filing_state::finished:
        note(filing_note::stored_outcome_served);
        answer(result_code::ok, record.outcome);
        end();
        return;
    case filing_state::released:
        phase_ == phase::looking ? refuse_unplanned() : plan();
        return;
    case filing_state::claimed:
    case filing_state::unknown:
        wait_for(found, record, now);
        return;
    }
}

void filing_core::wait_for(
    const table_service::row& found, const filing_record& record, moment now)
{
    const bool first = phase_ != phase::waiting;
    const bool changed = first || other_ != record;
    phase_ = phase::waiting;
    version_ = found.version;
    other_ = record;
    if (!wait_until_)
    {
        wait_until_ =
            std::min(now.mono + options_.wait_bound, request_.deadline);
    }
    if (first)
    {
        pause_ = options_.first_poll;
    }
    if (changed)
    {
        lost_ = false;
        sidecar_silent_ = false;
        ask_sidecar_at_ = now.mono;
        if (record.state == filing_state::claimed)
        {
            ask_sidecar_at_ += options_.takeover_after;
        }
    }
    arm(std::min(now.mono + jittered(pause_), *wait_until_));
    pause_ = std::min(pause_ * 2, options_.max_poll);
}

void filing_core::poll(moment now)
{
    if (now.mono >= *wait_until_)
    {
        end_waiting();
        return;
    }
    if (now.mono >= ask_sidecar_at_ && !lost_)
    {
        ask_sidecar_at_ = now.mono + 2 * options_.max_poll;
        sidecar_silent_ = true;
        commands_.emplace_back(
            ask_sidecar{next_operation(), other_.attempt, other_.target});
    }
    else
    {
        read();
    }
    arm(std::min(now.mono + options_.max_poll, *wait_until_));
}

void filing_core::waiting_read(
    const table_service::read_result& answer, moment now)
{
    const auto* const found = std::get_if<table_service::optional_row>(&answer);
    if (found != nullptr && *found)
    {
        examine(**found, now);
        return;
    }
    // A claimed row is never deleted, so an absent one is as good as no answer.
    arm(std::min(now.mono + jittered(pause_), *wait_until_));
}

void filing_core::end_waiting()
{
    if (lost_ || sidecar_silent_ || other_.state == filing_state::unknown)
    {
        answer(result_code::outcome_unknown);
    }
    else
    {
        answer(
            result_code::filing_in_progress, std::nullopt,
            in_progress_retry_after);
    }
    end();
}

void filing_core::on(const sidecar_answered& event, moment now)
{
    if (phase_ != phase::waiting || event.operation.value() != operation_)
    {
        return;
    }
    sidecar_silent_ = false;
    std::visit(
        overloaded{
            [this](const attempt::never_begun&)
            {
                // The claim is written on the condition that the row is still
                // the one whose attempt the sidecar will never begin.
                note(filing_note::claim_taken_over);
                plan();
            },
            [this, now](const attempt::still_running&)
            { arm(std::min(now.mono + jittered(pause_), *wait_until_)); },
            [this, now](const attempt::has_finished& ended)
            {
                if (ended.outcome)
                {
                    adopt(*ended.outcome, now);
                    return;
                }
                sidecar_could_not_tell(now);
            },
            [this, now](const attempt::cannot_tell&)
            { sidecar_could_not_tell(now); }},
        event.answer);
}

void filing_core::adopt(const attempt::run_outcome& outcome, moment now)
{
    note(filing_note::outcome_adopted);
    pending_ = other_;
    record_outcome(outcome, now);
}

void filing_core::sidecar_could_not_tell(moment now)
{
    lost_ = true;
    wait_until_ = std::min(now.mono + options_.grace, *wait_until_);
    arm(std::min(now.mono + jittered(pause_), *wait_until_));
}

} // namespace wagtailseam::filing
